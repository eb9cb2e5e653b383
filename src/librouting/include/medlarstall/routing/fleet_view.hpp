#ifndef MEDLARSTALL_ROUTING_FLEET_VIEW_HPP
#define MEDLARSTALL_ROUTING_FLEET_VIEW_HPP

#include <medlarstall/routing/health_state.hpp>
#include <medlarstall/routing/prefix_index.hpp>
#include <medlarstall/scheduling/summary.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarstall::routing {

/// A request that this daemon sent too recently to be included in a summary.
struct unreported_dispatch
{
    time_point sent_at;
    unsigned tier = 0;
};

/// State of one backend server as known to an entry daemon. Plain data.
struct backend_server_view
{
    scheduling::backend_server_summary summary; ///< Latest from its owner.
    time_point summary_received_at;
    std::deque<unreported_dispatch> unreported_dispatches; ///< Oldest first.
    std::vector<std::string> loaded_models; ///< Empty stands for all models.
    health_state health = health_state::healthy;
    double slowdown = 1.0;  ///< Latency as a multiple of its siblings'.
    bool leaving = false;   ///< Marked as leaving in the instance list.
    bool has_owner = true;  ///< False after its owner was lost.
    bool probe_due = false; ///< True until a probe request was dispatched.
    bool known = false;     ///< False once the backend server was removed.
};

/// Backend servers of one group, each list in ascending order. Plain data.
struct group_view
{
    std::vector<server_number> members;
    std::vector<server_number> usable; ///< Members that may get any request.
    /// Usable members by model, for each model that some member lists.
    std::map<std::string, std::vector<server_number>, std::less<>>
        usable_by_model;
    std::vector<server_number> probing; ///< Members that get only probes.
    double own_dispatch_rate = 0.0;     ///< Requests a second from this daemon.
    time_point rate_updated_at;
    /// Moving average of the service time of requests.
    std::chrono::microseconds mean_service_time{2'000'000};

    /// \param model name of a model
    /// \return the usable members to sample from for the model; all usable
    ///     members if none of the group lists it
    [[nodiscard]] std::vector<server_number> const&
    usable_for_model(std::string_view model) const
    {
        auto const found = usable_by_model.find(model);
        return found == usable_by_model.end() ? usable : found->second;
    }
};

/// Time constants and weights for the estimates of a fleet_view.
struct fleet_view_settings
{
    /// Longest time between a dispatch and the first summary that includes it.
    std::chrono::milliseconds max_report_delay{20};
    /// Time constant of the moving average group_view::own_dispatch_rate.
    std::chrono::milliseconds rate_window{500};
    /// Weight of one request in group_view::mean_service_time.
    double service_time_weight = 0.05;
};

/// Keeps the state of all backend servers that an entry daemon routes to.
/// Owned by the router.
class fleet_view
{
public:
    /// \param settings time constants and weights
    explicit fleet_view(fleet_view_settings settings = {});

    /// Applies a summary, and adds its backend server if it is unknown. A
    /// summary is dropped if the last one of the same owner had the same or a
    /// higher sequence number. Sequence 0 means that the owner does not number
    /// its summaries; such a summary is always applied.
    /// \param summary summary from the owner of a backend server
    /// \param now current time, kept as the time of receipt
    /// \return the number of the backend server
    server_number
    apply_summary(scheduling::backend_server_summary const& summary,
                  time_point now);

    /// Removes a backend server.
    /// \param backend_server id of the backend server
    /// \return its former number, or nothing if it is unknown
    std::optional<server_number> remove(std::string_view backend_server);

    /// Applies the leaving mark of the instance list to a backend server.
    /// \param backend_server id of the backend server; ignored if unknown
    /// \param leaving true if it must not get new work
    void set_leaving(std::string_view backend_server, bool leaving);

    /// Sets the health of a backend server.
    /// \param backend_server id of the backend server; ignored if unknown
    /// \param state result of the comparison with its siblings
    /// \param slowdown latency as a multiple of its siblings'; values below 1
    ///     count as 1
    void set_health(std::string_view backend_server, health_state state,
                    double slowdown);

    /// Sets the models that are loaded on a backend server.
    /// \param backend_server id of the backend server; ignored if unknown
    /// \param models loaded models; empty stands for all models of its group
    void set_loaded_models(std::string_view backend_server,
                           std::vector<std::string> models);

    /// Marks all backend servers of a daemon as having no owner. Each gets no
    /// requests until a summary from any owner arrives for it.
    /// \param owner daemon that was lost
    void mark_owner_lost(std::string_view owner);

    /// Records that this daemon sends a request.
    /// \param server backend server that the request is sent to
    /// \param tier tier of the request
    /// \param now current time, used for the dispatch rate of the group
    void on_dispatch(server_number server, unsigned tier, time_point now);

    /// Removes the latest unreported dispatch of a tier because the owner
    /// refused the request. Does nothing if there is none.
    /// \param server backend server that the request was sent to
    /// \param tier tier of the request
    void on_refusal(server_number server, unsigned tier);

    /// Updates the mean service time of a group by a request that ended.
    /// \param server backend server that ran the request
    /// \param service_time time from its start to its end
    void on_finish(server_number server,
                   std::chrono::microseconds service_time);

    /// \param backend_server id of a backend server
    /// \return its number, or nothing if it is unknown
    [[nodiscard]] std::optional<server_number>
    find(std::string_view backend_server) const;

    /// \param server number of a backend server, as returned by find()
    /// \return the state of the backend server
    [[nodiscard]] backend_server_view const& at(server_number server) const
    {
        return servers_[server];
    }

    /// \param server number of a backend server
    /// \return true if it has an owner and is neither leaving nor removed,
    ///     whatever its health
    [[nodiscard]] bool accepts_work(server_number server) const;

    /// \param group name of a group
    /// \return its backend servers, or null if the group is unknown
    [[nodiscard]] group_view const* find_group(std::string_view group) const;

private:
    struct string_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    server_number find_or_add(std::string const& backend_server);
    void drop_reported_dispatches(backend_server_view& server,
                                  time_point now) const;
    void add_to_group(server_number server);
    void remove_from_group(server_number server);
    void update_usable_lists(std::string_view group);
    void update_model_lists(group_view& group) const;

    fleet_view_settings settings_;
    std::deque<backend_server_view> servers_;
    std::unordered_map<std::string, server_number, string_hash, std::equal_to<>>
        numbers_;
    std::map<std::string, group_view, std::less<>> groups_;
};

} // namespace medlarstall::routing

#endif
