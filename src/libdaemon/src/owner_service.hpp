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

/// Tells of a backend server that crashed and of what ran there.
using crash_handler =
    std::function<void(std::string const& backend_server,
                       std::vector<routing::running_request> const& running)>;

/// Tells how a request that is suspected of crashing may run.
using suspicion_judge =
    std::function<routing::suspicion(routing::request_fingerprint)>;

/// The owner side of a daemon: queues orders for the backend servers that it
/// owns, sends them there as the scheduler decides, and passes the answers on.
class owner_service
{
public:
    /// \param io context of the daemon
    /// \param client sends requests to backend servers
    /// \param figures counters of the daemon
    /// \param owner id of this daemon
    /// \param stream_buffer_bytes bytes that may wait for a slow caller
    owner_service(asio::io_context& io, backend::http_client& client,
                  metrics& figures, std::string owner,
                  std::size_t stream_buffer_bytes);
    ~owner_service();
    owner_service(owner_service const&) = delete;
    owner_service& operator=(owner_service const&) = delete;

    /// Sets who is told of crashes and who judges suspects.
    void watch_crashes(crash_handler on_crash, suspicion_judge judge);

    /// Queues an order.
    /// \param order what to run
    /// \param sink receives its events
    /// \return identifier for cancel()
    scheduling::request_id submit(work_order order, event_sink sink);

    /// Forgets an order whose caller left, and frees its slot.
    /// \param id identifier of the order; does nothing if it has ended
    void cancel(scheduling::request_id id);

    /// Cancels an order whose entry daemon is gone, unless it runs and may not
    /// be repeated; such a one goes on.
    /// \param id identifier of the order; does nothing if it has ended
    void abandon(scheduling::request_id id);

    /// Puts a catalogue in force.
    /// \param entries the catalogue
    void set_catalogue(catalogue::catalogue const& entries);

    /// Sets the backend servers that this daemon owns.
    /// \param owned all of them
    void set_backend_servers(std::vector<backend_server_info> const& owned);

    /// Notes that a backend server is slow or failing against its siblings.
    /// \param backend_server id; ignored if this daemon does not own it
    /// \param demoted true while it should get less
    void set_demoted(std::string const& backend_server, bool demoted);

    /// Refuses new orders and gives queued ones back.
    void drain();

    /// \return one summary for each owned backend server
    [[nodiscard]] std::vector<scheduling::backend_server_summary>
    summaries() const;

    /// \param backend_server id of a backend server
    /// \return its summary, or nothing if this daemon does not own it
    [[nodiscard]] std::optional<scheduling::backend_server_summary>
    summary_of(std::string const& backend_server) const;

    /// \return what each organisation got here
    [[nodiscard]] std::vector<scheduling::organisation_usage> usage() const;

    /// Sets what an organisation uses at other owners.
    void set_remote_usage(std::string_view organisation,
                          std::string_view service_class,
                          scheduling::remote_usage const& usage);

    /// \return orders that wait or run
    [[nodiscard]] std::size_t open_orders() const { return orders_.size(); }

    /// \return orders that wait
    [[nodiscard]] std::size_t queued() const { return scheduler_.queued(); }

private:
    friend class owned_order;

    void enqueue(owned_order const& order);
    void leave_gate(owned_order const& order);
    void note_crash(std::string const& backend_server);
    void apply();
    void perform(scheduling::dispatch const& action);
    void perform(scheduling::refuse const& action);
    void perform(scheduling::preempt const& action);
    void perform(scheduling::hand_over const& action);
    void perform(scheduling::wake_up const& action);
    void forget(scheduling::request_id id);
    void describe(backend_server_info const& server);
    void note_models(std::string const& backend_server,
                     nlohmann::json const& report);
    void poll_load();
    void poll_load(backend_server_info const& server);
    void check_readers();

    asio::io_context& io_;
    backend::http_client& client_;
    metrics& metrics_;
    std::string owner_;
    std::size_t stream_buffer_bytes_;
    chart::request_chart const& chart_;
    scheduling::owner_scheduler scheduler_;
    scheduling::action_list actions_;
    bool applying_ = false;
    scheduling::request_id next_id_ = 1;
    std::unordered_map<scheduling::request_id, std::shared_ptr<owned_order>>
        orders_;
    std::map<std::string, backend_server_info, std::less<>> servers_;
    std::map<std::string, catalogue::group_kind, std::less<>> group_kinds_;
    std::map<std::string, std::vector<std::string>, std::less<>> models_;
    std::set<std::string, std::less<>> demoted_;
    routing::suspect_gate gate_;
    crash_handler on_crash_;
    suspicion_judge judge_;
    asio::steady_timer wake_timer_;
    asio::steady_timer load_timer_;
    asio::steady_timer reader_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
