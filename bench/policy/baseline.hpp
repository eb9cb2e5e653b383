#ifndef MEDLARSTALL_BENCH_BASELINE_HPP
#define MEDLARSTALL_BENCH_BASELINE_HPP

#include "backend_pool.hpp"
#include "recorder.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace medlarstall::bench {

/// How a baseline places and orders requests.
enum class baseline_kind
{
    fifo_round_robin,
    priority_least_connections
};

/// A plain proxy with one queue for each backend server, which sees crashes
/// at once and all connections of all daemons: better informed than a real
/// one would be.
class baseline
{
public:
    /// \param events virtual time
    /// \param pool backend servers
    /// \param record notes what callers see
    /// \param arrivals requests
    /// \param kind how requests are placed and ordered
    baseline(event_queue& events, backend_pool& pool, recorder& record,
             std::vector<arrival> const& arrivals, baseline_kind kind);

    /// \param call number of a call that arrives
    void submit(std::size_t call);

    /// \param call number of a call whose caller leaves
    void abandon(std::size_t call);

    /// \param server number of a backend server that crashed
    /// \param lost attempts that ran there
    void crashed(std::size_t server, std::vector<std::uint64_t> const& lost);

    /// \param server number of a backend server that is up again
    void restarted(std::size_t server);

    /// \param daemon number of a daemon that is lost or back; its callers
    ///     resend, which costs a baseline nothing here
    void lose_daemon(std::size_t daemon);
    /// \copydoc lose_daemon
    void return_daemon(std::size_t daemon);

private:
    static constexpr std::size_t tiers = 3;

    struct server_queue
    {
        std::array<std::deque<std::size_t>, tiers> waiting;
        std::size_t outstanding = 0;
    };

    std::size_t place(std::size_t call);
    void start_next(std::size_t server);
    std::size_t lane(std::size_t call) const;

    event_queue& events_;
    backend_pool& pool_;
    recorder& record_;
    std::vector<arrival> const& arrivals_;
    baseline_kind kind_;
    std::vector<server_queue> queues_;
    std::map<std::size_t, std::size_t> server_of_; ///< By call.
    std::map<std::string, std::size_t> next_;      ///< By group.
};

} // namespace medlarstall::bench

#endif
