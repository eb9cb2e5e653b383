#ifndef MEDLARSTALL_ROUTING_ROUTER_HPP
#define MEDLARSTALL_ROUTING_ROUTER_HPP

#include <medlarstall/routing/cost_model.hpp>
#include <medlarstall/routing/fleet_view.hpp>
#include <medlarstall/routing/prefix_index.hpp>
#include <medlarstall/routing/route.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::routing {

/// Settings of a router.
struct router_settings
{
    cost_settings cost;
    fleet_view_settings view;
    prefix_index_settings prefixes;
    std::size_t sample = 2;      ///< Backend servers weighed at first.
    std::size_t busy_sample = 6; ///< Weighed if all of those are busy.
    std::uint64_t seed = 1;      ///< Must differ between daemons.
};

/// Chooses the backend server, and so the owner daemon, for each request that
/// enters through a daemon: the cheaper of those that probably hold the
/// prompt and of a small random sample. Pure; owned by the entry daemon, which
/// tells it of summaries, dispatches, refusals, ends and cache events.
class router
{
public:
    /// \param settings settings
    explicit router(router_settings settings);

    /// Takes in a summary from the owner of a backend server.
    /// \param summary the summary
    /// \param now current time
    void take_summary(scheduling::backend_server_summary const& summary,
                      time_point now);

    /// Drops a backend server that is gone.
    /// \param backend_server its id
    void forget(std::string_view backend_server);

    /// Marks a backend server as leaving or not, by the instance list.
    /// \param backend_server its id
    /// \param leaving true if it gets no new work
    void set_leaving(std::string_view backend_server, bool leaving);

    /// Sets the health of a backend server.
    /// \param backend_server its id
    /// \param state result of the comparison with its siblings
    /// \param slowdown its latency as a multiple of theirs, 1 or more
    void set_health(std::string_view backend_server, health_state state,
                    double slowdown);

    /// Names the models that are loaded on a backend server.
    /// \param backend_server its id
    /// \param models loaded models; empty stands for all of its group
    void set_models(std::string_view backend_server,
                    std::vector<std::string> models);

    /// Sets how many daemons route to the same backend servers.
    /// \param daemons live daemons, this one included
    void set_daemons(std::uint32_t daemons);

    /// Notes that a daemon was lost: what it owns gets nothing until another
    /// owner sends a summary.
    /// \param owner the daemon
    void lose_owner(std::string_view owner);

    /// Chooses where a request goes. Changes nothing but the random numbers:
    /// call note_dispatch() once it is sent.
    /// \param query the request and where it must not go
    /// \param now current time
    /// \return the choice, all candidates with their costs, and the reason
    [[nodiscard]] route choose(route_query const& query, time_point now);

    /// Notes that a request was sent.
    /// \param query the request
    /// \param backend_server backend server that it was sent for
    /// \param now current time
    void note_dispatch(route_query const& query,
                       std::string_view backend_server, time_point now);

    /// Notes that an owner refused a request before it ran.
    /// \param query the request
    /// \param backend_server backend server that it was sent for
    void note_refusal(route_query const& query,
                      std::string_view backend_server);

    /// Notes that a request ended.
    /// \param backend_server backend server that ran it
    /// \param service_time from its start there to its end
    void note_finish(std::string_view backend_server,
                     std::chrono::microseconds service_time);

    /// Notes a cache event.
    /// \param backend_server backend server that reported it
    /// \param prefix hash of the prefix
    /// \param stored true if it was stored, false if it was removed
    /// \param now current time
    void take_cache_event(std::string_view backend_server, prefix_hash prefix,
                          bool stored, time_point now);

    /// Notes that cache events of a backend server were lost.
    /// \param backend_server the backend server
    /// \param now current time
    void take_cache_gap(std::string_view backend_server, time_point now);

    /// \return what is known of the backend servers
    [[nodiscard]] fleet_view const& view() const { return view_; }

private:
    struct weighed;

    std::uint64_t next_random();
    bool can_run(server_number server, route_query const& query) const;
    weighed weigh(prefix_holder const& holder, group_view const& group,
                  route_query const& query, time_point now) const;
    static bool weighed_already(std::vector<weighed> const& pool,
                                server_number server);
    void weigh_affine(std::vector<weighed>& pool, group_view const& group,
                      route_query const& query, time_point now) const;
    void weigh_sample(std::vector<weighed>& pool, std::size_t size,
                      group_view const& group, route_query const& query,
                      time_point now);
    void weigh_all(std::vector<weighed>& pool, group_view const& group,
                   route_query const& query, time_point now) const;
    std::optional<server_number> due_probe(group_view const& group,
                                           route_query const& query) const;
    std::optional<server_number>
    isolated_server(group_view const& group, route_query const& query) const;
    route only(server_number server, route_reason reason,
               group_view const& group, route_query const& query,
               time_point now) const;
    route finish(std::vector<weighed> const& pool, route_reason reason) const;

    router_settings settings_;
    fleet_view view_;
    cost_model costs_;
    prefix_index prefixes_;
    std::uint64_t random_;
};

} // namespace medlarstall::routing

#endif
