#ifndef MEDLARSTALL_BENCH_MEDLARSTALL_FLEET_HPP
#define MEDLARSTALL_BENCH_MEDLARSTALL_FLEET_HPP

#include "backend_pool.hpp"
#include "recorder.hpp"

#include <medlarstall/routing/health_monitor.hpp>
#include <medlarstall/routing/hedge_policy.hpp>
#include <medlarstall/routing/quarantine.hpp>
#include <medlarstall/routing/retry_policy.hpp>
#include <medlarstall/routing/router.hpp>
#include <medlarstall/routing/spill_policy.hpp>
#include <medlarstall/scheduling/owner_scheduler.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace medlarstall::bench {

/// The daemons of a site: the real decision code in virtual time, joined by
/// messages that take as long as between the data centres.
class medlarstall_fleet
{
public:
    /// \param events virtual time
    /// \param pool backend servers
    /// \param record notes what callers see
    /// \param arrivals requests
    /// \param place installation
    /// \param seed seed of the daemons' random choices
    medlarstall_fleet(event_queue& events, backend_pool& pool, recorder& record,
                      std::vector<arrival> const& arrivals, site const& place,
                      std::uint64_t seed);

    /// \copydoc baseline::submit
    void submit(std::size_t call);
    /// \copydoc baseline::abandon
    void abandon(std::size_t call);
    /// \copydoc baseline::crashed
    void crashed(std::size_t server, std::vector<std::uint64_t> const& lost);
    /// \copydoc baseline::restarted
    void restarted(std::size_t server);

    /// The daemon is gone at once; the others notice it after 2 s.
    /// \param daemon its number
    void lose_daemon(std::size_t daemon);

    /// A new daemon takes the place of one that was lost.
    /// \param daemon its number
    void return_daemon(std::size_t daemon);

    /// Prints counts of what was decided to standard error.
    void print_counts() const;

private:
    /// What an entry daemon does with a call after an attempt of it ended.
    struct call_state
    {
        std::size_t entry = 0;
        scheduling::request request;
        std::vector<routing::prefix_hash> prefixes;
        std::vector<std::uint64_t> attempts; ///< That are still open.
        std::vector<std::string> excluded;
        std::vector<std::string> refused_owners;
        routing::retry_history history;
        std::uint32_t made = 0; ///< Tokens handed over by an owner.
        bool hedged = false;
        bool queued_out = false; ///< Pauses between two rounds of offers.
    };

    /// One request at one owner.
    struct attempt
    {
        std::size_t call = 0;
        std::size_t owner = 0;
        std::uint64_t owner_epoch = 0;
        std::size_t server = 0;
        bool running = false;
        bool open = true;
        std::uint32_t made = 0;
        std::size_t ran_on = no_server;
        time_point dispatched; ///< By the entry daemon.
        time_point started;
        time_point last_token;
    };

    struct daemon
    {
        std::unique_ptr<scheduling::owner_scheduler> owner;
        std::unique_ptr<routing::router> router;
        routing::health_monitor health;
        routing::retry_policy retries;
        routing::hedge_policy hedges;
        std::size_t data_centre = 0;
        std::uint64_t epoch = 0; ///< Grows when it is lost.
        std::uint64_t wake_up = 0;
        bool lost = false;
    };

    static constexpr std::size_t no_server = ~std::size_t{0};

    void start_daemon(std::size_t number);
    void own(std::size_t server, std::size_t owner);
    std::size_t next_owner(std::size_t server) const;
    std::size_t server_number(std::string const& id) const;
    std::size_t daemon_number(std::string const& name) const;
    duration delay(std::size_t from, std::size_t to) const;
    duration server_delay(std::size_t daemon, std::size_t server) const;

    void route(std::size_t call);
    void send(std::size_t call, std::string const& owner,
              std::string const& backend_server);
    void schedule_hedge(std::size_t call, std::uint64_t attempt);
    void hedge(std::size_t call, std::uint64_t attempt);
    routing::route choose(std::size_t call,
                          std::vector<std::string> const& excluded);
    void refused(std::uint64_t attempt, scheduling::refusal reason);
    void spill(std::size_t call);
    void retry(std::size_t call, routing::run_state ran);
    void close(std::uint64_t attempt);
    void cancel(std::uint64_t attempt);

    void act(std::size_t owner, scheduling::action_list const& actions);
    void act(std::size_t owner, scheduling::dispatch const& action);
    void act(std::size_t owner, scheduling::refuse const& action);
    void act(std::size_t owner, scheduling::preempt const& action);
    void act(std::size_t owner, scheduling::hand_back const& action);
    void act(std::size_t owner, scheduling::wake_up const& action);
    bool owned(attempt const& a) const;
    void start(std::uint64_t attempt, std::size_t server);
    void token(std::uint64_t attempt, std::uint32_t made, bool end);
    void caller_token(std::uint64_t attempt, std::uint32_t made, bool end);

    void send_summaries();
    void report_loads();
    void share_usage();
    std::map<std::pair<std::string, std::string>, scheduling::remote_usage>
    remote_usage(
        std::vector<std::vector<scheduling::organisation_usage>> const& usage,
        std::size_t to) const;
    void evaluate_health();
    static std::vector<routing::prefix_hash>
    prefixes_of(std::uint32_t document);
    void cache_event(std::size_t server, std::uint32_t document, bool stored);

    event_queue& events_;
    backend_pool& pool_;
    recorder& record_;
    std::vector<arrival> const& arrivals_;
    site place_;
    std::mt19937_64 random_;
    std::vector<daemon> daemons_;
    std::vector<std::size_t> owner_of_; ///< By backend server.
    std::vector<call_state> calls_;
    std::vector<attempt> attempts_;
    routing::quarantine quarantine_;
    routing::spill_policy spill_;
    std::map<std::string, std::uint64_t> counts_;
    std::vector<std::vector<scheduling::organisation_usage>> last_usage_;
};

} // namespace medlarstall::bench

#endif
