#ifndef MEDLARSTALL_DAEMON_OWNER_SERVICE_HPP
#define MEDLARSTALL_DAEMON_OWNER_SERVICE_HPP

#include "event_sink.hpp"
#include "fleet.hpp"
#include "work_order.hpp"

#include <medlarstall/chart/request_chart.hpp>
#include <medlarstall/routing/quarantine.hpp>
#include <medlarstall/routing/suspect_gate.hpp>
#include <medlarstall/scheduling/owner_scheduler.hpp>

#include <asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarstall::backend {
class http_client;
}

namespace medlarstall::daemon {

class metrics;
class owned_order;

/// Called with a backend server that crashed and the requests that were running
/// there.
using crash_handler =
    std::function<void(std::string const& backend_server,
                       std::vector<routing::running_request> const& running)>;

/// Returns whether a request is suspected of crashing backend servers, and so
/// whether it may run.
using suspicion_lookup =
    std::function<routing::suspicion(routing::request_fingerprint)>;

/// The owner side of a daemon: queues orders for the backend servers that the
/// daemon owns, sends them there as the scheduler decides, and passes the
/// answers on.
class owner_service
{
public:
    /// \param io I/O context of the daemon
    /// \param client HTTP client for requests to backend servers
    /// \param figures metrics of the daemon
    /// \param owner id of this daemon
    /// \param stream_buffer_bytes bytes of one answer that may wait for a slow
    ///     caller before reading from the backend server pauses
    owner_service(asio::io_context& io, backend::http_client& client,
                  metrics& figures, std::string owner,
                  std::size_t stream_buffer_bytes);
    ~owner_service();
    owner_service(owner_service const&) = delete;
    owner_service& operator=(owner_service const&) = delete;

    /// Sets the callbacks for crashes of backend servers.
    /// \param on_crash called when a backend server crashes while it
    ///     runs orders
    /// \param suspicion_of called before an order that waited behind another
    ///     suspect is queued
    void set_crash_handlers(crash_handler on_crash,
                            suspicion_lookup suspicion_of);

    /// Queues an order.
    /// \param order the order to run
    /// \param sink receives the events of the order
    /// \return identifier for cancel() and on_entry_lost()
    scheduling::request_id submit(work_order order, event_sink sink);

    /// Cancels an order whose caller has disconnected, and frees its slot.
    /// \param id identifier of the order; does nothing if it has ended
    void cancel(scheduling::request_id id);

    /// Cancels an order whose entry daemon is lost. An order that is running
    /// and may not be repeated is not cancelled.
    /// \param id identifier of the order; does nothing if it has ended
    void on_entry_lost(scheduling::request_id id);

    /// Applies a catalogue to scheduling.
    /// \param entries the catalogue that is now in force
    void apply_catalogue(catalogue::catalogue const& entries);

    /// Sets the backend servers that this daemon owns.
    /// \param owned the complete list; servers that are missing are removed
    void set_backend_servers(std::vector<backend_server_info> const& owned);

    /// Records whether a backend server is slow or failing compared with the
    /// others of its group.
    /// \param backend_server id of the server; without effect while this daemon
    ///     does not own it
    /// \param demoted true while the server should get less work
    void set_demoted(std::string const& backend_server, bool demoted);

    /// Refuses new orders and returns queued ones to their entry daemons.
    void drain();

    /// \return one load summary for each owned backend server
    [[nodiscard]] std::vector<scheduling::backend_server_summary>
    summaries() const;

    /// \param backend_server id of a backend server
    /// \return load summary of the backend server, or nothing if this
    ///     daemon does not own it
    [[nodiscard]] std::optional<scheduling::backend_server_summary>
    summary_of(std::string const& backend_server) const;

    /// \return usage of each organisation at this owner
    [[nodiscard]] std::vector<scheduling::organisation_usage> usage() const;

    /// Sets the usage of an organisation at other owners.
    /// \param organisation name of the organisation
    /// \param service_class service class that the usage is counted for
    /// \param usage sum over the other owners
    void set_remote_usage(std::string_view organisation,
                          std::string_view service_class,
                          scheduling::remote_usage const& usage);

    /// \return number of orders that wait or run
    [[nodiscard]] std::size_t open_orders() const { return orders_.size(); }

    /// \return number of orders that wait in the queue
    [[nodiscard]] std::size_t queued_orders() const
    {
        return scheduler_.queued();
    }

private:
    friend class owned_order;

    void enqueue(owned_order const& order);
    void leave_suspect_gate(owned_order const& order);
    void report_crash(std::string const& backend_server);
    void perform_actions();
    void perform(scheduling::dispatch const& action);
    void perform(scheduling::refuse const& action);
    void perform(scheduling::preempt const& action);
    void perform(scheduling::hand_back const& action);
    void perform(scheduling::wake_up const& action);
    void remove_order(scheduling::request_id id);
    void register_with_scheduler(backend_server_info const& server);
    void update_models(std::string const& backend_server,
                       nlohmann::json const& report);
    void schedule_load_poll();
    void poll_load(backend_server_info const& server);
    void update_readers();

    asio::io_context& io_;
    backend::http_client& client_;
    metrics& metrics_;
    std::string owner_;
    std::size_t stream_buffer_bytes_;
    chart::request_chart const& chart_;
    scheduling::owner_scheduler scheduler_;
    scheduling::action_list actions_;
    bool performing_actions_ = false;
    scheduling::request_id next_id_ = 1;
    std::unordered_map<scheduling::request_id, std::shared_ptr<owned_order>>
        orders_;
    std::map<std::string, backend_server_info, std::less<>> servers_;
    std::map<std::string, catalogue::group_kind, std::less<>> group_kinds_;
    std::map<std::string, std::vector<std::string>, std::less<>> models_;
    std::set<std::string, std::less<>> demoted_;
    routing::suspect_gate suspect_gate_;
    crash_handler on_crash_;
    suspicion_lookup suspicion_of_;
    asio::steady_timer wake_timer_;
    asio::steady_timer load_timer_;
    asio::steady_timer reading_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
