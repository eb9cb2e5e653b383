#include "daemon_context.hpp"

#include "summary_codec.hpp"

namespace medlarstall::daemon {

namespace {

std::uint64_t seed_of(daemon_settings const& settings)
{
    if (settings.seed != 0) {
        return settings.seed;
    }
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

routing::router_settings router_settings_of(daemon_settings const& settings,
                                            std::uint64_t seed)
{
    routing::router_settings router_settings;
    router_settings.seed = seed;
    router_settings.cost.data_centre = settings.data_centre;
    return router_settings;
}

} // namespace

daemon_context::daemon_context(asio::io_context& io_context,
                               daemon_settings initial_settings)
    : io{io_context}, settings{std::move(initial_settings)},
      random{seed_of(settings)}, http_client{io, {}},
      peers{io, {.secret = settings.peer_secret}},
      router{router_settings_of(settings, random())}
{}

catalogue::organisation const*
daemon_context::find_organisation(std::string_view key) const
{
    return catalogue.in_force->keys.find_organisation(key);
}

void daemon_context::apply_summary(std::string const& owner,
                                   nlohmann::json const& list)
{
    auto read = parse_summary(list);
    if (failed(read)) {
        ++daemon_metrics.bad_peer_messages;
        return;
    }
    auto& summary = value_of(read);
    auto const server =
        known_fleet.backend_servers.find(summary.backend_server);
    if (server == known_fleet.backend_servers.end()) {
        return;
    }
    summary.owner = owner;
    summary.group = server->second.group;
    summary.data_centre = server->second.data_centre;
    router.apply_summary(summary, monotonic_clock::now());
}

uuid daemon_context::new_uuid()
{
    auto const now = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    return make_uuid_v7(now, random(), random());
}

} // namespace medlarstall::daemon
