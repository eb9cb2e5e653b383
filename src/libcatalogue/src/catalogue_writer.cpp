#include <medlarstall/catalogue/catalogue_writer.hpp>

#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/json_text.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::catalogue {

namespace {

using nlohmann::json;

json limits_to_json(organisation_limits const& limits)
{
    json object = json::object();
    if (limits.requests_per_second) {
        object["requests_per_second"] = *limits.requests_per_second;
    }
    if (limits.tokens_per_second) {
        object["tokens_per_second"] = *limits.tokens_per_second;
    }
    if (limits.concurrency) {
        object["concurrency"] = *limits.concurrency;
    }
    return object;
}

void add_limits(json& object, organisation_limits const& limits)
{
    auto limits_object = limits_to_json(limits);
    if (!limits_object.empty()) {
        object["limits"] = std::move(limits_object);
    }
}

void add_text(json& object, char const* key, std::string const& text)
{
    if (!text.empty()) {
        object[key] = text;
    }
}

json fields_to_json(service_class const& entry)
{
    return {{"tier", entry.tier},
            {"floor", entry.floor},
            {"deadline_ms", entry.deadline.count()},
            {"first_token_ms", entry.targets.first_token.count()},
            {"between_tokens_ms", entry.targets.between_tokens.count()}};
}

json fields_to_json(organisation const& entry)
{
    json object{{"share", entry.share},
                {"classes", entry.classes},
                {"key_digests", entry.key_digests}};
    add_limits(object, entry.limits);
    return object;
}

json fields_to_json(backend_server_group const& entry)
{
    json object{
        {"kind", entry.kind == group_kind::service ? "service" : "engine"},
        {"slots", entry.slots},
        {"checks_fencing", entry.checks_fencing}};
    for (auto const& server : entry.backend_servers) {
        json item{{"id", server.id},
                  {"address", server.address},
                  {"port", server.port}};
        add_text(item, "data_centre", server.data_centre);
        object["backend_servers"].push_back(std::move(item));
    }
    for (auto const& target : entry.roles) {
        object["roles"].push_back(
            {{"role", target.role},
             {"backend_servers", target.backend_server_count}});
    }
    return object;
}

json fields_to_json(model const& entry)
{
    json object{{"group", entry.group},
                {"version", entry.version},
                {"adapters", entry.adapters},
                {"replicas", entry.replicas}};
    add_text(object, "default_class", entry.default_class);
    add_limits(object, entry.limits);
    return object;
}

json fields_to_json(service const& entry)
{
    json object{{"group", entry.group},
                {"repeatable", entry.repeatable},
                {"deadline_ms", entry.deadline.count()}};
    add_text(object, "default_class", entry.default_class);
    add_limits(object, entry.limits);
    for (auto const& operation : entry.operations) {
        object["operations"].push_back({{"method", operation.method},
                                        {"path_prefix", operation.path_prefix},
                                        {"repeatable", operation.repeatable}});
    }
    return object;
}

json fields_to_json(operator_key const& entry)
{
    return {{"key_digest", entry.key_digest}, {"consortium", entry.consortium}};
}

template<class Entry>
json entry_to_json(Entry const& entry)
{
    auto object = fields_to_json(entry);
    object["owner"] = entry.owner;
    return object;
}

} // namespace

json catalogue_writer::to_json(any_entry const& entry) const
{
    return std::visit([](auto const& value) { return entry_to_json(value); },
                      entry);
}

json catalogue_writer::to_json(catalogue const& entries) const
{
    json document = json::object();
    visit_tables(entries, [&](entry_kind kind, auto const& table) {
        auto& object = document[std::string{table_name(kind)}];
        object = json::object();
        for (auto const& [name, entry] : table) {
            object[name] = entry_to_json(entry.value);
        }
    });
    return document;
}

json catalogue_writer::revisions_to_json(catalogue const& entries) const
{
    json document = json::object();
    visit_tables(entries, [&](entry_kind kind, auto const& table) {
        auto& object = document[std::string{table_name(kind)}];
        object = json::object();
        for (auto const& [name, entry] : table) {
            object[name] = json::array({entry.at, entry.changed_by});
        }
    });
    return document;
}

std::string catalogue_writer::write(catalogue const& entries) const
{
    return canonical_json(to_json(entries));
}

std::string catalogue_digest(catalogue const& entries)
{
    catalogue_writer const writer;
    return sha256_hex(canonical_json(writer.to_json(entries)) + "\n" +
                      canonical_json(writer.revisions_to_json(entries)));
}

} // namespace medlarstall::catalogue
