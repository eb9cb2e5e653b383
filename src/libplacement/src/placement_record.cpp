#include <medlarstall/placement/placement_record.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::placement {

namespace {

using nlohmann::json;

constexpr std::size_t most_text = 256;
constexpr std::size_t most_backend_servers = 65'536;

bool is_text(json const& value)
{
    return value.is_string() &&
           value.get_ref<std::string const&>().size() <= most_text;
}

bool is_text(json const& object, char const* key)
{
    return object.contains(key) && is_text(object[key]);
}

result<placement_record> parse_fence(json const& value)
{
    auto const servers = value.find("backend_servers");
    if (servers == value.end() || !servers->is_array() ||
        servers->size() > most_backend_servers) {
        return error{"backend_servers", "must be an array"};
    }
    fence_record record{.holder = value["daemon"]};
    for (auto const& server : *servers) {
        if (!is_text(server)) {
            return error{"backend_servers", "must hold ids"};
        }
        record.backend_servers.push_back(server);
    }
    return record;
}

} // namespace

json to_json(placement_record const& record)
{
    if (auto const* fence = std::get_if<fence_record>(&record)) {
        return {{"kind", "fence"},
                {"daemon", fence->holder},
                {"backend_servers", fence->backend_servers}};
    }
    auto const& ticket = std::get<ticket_record>(record);
    return {{"kind", "ticket"},
            {"daemon", ticket.daemon},
            {"ticket", ticket.ticket}};
}

result<placement_record> parse_placement_record(json const& value)
{
    if (!value.is_object() || !is_text(value, "kind") ||
        !is_text(value, "daemon")) {
        return error{"placement record", "must have kind and daemon"};
    }
    if (value["kind"] == "fence") {
        return parse_fence(value);
    }
    if (value["kind"] != "ticket") {
        return error{"kind", "must be fence or ticket"};
    }
    if (!is_text(value, "ticket")) {
        return error{"ticket", "must be a text"};
    }
    return ticket_record{.daemon = value["daemon"], .ticket = value["ticket"]};
}

} // namespace medlarstall::placement
