#ifndef MEDLARSTALL_GATEWAY_ENTRY_CAPACITY_HPP
#define MEDLARSTALL_GATEWAY_ENTRY_CAPACITY_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::gateway {

/// Resources of the instance that a daemon runs on; 0 if not known.
struct instance_resources
{
    double cores = 0; ///< Share of the processor, in cores.
    double link_mbps = 0;
};

/// Estimates how many requests a second a daemon can take from callers now. The
/// estimate falls while its event loop is late, which shows that the processor
/// of the instance is at its limit, and rises again when it catches up. This
/// handles instances of very different size in one fleet, and instances that
/// slow down. Performs no I/O; owned by the gateway.
class entry_capacity
{
public:
    /// \param resources resources of the instance
    explicit entry_capacity(instance_resources resources);

    /// Notes how late a periodic task of the event loop ran.
    /// \param lateness time between when it was due and when it ran
    void on_tick(duration lateness);

    /// \return requests a second; 0 if the resources are not known
    [[nodiscard]] double requests_per_second() const;

private:
    double idle_capacity_;
    std::chrono::duration<double, std::milli> mean_lateness_{0};
};

/// A daemon that callers may connect to.
struct entry_candidate
{
    std::string address;
    double capacity = 0; ///< Requests a second; 0 if not known.
};

/// Selects the addresses that a caller should use. A caller picks one of them
/// at random for each connection. If all candidates have the same capacity,
/// and the answer has room, all are offered. Otherwise each is offered to a
/// share of the callers in proportion to its capacity. The same caller gets the
/// same addresses as long as the candidates stay the same, so that it can keep
/// its connections.
/// \param candidates ready daemons; one without a known capacity counts like
///     the mean of the others
/// \param caller_hash hash that identifies the caller
/// \param max_count most addresses to return
/// \return the selected addresses, the most preferred one first
[[nodiscard]] std::vector<std::string>
select_entries(std::vector<entry_candidate> candidates,
               std::uint64_t caller_hash, std::size_t max_count);

} // namespace medlarstall::gateway

#endif
