#ifndef MEDLARSTALL_DAEMON_FLEET_SERVICE_HPP
#define MEDLARSTALL_DAEMON_FLEET_SERVICE_HPP

#include "control_links.hpp"
#include "fleet.hpp"

#include <medlarstall/membership/backend_server_states.hpp>
#include <medlarstall/membership/live_view.hpp>
#include <medlarstall/membership/subset.hpp>
#include <medlarstall/platform/instance.hpp>
#include <medlarstall/routing/quarantine_record.hpp>
#include <medlarstall/scheduling/summary.hpp>

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::daemon {

class catalogue_service;
struct daemon_context;

/// Maintains this daemon's view of the fleet: the live daemons, the backend
/// servers, which daemon owns each server, and the load that the owners report.
/// Sends heartbeats, quarantine records, catalogue updates and load summaries
/// to the other daemons, the summaries within a budget of bytes.
class fleet_service
{
public:
    /// \param context state that all services of this daemon share
    /// \param catalogue source and receiver of catalogue updates
    /// \param on_changed called after the set of live daemons has changed
    fleet_service(daemon_context& context, catalogue_service& catalogue,
                  std::function<void()> on_changed);
    ~fleet_service();
    fleet_service(fleet_service const&) = delete;
    fleet_service& operator=(fleet_service const&) = delete;

    /// Starts exchanging messages with the other daemons.
    /// \param self description of this daemon
    void start(daemon_info self);

    /// Applies the current instance list of the platform.
    void on_instance_list(platform::instance_snapshot const& list);

    /// Updates the backend servers that the catalogue lists.
    void on_catalogue_changed();

    /// Marks this daemon as leaving, so that the ownership of its backend
    /// servers passes to other daemons.
    void mark_self_leaving();

    /// Sends a record of a crash, or of a request cleared of suspicion, to the
    /// other daemons.
    void broadcast_quarantine_record(routing::quarantine_record const& record);

    /// Receives the messages on a stream that another daemon opened.
    void accept(std::shared_ptr<peer::peer_stream> const& stream)
    {
        control_links_.accept(stream);
    }

    /// Sends a message to another daemon. It is dropped if that daemon is not
    /// listed or reads too slowly.
    void send(std::string const& daemon, nlohmann::json const& message);

    /// Sets the handler of the messages that aggregate usage over the fleet.
    /// \param handler receives the id of the sender and the message
    void set_share_message_handler(
        std::function<void(std::string const&, nlohmann::json const&)> handler)
    {
        share_message_handler_ = std::move(handler);
    }

    /// \return bytes of control messages sent to other daemons so far
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    void on_tick();
    void on_message(nlohmann::json const& message);
    void on_heartbeat(nlohmann::json const& heartbeat);
    void on_summaries(nlohmann::json const& message);
    void send_catalogue_updates(std::string const& daemon,
                                std::uint64_t offset);
    void update_backend_servers();
    void recompute_assignment();
    void collect_backend_servers();
    void assign_backend_servers();
    void remove_absent_servers(std::map<std::string, backend_server_info,
                                        std::less<>> const& previous);
    void update_health(time_point now);
    void send_summaries(time_point now);

    daemon_context& context_;
    catalogue_service& catalogue_service_;
    std::function<void()> on_changed_;
    control_links control_links_;
    std::function<void(std::string const&, nlohmann::json const&)>
        share_message_handler_;
    std::unique_ptr<membership::live_view> live_view_;
    daemon_info self_;
    membership::backend_server_states server_states_;
    std::vector<backend_server_info> listed_servers_;
    std::uint64_t server_states_generation_ = 0;
    /// Ids of the owned backend servers whose summaries another daemon
    /// receives, by id of that daemon.
    std::map<std::string, std::vector<std::string>> servers_by_recipient_;
    std::map<std::string, time_point> catalogue_sent_at_;
    std::uint64_t live_view_generation_ = 0;
    double summary_budget_bytes_ = 0; ///< Below 0, no summaries are sent.
    time_point summary_budget_updated_at_;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t notice_count_ = 0;
    bool assignment_stale_ = true;
    time_point assignment_computed_at_;
    time_point health_evaluated_at_;
    asio::steady_timer tick_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
