#include <medlarstall/catalogue/catalogue_reader.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::catalogue {

namespace {

using nlohmann::json;

std::chrono::milliseconds read_ms(json const& object, char const* key,
                                  std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds{object.value(key, fallback.count())};
}

void read_entry(json const& object, service_class& entry)
{
    entry.tier = object.value("tier", entry.tier);
    entry.floor = object.value("floor", entry.floor);
    entry.deadline = read_ms(object, "deadline_ms", entry.deadline);
    entry.targets.first_token =
        read_ms(object, "first_token_ms", entry.targets.first_token);
    entry.targets.between_tokens =
        read_ms(object, "between_tokens_ms", entry.targets.between_tokens);
}

void read_entry(json const& object, organisation& entry)
{
    entry.share = object.value("share", entry.share);
    entry.classes = object.value("classes", entry.classes);
    entry.key_digests = object.value("key_digests", entry.key_digests);
    auto const limits = object.value("limits", json::object());
    if (limits.contains("requests_per_second")) {
        entry.limits.requests_per_second =
            limits["requests_per_second"].get<double>();
    }
    if (limits.contains("tokens_per_second")) {
        entry.limits.tokens_per_second =
            limits["tokens_per_second"].get<double>();
    }
    if (limits.contains("concurrency")) {
        entry.limits.concurrency = limits["concurrency"].get<unsigned>();
    }
}

void read_entry(json const& object, backend_server_group& entry)
{
    entry.kind = object.value("kind", "engine") == "service"
                     ? group_kind::service
                     : group_kind::engine;
    entry.slots = object.value("slots", entry.slots);
    entry.checks_fencing = object.value("checks_fencing", true);
    for (auto const& item : object.value("backend_servers", json::array())) {
        entry.backend_servers.push_back(
            {.id = item.at("id"),
             .address = item.at("address"),
             .port = item.at("port"),
             .data_centre = item.value("data_centre", "")});
    }
}

void read_entry(json const& object, model& entry)
{
    entry.version = object.value("version", entry.version);
    entry.adapters = object.value("adapters", entry.adapters);
    entry.group = object.at("group");
    entry.replicas = object.value("replicas", entry.replicas);
}

void read_entry(json const& object, service& entry)
{
    entry.group = object.at("group");
    entry.repeatable = object.value("repeatable", entry.repeatable);
    entry.deadline = read_ms(object, "deadline_ms", entry.deadline);
    for (auto const& item : object.value("operations", json::array())) {
        entry.operations.push_back(
            {.method = item.value("method", "*"),
             .path_prefix = item.value("path_prefix", "/"),
             .repeatable = item.value("repeatable", true)});
    }
}

void read_entry(json const& object, operator_key& entry)
{
    entry.key_digest = object.at("key_digest");
    entry.consortium = object.value("consortium", false);
}

template<class Entry>
void read_table(json const& document, char const* key,
                entry_table<Entry>& table)
{
    auto const entries = document.value(key, json::object());
    for (auto const& [name, object] : entries.items()) {
        Entry entry;
        entry.name = name;
        entry.owner = object.value("owner", "");
        read_entry(object, entry);
        table[name] = {std::move(entry), 1};
    }
}

} // namespace

result<catalogue> catalogue_reader::read(std::string_view text) const
{
    try {
        auto const document = json::parse(text);
        catalogue entries;
        read_table(document, "classes", entries.classes);
        read_table(document, "organisations", entries.organisations);
        read_table(document, "groups", entries.groups);
        read_table(document, "models", entries.models);
        read_table(document, "services", entries.services);
        read_table(document, "operator_keys", entries.operator_keys);
        return entries;
    } catch (json::exception const& failure) {
        return error{"catalogue", failure.what()};
    }
}

} // namespace medlarstall::catalogue
