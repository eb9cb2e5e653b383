#ifndef MEDLARSTALL_DISPATCH_DISPATCHER_HPP
#define MEDLARSTALL_DISPATCH_DISPATCHER_HPP

#include <medlarstall/dispatch/crash_ledger.hpp>
#include <medlarstall/dispatch/estimate_scale.hpp>
#include <medlarstall/dispatch/fleet_cells.hpp>
#include <medlarstall/dispatch/listed_servers.hpp>
#include <medlarstall/dispatch/mechanism.hpp>
#include <medlarstall/dispatch/part_cache.hpp>
#include <medlarstall/dispatch/placement_cost.hpp>
#include <medlarstall/dispatch/requested_pause.hpp>
#include <medlarstall/dispatch/retry_window.hpp>
#include <medlarstall/dispatch/server_health.hpp>
#include <medlarstall/routes/route_table.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::dispatch {

/// Where the dispatcher stands, and the bounds it keeps.
struct dispatcher_settings
{
    std::string data_centre;
    retry_limits retries;
    left_out without; ///< For measurements.
};

/// A request that looks for a backend server. Plain data.
struct work
{
    std::string service;
    std::optional<prompt> asked;       ///< Of a request to a model.
    double sensitivity = 0;            ///< To pauses, 0 to 1.
    std::uint64_t hash = 0;            ///< Of the request, breaks ties.
    std::vector<std::string> excluded; ///< Backend servers tried before.
};

/// The backend server chosen for a request, and why.
struct placement
{
    std::string backend_server;
    std::string address;
    std::size_t candidates = 0;
    cost_ms cost = 0;
    cost_ms expected_first_event = 0;
    double estimate_factor = 1; ///< From such estimates to real times.
    double mean_batches = 0;    ///< In flight at all candidates, in batches.
    std::uint32_t cached_tokens = 0;
    std::uint32_t copied_tokens = 0;
    std::string copy_from; ///< Address to copy them from.
    double in_flight = 0;  ///< There, as far as known.
    health state = health::up;
    std::chrono::milliseconds entry_age{0};
};

/// What a request in flight holds at its backend server. Kept by the request.
struct ticket
{
    std::string backend_server;
    std::string service;
    std::uint64_t start = 0; ///< Start of the backend server that it went to.
    double prefill_tokens = 0;
    double memory_tokens = 0;
    double sensitivity = 0;
    cost_ms expected_first_event = 0;
    time_point sent;
    bool answered = false;
};

/// How a send to a backend server ended.
enum class send_outcome
{
    good,
    failed,      ///< Lost, spoilt or answered with its own failure.
    turned_away, ///< Not run, since it is full or leaving.
    withdrawn    ///< The caller left or time ran out.
};

/// Load of a backend server as a daemon tells it to the others.
struct load_note
{
    std::string backend_server;
    server_load load;
};

/// Prompt parts that a backend server keeps, as far as a daemon knows.
struct kept_parts
{
    std::string backend_server;
    std::vector<prompt_part> parts;
};

/// A start of a backend server that has said that it leaves.
struct leaving_note
{
    std::string backend_server;
    std::int64_t started_unix_ms = 0; ///< As its entry in the list says.
};

/// Load figures that a backend server sends along with its answers.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t time_percent = 100; ///< How long work takes; 100 is usual.
};

/// Chooses backend servers from what is believed of them: the list, the
/// outcome of sends, the load that other daemons tell, and the prompt parts
/// sent there. Pure; owned by the gateway.
class dispatcher
{
public:
    /// \param settings place and bounds
    explicit dispatcher(dispatcher_settings settings);

    /// Replaces place and bounds after a reload.
    /// \param settings place and bounds
    void set_settings(dispatcher_settings settings);

    /// Sets which part of a large fleet this daemon belongs to.
    /// \param cell the part
    void set_cell(fleet_cell cell);

    /// Sets the configuration that tells the services.
    /// \param table configuration in force
    void set_routes(std::shared_ptr<routes::route_table const> table);

    /// Takes in an entry of the list.
    /// \param entry the entry
    /// \param now current time
    /// \return what changed
    list_change apply(backend_server_entry const& entry, time_point now);

    /// Takes in the removal of an entry.
    /// \param id backend server
    /// \param now current time
    /// \return what changed
    list_change remove(std::string_view id, time_point now);

    /// Notes whether the list can be read.
    /// \param reachable true if the last try brought an answer
    /// \param now current time
    void set_list_reachable(bool reachable, time_point now);

    /// Notes that the list has come back from an older copy: entries that it
    /// lacks have time to be written again.
    /// \param now current time
    void note_list_restored(time_point now);

    /// Chooses a backend server.
    /// \param wanted request to place
    /// \param now current time
    /// \return the choice, or nothing if none may be used
    [[nodiscard]] std::optional<placement> choose(work const& wanted,
                                                  time_point now);

    /// Accounts for a request that is sent to its choice.
    /// \param wanted the request
    /// \param chosen the choice
    /// \param now current time
    /// \return to be given back with its fate
    ticket note_sent(work const& wanted, placement const& chosen,
                     time_point now);

    /// Notes the first piece of an answer.
    /// \param held ticket of the request
    /// \param now current time
    void note_answer(ticket& held, time_point now);

    /// Notes the end of a send.
    /// \param held ticket of the request
    /// \param outcome how it ended
    /// \param now current time
    void note_end(ticket const& held, send_outcome outcome, time_point now);

    /// Notes load figures that came with an answer.
    /// \param id backend server
    /// \param load the figures
    /// \param now current time
    void note_report(std::string_view id, reported_load const& load,
                     time_point now);

    /// Notes that a backend server has said that it leaves. Its start gets
    /// nothing any more.
    /// \param id backend server
    /// \param now current time
    /// \return true if that was not known
    bool note_leaving(std::string_view id, time_point now);

    /// Takes in that another daemon was told that a backend server leaves.
    /// \param note which start
    /// \return true if that was not known
    bool merge_leaving(leaving_note const& note);

    /// \param since a time
    /// \return backend servers that have said to this daemon after it that
    ///     they leave
    [[nodiscard]] std::vector<leaving_note>
    leaving_since(time_point since) const;

    /// \param id backend server
    /// \return true if it has said that it leaves
    [[nodiscard]] bool is_leaving(std::string_view id) const;

    /// Notes that a backend server wants nothing from this daemon for a while.
    /// \param id backend server
    /// \param wanted how long
    /// \param now current time
    void note_pause(std::string_view id, duration wanted, time_point now);

    /// \param service name of a service
    /// \param now current time
    /// \return time until the first of its backend servers that could be used
    ///     wants requests again; zero if one does, or none could be used
    [[nodiscard]] duration pause_left(std::string_view service,
                                      time_point now) const;

    /// \param id backend server
    /// \return its health as seen on connections, or nullptr if it is unknown
    [[nodiscard]] server_health* health_of(std::string_view id);

    /// \param id backend server
    /// \return the state of its health, down if it is unknown
    [[nodiscard]] health state_of(std::string_view id) const;

    /// \param id backend server
    /// \param now current time
    /// \return what all daemons have in flight there, as far as known
    [[nodiscard]] server_load load_of(std::string_view id,
                                      time_point now) const;

    /// Lists the backend servers that should be probed now, and takes the
    /// probes as sent.
    /// \param now current time
    /// \return their entries
    [[nodiscard]] std::vector<backend_server_entry> due_probes(time_point now);

    /// \param id backend server
    /// \return its entry, or nullptr if it is unknown
    [[nodiscard]] backend_server_entry const* find(std::string_view id) const;

    /// Takes in what another daemon has in flight.
    /// \param daemon id of the daemon
    /// \param notes its load
    /// \param now current time
    void merge_loads(std::string const& daemon,
                     std::vector<load_note> const& notes, time_point now);

    /// Takes in a prompt that another daemon has sent.
    /// \param id backend server
    /// \param sent the prompt
    /// \param now current time
    void merge_prompt(std::string_view id, prompt const& sent, time_point now);

    /// \param since a time
    /// \return prompt parts used after it, of each backend server
    [[nodiscard]] std::vector<kept_parts>
    parts_used_since(time_point since) const;

    /// Takes in parts that have been read by a backend server.
    /// \param kept what it keeps
    /// \param now current time
    void merge_parts(kept_parts const& kept, time_point now);

    /// \param now current time
    /// \return what this daemon has in flight
    [[nodiscard]] std::vector<load_note> own_loads(time_point now) const;

    /// Drops beliefs that have expired.
    /// \param now current time
    /// \param dropped told the id of each backend server that is gone
    void expire(time_point now,
                std::function<void(std::string const&)> const& dropped);

    /// Notes a new request to a service.
    /// \param service name of the service
    /// \param now current time
    void note_request(std::string const& service, time_point now);

    /// Draws a further send from the budget of the fleet.
    /// \param service name of the service
    /// \param daemons number of daemons that share it
    /// \param now current time
    /// \return false if it must not be sent again
    [[nodiscard]] bool try_retry(std::string const& service,
                                 std::size_t daemons, time_point now);

    /// \param part of the decisions
    /// \return true unless it is left out for a measurement
    [[nodiscard]] bool uses(mechanism part) const
    {
        return !settings_.without.contains(part);
    }

    /// \return requests that crash backend servers
    [[nodiscard]] crash_ledger& crashes() { return crashes_; }

    /// \return the list of backend servers
    [[nodiscard]] listed_servers const& listed() const { return list_; }

private:
    struct peer_load
    {
        server_load load;
        time_point at;
    };

    /// What sends and reports have shown of a backend server since its start.
    struct server_record
    {
        std::uint64_t start = 0;
        server_load own;
        std::map<std::string, peer_load> peers;
        server_health state;
        part_cache parts;
        reported_load report;
        time_point reported = time_point::min();
        double slowness = 1.0;
        double latency_ms = 10.0;
        time_point reading_updated;
        requested_pause pause;
        bool leaving = false;
        std::optional<time_point> said_leaving; ///< To this daemon.
    };
    /// A listed backend server with all that is known of it.
    struct known_server
    {
        listed_servers::belief const* belief;
        server_record const* record;
        std::uint64_t id_hash;
    };
    using known_servers = std::vector<known_server>;

    /// Backend servers of one service.
    struct service_servers
    {
        known_servers all;
        known_servers in_cell;
    };

    /// What the choice for one request compares between backend servers.
    struct comparison
    {
        double mean_failures = 0;
        std::uint32_t most_cached = 0;
        std::uint32_t most_ready = 0;
        std::string holder; ///< Address of the one with most_ready.
        std::vector<server_record const*> homes; ///< The first few, in order.
    };

    server_record& record_of(std::string_view id);
    server_record const* find_record(std::string_view id) const;
    static double reading_share(server_record const& record, time_point now);
    static comparison compare(known_servers const& among, work const& wanted,
                              health worst, time_point now);
    static void copy_where_possible(candidate& judged, comparison const& others,
                                    routes::service const* service);
    server_load total_load(server_record const& record, time_point now) const;
    void leave_out(candidate& judged) const;
    candidate judge(listed_servers::belief const& belief,
                    server_record const& record, work const& wanted,
                    comparison const& others, time_point now) const;
    static bool may_use(known_server const& server, work const& wanted,
                        health worst, time_point now);
    void divide_servers();
    std::optional<placement> choose_among(known_servers const& among,
                                          work const& wanted, health worst,
                                          time_point now) const;

    dispatcher_settings settings_;
    std::shared_ptr<routes::route_table const> table_;
    listed_servers list_;
    std::map<std::string, server_record, std::less<>> records_;
    std::map<std::string, retry_window, std::less<>> retries_;
    std::map<std::string, estimate_scale, std::less<>> estimates_;
    crash_ledger crashes_;
    std::uint64_t starts_ = 0;
    fleet_cell cell_;
    std::map<std::string, service_servers, std::less<>> services_;
    bool divided_ = false; ///< services_ is that of the list and the cell.
    /// Backend servers at which other daemons had something in flight.
    std::map<std::string, std::vector<std::string>> told_loads_;
};

} // namespace medlarstall::dispatch

#endif
