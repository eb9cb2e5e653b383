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

/// Settings of a router and of the parts that it owns.
struct router_settings
{
    cost_settings cost;
    fleet_view_settings view;
    prefix_index_settings prefixes;
    /// Backend servers sampled at random for each request.
    std::size_t sample_size = 2;
    /// Backend servers sampled in addition if all candidates are busy.
    std::size_t busy_sample_size = 6;
    /// Seed of the random numbers. It must differ between daemons, so that
    /// they do not all choose the same backend servers.
    std::uint64_t seed = 1;
};

/// Chooses the backend server, and with it the owner daemon, for each request
/// that enters through a daemon: the one with the lowest cost among a small
/// random sample and the backend servers that probably have the prompt in
/// their cache. Performs no I/O; owned by the entry daemon, which
/// reports summaries, dispatches, refusals, finished requests and cache events
/// to it.
class router
{
public:
    /// \param settings settings of the router and its parts
    explicit router(router_settings settings);

    /// Applies a summary from the owner of a backend server.
    /// \param summary state of the backend server and its queue
    /// \param now current time, kept as the time of receipt
    void apply_summary(scheduling::backend_server_summary const& summary,
                       time_point now);

    /// Removes a backend server and its cached prefixes.
    /// \param backend_server id of the backend server; ignored if unknown
    void remove_backend_server(std::string_view backend_server);

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

    /// Sets how many daemons route to the same backend servers.
    /// \param daemons number of live daemons including this one
    void set_daemon_count(std::uint32_t daemons);

    /// Records that a daemon was lost. Each of its backend servers gets no
    /// requests until a summary from any owner arrives for it.
    /// \param owner daemon that was lost
    void mark_owner_lost(std::string_view owner);

    /// Chooses the backend server for a request. Only the state of the random
    /// numbers changes; on_dispatch() must be called once the request is sent.
    /// \param query the request, and where it must not be sent
    /// \param now current time
    /// \return the choice, all candidates with their costs, and the reason;
    ///     without candidates if no backend server can run the request
    [[nodiscard]] route choose(route_query const& query, time_point now);

    /// Records that a request was sent.
    /// \param query request that was sent
    /// \param backend_server backend server that it was sent to
    /// \param now current time
    void on_dispatch(route_query const& query, std::string_view backend_server,
                     time_point now);

    /// Records that an owner refused a request before it ran.
    /// \param query request that was refused
    /// \param backend_server backend server that it was sent to
    void on_refusal(route_query const& query, std::string_view backend_server);

    /// Records that a request finished.
    /// \param backend_server backend server that ran it
    /// \param service_time time from its start there to its end
    void on_finish(std::string_view backend_server,
                   std::chrono::microseconds service_time);

    /// Applies a cache event.
    /// \param backend_server backend server that sent the event
    /// \param prefix hash of the prefix
    /// \param stored true if the prefix was stored, false if it was evicted
    /// \param now current time
    void on_cache_event(std::string_view backend_server, prefix_hash prefix,
                        bool stored, time_point now);

    /// Records that cache events of a backend server were lost.
    /// \param backend_server backend server that sent the events
    /// \param now current time
    void on_cache_events_lost(std::string_view backend_server, time_point now);

    /// \return the state of all known backend servers
    [[nodiscard]] fleet_view const& view() const { return view_; }

private:
    struct evaluated_server;

    std::uint64_t next_random();
    bool can_run(server_number server, route_query const& query) const;
    evaluated_server evaluate(prefix_holder const& holder,
                              group_view const& group, route_query const& query,
                              time_point now) const;
    static bool contains_server(std::vector<evaluated_server> const& pool,
                                server_number server);
    void evaluate_prefix_holders(std::vector<evaluated_server>& pool,
                                 group_view const& group,
                                 route_query const& query,
                                 time_point now) const;
    void evaluate_sample(std::vector<evaluated_server>& pool, std::size_t size,
                         group_view const& group, route_query const& query,
                         time_point now);
    void evaluate_all(std::vector<evaluated_server>& pool,
                      group_view const& group, route_query const& query,
                      time_point now) const;
    std::optional<server_number> find_due_probe(group_view const& group,
                                                route_query const& query) const;
    std::optional<server_number>
    find_isolated_server(group_view const& group,
                         route_query const& query) const;
    route make_single_route(server_number server, route_reason reason,
                            group_view const& group, route_query const& query,
                            time_point now) const;
    route make_route(std::vector<evaluated_server> const& pool,
                     route_reason reason) const;

    router_settings settings_;
    fleet_view view_;
    cost_model cost_model_;
    prefix_index prefix_index_;
    std::uint64_t random_;
};

} // namespace medlarstall::routing

#endif
