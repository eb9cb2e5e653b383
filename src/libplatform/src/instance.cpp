#include <medlarstall/platform/instance.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::platform {

namespace {

using nlohmann::json;

constexpr char const* daemon_kind = "daemon";
constexpr char const* backend_server_kind = "backend_server";
constexpr char const* live_state = "live";
constexpr char const* leaving_state = "leaving";

error unexpected(char const* field, std::string const& seen,
                 std::string const& allowed)
{
    return {field, "\"" + seen + "\"; allowed: " + allowed};
}

} // namespace

result<instance> parse_instance(json const& object)
{
    try {
        instance read;
        read.id = object.at("id").get<std::string>();
        read.group = object.value("group", "");
        read.address = object.at("address").get<std::string>();
        read.port = object.at("port").get<std::uint16_t>();
        read.peer_port = object.value("peer_port", std::uint16_t{0});
        read.data_centre = object.value("data_centre", "");
        auto const kind = object.at("kind").get<std::string>();
        if (kind == backend_server_kind) {
            read.kind = instance_kind::backend_server;
        } else if (kind != daemon_kind) {
            return unexpected("kind", kind, "daemon, backend_server");
        }
        auto const state = object.value("state", live_state);
        if (state == leaving_state) {
            read.state = instance_state::leaving;
        } else if (state != live_state) {
            return unexpected("state", state, "live, leaving");
        }
        return read;
    } catch (json::exception const& failure) {
        return error{"instance", failure.what()};
    }
}

json to_json(instance const& from)
{
    bool const daemon = from.kind == instance_kind::daemon;
    bool const live = from.state == instance_state::live;
    return {{"id", from.id},
            {"kind", daemon ? daemon_kind : backend_server_kind},
            {"group", from.group},
            {"address", from.address},
            {"port", from.port},
            {"peer_port", from.peer_port},
            {"data_centre", from.data_centre},
            {"state", live ? live_state : leaving_state}};
}

} // namespace medlarstall::platform
