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
struct node;

/// Keeps this daemon's view of the fleet: live daemons, backend servers, who
/// owns them, and what their owners say of their load. Tells the others what
/// this daemon knows, within a budget of bytes.
class fleet_service
{
public:
    /// \param shared parts of this daemon
    /// \param catalogue the catalogue of this daemon
    /// \param on_changed called after the live daemons changed
    fleet_service(node& shared, catalogue_service& catalogue,
                  std::function<void()> on_changed);
    ~fleet_service();
    fleet_service(fleet_service const&) = delete;
    fleet_service& operator=(fleet_service const&) = delete;

    /// Starts to tell and to listen.
    /// \param self this daemon
    void start(daemon_info self);

    /// Takes a reading of the instance list.
    void take_list(platform::instance_snapshot const& list);

    /// Takes the backend servers that the catalogue names.
    void catalogue_changed();

    /// Marks this daemon as leaving, so that it gives up what it owns.
    void leave();

    /// Tells the others of a crash or a clearance.
    void tell(routing::quarantine_record const& record);

    /// Takes a stream of another daemon.
    void accept(std::shared_ptr<peer::peer_stream> const& stream)
    {
        links_.accept(stream);
    }

    /// Sends a message to another daemon.
    void send(std::string const& daemon, nlohmann::json const& message);

    /// Sets who takes the messages of the aggregation tree.
    void on_tree_message(
        std::function<void(std::string const&, nlohmann::json const&)> take)
    {
        take_tree_ = std::move(take);
    }

    /// \return bytes of messages sent to other daemons so far
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    void tick();
    void take_message(nlohmann::json const& message);
    void take_heartbeat(nlohmann::json const& value);
    void take_summaries(nlohmann::json const& message);
    void send_catalogue(std::string const& daemon, std::uint64_t offset);
    void update_backend_servers();
    void recompute();
    void collect_backend_servers();
    void assign();
    void forget_absent(
        std::map<std::string, backend_server_info, std::less<>> const& former);
    void update_health(time_point now);
    void send_summaries(time_point now);

    node& node_;
    catalogue_service& catalogue_;
    std::function<void()> on_changed_;
    control_links links_;
    std::function<void(std::string const&, nlohmann::json const&)> take_tree_;
    std::unique_ptr<membership::live_view> view_;
    daemon_info self_;
    membership::backend_server_states states_;
    std::vector<backend_server_info> listed_servers_;
    std::uint64_t seen_servers_ = 0;
    std::map<std::string, std::vector<std::string>> recipients_; ///< Servers
                                                                 ///< by entry.
    std::map<std::string, time_point> catalogue_sent_;
    std::uint64_t seen_generation_ = 0;
    double summary_budget_ = 0; ///< Bytes that may be sent now.
    time_point budget_at_;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t notices_ = 0;
    bool stale_ = true;
    time_point recomputed_at_;
    time_point health_at_;
    asio::steady_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
