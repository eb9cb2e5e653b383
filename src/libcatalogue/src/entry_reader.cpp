#include <medlarstall/catalogue/entry_reader.hpp>

#include <medlarstall/catalogue/limits.hpp>
#include <medlarstall/support/object_reader.hpp>

#include <utility>

namespace medlarstall::catalogue {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Ranges of values that are allowed in the catalogue.

constexpr range<milliseconds> deadline_range{milliseconds{10},
                                             milliseconds{86'400'000}};
constexpr range<milliseconds> latency_range{milliseconds{1},
                                            milliseconds{3'600'000}};
constexpr range<double> rate_range{0.001, 1e9};

void read_limits(object_reader& parent, organisation_limits& limits,
                 std::optional<error>& failure)
{
    auto const* object = parent.find_field("limits");
    if (object == nullptr) {
        return;
    }
    object_reader reader{*object, parent.path_of("limits"), failure};
    reader.read("requests_per_second", limits.requests_per_second, rate_range);
    reader.read("tokens_per_second", limits.tokens_per_second, rate_range);
    reader.read("concurrency", limits.concurrency,
                range<unsigned>{1, 1'000'000});
    reader.reject_unknown_fields();
}

void read_fields(object_reader& reader, service_class& entry,
                 std::optional<error>& /*failure*/)
{
    reader.read("tier", entry.tier, range<unsigned>{0, max_tier});
    reader.read("floor", entry.floor, range<double>{0.0, max_floor});
    reader.read("deadline_ms", entry.deadline, deadline_range);
    reader.read("first_token_ms", entry.targets.first_token, latency_range);
    reader.read("between_tokens_ms", entry.targets.between_tokens,
                latency_range);
}

void read_fields(object_reader& reader, organisation& entry,
                 std::optional<error>& failure)
{
    reader.read("share", entry.share, range<double>{0.001, 1e6});
    reader.read("classes", entry.classes, text_format::path_segment,
                max_classes);
    reader.read("key_digests", entry.key_digests, text_format::sha256_hex,
                max_keys);
    read_limits(reader, entry.limits, failure);
}

void read_kind(object_reader& reader, backend_server_group& entry)
{
    std::string kind = "engine";
    reader.read("kind", kind, text_format::path_segment);
    if (kind != "engine" && kind != "service") {
        reader.record_error(reader.path_of("kind"),
                            "'" + kind + "'; must be engine or service");
    }
    entry.kind = kind == "service" ? group_kind::service : group_kind::engine;
}

void read_fields(object_reader& reader, backend_server_group& entry,
                 std::optional<error>& failure)
{
    read_kind(reader, entry);
    reader.read("slots", entry.slots, range<unsigned>{1, 65'536});
    reader.read("checks_fencing", entry.checks_fencing);
    reader.for_each_item(
        "backend_servers", max_static_backend_servers,
        [&](json const& item, std::string const& path) {
            object_reader server{item, path, failure};
            static_backend_server value;
            unsigned port = 0;
            server.require("id");
            server.require("address");
            server.require("port");
            server.read("id", value.id, text_format::name);
            server.read("address", value.address, text_format::name);
            server.read("port", port, range<unsigned>{1, 65'535});
            server.read("data_centre", value.data_centre,
                        text_format::free_text);
            server.reject_unknown_fields();
            value.port = static_cast<std::uint16_t>(port);
            entry.backend_servers.push_back(std::move(value));
        });
    reader.for_each_item(
        "roles", max_roles, [&](json const& item, std::string const& path) {
            object_reader role{item, path, failure};
            role_target value;
            role.require("role");
            role.read("role", value.role, text_format::path_segment);
            role.read("backend_servers", value.backend_server_count,
                      range<unsigned>{0, 65'536});
            role.reject_unknown_fields();
            entry.roles.push_back(std::move(value));
        });
}

void read_fields(object_reader& reader, model& entry,
                 std::optional<error>& failure)
{
    reader.require("group");
    reader.read("group", entry.group, text_format::path_segment);
    reader.read("version", entry.version, text_format::free_text);
    reader.read("adapters", entry.adapters, text_format::name, max_adapters);
    reader.read("replicas", entry.replicas, range<unsigned>{0, 65'536});
    reader.read("default_class", entry.default_class,
                text_format::path_segment);
    read_limits(reader, entry.limits, failure);
}

void read_fields(object_reader& reader, service& entry,
                 std::optional<error>& failure)
{
    reader.require("group");
    reader.read("group", entry.group, text_format::path_segment);
    reader.read("repeatable", entry.repeatable);
    reader.read("deadline_ms", entry.deadline, deadline_range);
    reader.read("default_class", entry.default_class,
                text_format::path_segment);
    reader.for_each_item(
        "operations", max_operations,
        [&](json const& item, std::string const& path) {
            object_reader operation{item, path, failure};
            service_operation value{.method = "*", .path_prefix = "/"};
            operation.read("method", value.method, text_format::free_text);
            operation.read("path_prefix", value.path_prefix,
                           text_format::free_text);
            operation.read("repeatable", value.repeatable);
            operation.reject_unknown_fields();
            entry.operations.push_back(std::move(value));
        });
    read_limits(reader, entry.limits, failure);
}

void read_fields(object_reader& reader, operator_key& entry,
                 std::optional<error>& /*failure*/)
{
    reader.require("key_digest");
    reader.read("key_digest", entry.key_digest, text_format::sha256_hex);
    reader.read("consortium", entry.consortium);
}

/// \return form of the names of entries of a kind. Only the names of models may
///     contain "/" and ":" and be up to 128 characters long.
text_format name_form(entry_kind kind)
{
    return kind == entry_kind::model ? text_format::name
                                     : text_format::path_segment;
}

template<class Entry>
result<any_entry> read_as(std::string const& name, json const& object,
                          std::string const& path)
{
    std::optional<error> failure;
    object_reader reader{object, path, failure};
    Entry entry;
    entry.name = name;
    reader.require("owner");
    reader.read("owner", entry.owner, text_format::path_segment);
    read_fields(reader, entry, failure);
    reader.reject_unknown_fields();
    if (failure) {
        return *failure;
    }
    return any_entry{std::move(entry)};
}

} // namespace

result<any_entry> entry_reader::read(entry_kind kind, std::string const& name,
                                     json const& object,
                                     std::string const& path) const
{
    if (auto const* allowed = format_violation(name, name_form(kind))) {
        return error{path, "name '" + name.substr(0, 60) + "' " + allowed};
    }
    switch (kind) {
    case entry_kind::service_class:
        return read_as<service_class>(name, object, path);
    case entry_kind::organisation:
        return read_as<organisation>(name, object, path);
    case entry_kind::group:
        return read_as<backend_server_group>(name, object, path);
    case entry_kind::model:
        return read_as<model>(name, object, path);
    case entry_kind::service:
        return read_as<service>(name, object, path);
    case entry_kind::operator_key:
        return read_as<operator_key>(name, object, path);
    }
    return error{path, "has an unknown kind"};
}

} // namespace medlarstall::catalogue
