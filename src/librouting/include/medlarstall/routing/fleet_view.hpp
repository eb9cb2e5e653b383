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

/// A request that this daemon sent and no summary can show yet.
struct unreported_dispatch
{
    time_point sent;
    unsigned tier = 0;
};

/// What an entry daemon knows of one backend server. Plain data.
struct backend_server_view
{
    scheduling::backend_server_summary summary;
    time_point summary_at;
    std::deque<unreported_dispatch> unreported;
    std::vector<std::string> models; ///< Loaded models; empty: all.
    health_state health = health_state::healthy;
    double slowdown = 1.0; ///< Against its siblings.
    bool leaving = false;  ///< By the instance list.
    bool owned = true;     ///< False from the loss of its owner on.
    bool probe_due = false;
    bool known = false; ///< False once the backend server is gone.
};

/// Backend servers of one group, in ascending order. Plain data.
struct group_view
{
    std::vector<server_number> members;
    std::vector<server_number> usable; ///< May get any request.
    std::map<std::string, std::vector<server_number>, std::less<>>
        usable_by_model;                ///< For models that some server names.
    std::vector<server_number> probing; ///< May get one request each.
    double own_rate = 0.0; ///< Requests a second that this daemon sends.
    time_point rate_at;
    std::chrono::microseconds service_time{2'000'000}; ///< Recent mean.

    /// \param model name of a model
    /// \return the usable backend servers to sample from for it
    [[nodiscard]] std::vector<server_number> const&
    usable_for(std::string_view model) const
    {
        auto const found = usable_by_model.find(model);
        return found == usable_by_model.end() ? usable : found->second;
    }
};

/// How old summaries are read.
struct fleet_view_settings
{
    /// Longest time from a dispatch to the summary that must show it.
    std::chrono::milliseconds reflection{20};
    std::chrono::milliseconds rate_window{500}; ///< For own_rate.
    double service_time_weight = 0.05;          ///< Of one request in the mean.
};

/// Keeps what an entry daemon knows of the backend servers that it routes
/// to. Owned by the router.
class fleet_view
{
public:
    /// \param settings how old summaries are read
    explicit fleet_view(fleet_view_settings settings = {});

    /// Takes in a summary; one that is older than the last of its owner by
    /// its sequence is dropped. Sequence 0 stands for "not numbered".
    /// \param summary summary from the owner of a backend server
    /// \param now current time
    /// \return the number of the backend server
    server_number take(scheduling::backend_server_summary const& summary,
                       time_point now);

    /// Drops a backend server that is gone.
    /// \param backend_server its id
    /// \return its number if it was known
    std::optional<server_number> forget(std::string_view backend_server);

    /// Marks a backend server as leaving or not, by the instance list.
    /// \param backend_server its id
    /// \param leaving true if it gets no new work
    void set_leaving(std::string_view backend_server, bool leaving);

    /// Sets the health of a backend server.
    /// \param backend_server its id
    /// \param state result of the comparison with its siblings
    /// \param slowdown its latency as a multiple of theirs
    void set_health(std::string_view backend_server, health_state state,
                    double slowdown);

    /// Names the models that are loaded on a backend server.
    /// \param backend_server its id
    /// \param models loaded models; empty stands for all of its group
    void set_models(std::string_view backend_server,
                    std::vector<std::string> models);

    /// Marks the backend servers of a daemon as without owner until the next
    /// summary of any owner.
    /// \param owner daemon that was lost
    void lose_owner(std::string_view owner);

    /// Notes a request that this daemon sends.
    /// \param server backend server that it is sent for
    /// \param tier tier of the request
    /// \param now current time
    void note_dispatch(server_number server, unsigned tier, time_point now);

    /// Takes back the latest dispatch that an owner refused.
    /// \param server backend server that it was sent for
    /// \param tier tier of the request
    void note_refusal(server_number server, unsigned tier);

    /// Notes the time that a request took at a backend server.
    /// \param server backend server
    /// \param service_time from its start to its end
    void note_finish(server_number server,
                     std::chrono::microseconds service_time);

    /// \param backend_server id
    /// \return its number if it is known
    [[nodiscard]] std::optional<server_number>
    find(std::string_view backend_server) const;

    /// \param server number of a backend server
    /// \return what is known of it
    [[nodiscard]] backend_server_view const& at(server_number server) const
    {
        return servers_[server];
    }

    /// \param server number of a backend server
    /// \return true if it has an owner and is neither leaving nor gone
    [[nodiscard]] bool takes_work(server_number server) const;

    /// \param group name of a group
    /// \return its backend servers, or null if none is known
    [[nodiscard]] group_view const* group(std::string_view group) const;

private:
    struct string_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    server_number number_of(std::string const& backend_server);
    void drop_reported(backend_server_view& server, time_point now) const;
    void join_group(server_number server);
    void leave_group(server_number server);
    void refresh(std::string_view group);
    void refresh_models(group_view& group) const;

    fleet_view_settings settings_;
    std::deque<backend_server_view> servers_;
    std::unordered_map<std::string, server_number, string_hash, std::equal_to<>>
        numbers_;
    std::map<std::string, group_view, std::less<>> groups_;
};

} // namespace medlarstall::routing

#endif
