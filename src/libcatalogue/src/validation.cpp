#include <medlarstall/catalogue/validation.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>

namespace medlarstall::catalogue {

namespace {

using failure = std::optional<error>;

std::string path_of(char const* table, std::string const& name,
                    char const* field)
{
    return std::string{"$."} + table + "." + name + "." + field;
}

failure check_floors(catalogue const& entries)
{
    double sum = 0.0;
    for (auto const& [name, entry] : entries.classes) {
        sum += entry.value.floor;
        if (sum >= 1.0) {
            return error{path_of("classes", name, "floor"),
                         "brings the sum of all floors to " +
                             std::to_string(sum) + "; must be less than 1"};
        }
    }
    return std::nullopt;
}

failure check_class_reference(catalogue const& entries, std::string const& path,
                              std::string const& class_name)
{
    if (find(entries.classes, class_name) == nullptr) {
        return error{path,
                     "'" + class_name + "'; must name an entry of classes"};
    }
    return std::nullopt;
}

failure check_organisations(catalogue const& entries)
{
    for (auto const& [name, entry] : entries.organisations) {
        for (auto const& class_name : entry.value.classes) {
            auto const path = path_of("organisations", name, "classes");
            if (auto problem =
                    check_class_reference(entries, path, class_name)) {
                return problem;
            }
        }
    }
    return std::nullopt;
}

template<class Entry>
failure check_group_reference(catalogue const& entries, char const* table,
                              Entry const& entry, group_kind kind)
{
    auto const path = path_of(table, entry.name, "group");
    auto const* group = find(entries.groups, entry.group);
    if (group == nullptr) {
        return error{path,
                     "'" + entry.group + "'; must name an entry of groups"};
    }
    if (group->kind != kind) {
        return error{path,
                     "'" + entry.group + "'; must be a group of " +
                         (kind == group_kind::engine ? "engines" : "services")};
    }
    if (entry.default_class.empty()) {
        return std::nullopt;
    }
    return check_class_reference(entries,
                                 path_of(table, entry.name, "default_class"),
                                 entry.default_class);
}

failure check_models(catalogue const& entries)
{
    for (auto const& [name, entry] : entries.models) {
        if (auto problem = check_group_reference(entries, "models", entry.value,
                                                 group_kind::engine)) {
            return problem;
        }
    }
    return std::nullopt;
}

bool is_method(std::string const& text)
{
    return text == "*" || (!text.empty() && text.size() <= 16 &&
                           std::ranges::all_of(text, [](char character) {
                               return character >= 'A' && character <= 'Z';
                           }));
}

failure check_operations(service const& entry)
{
    for (auto const& operation : entry.operations) {
        if (!is_method(operation.method)) {
            return error{path_of("services", entry.name, "operations"),
                         "method '" + operation.method +
                             "'; must be * or up to 16 capital letters"};
        }
        if (!operation.path_prefix.starts_with('/')) {
            return error{path_of("services", entry.name, "operations"),
                         "path_prefix '" + operation.path_prefix +
                             "'; must start with /"};
        }
    }
    return std::nullopt;
}

failure check_services(catalogue const& entries)
{
    for (auto const& [name, entry] : entries.services) {
        if (auto problem = check_group_reference(
                entries, "services", entry.value, group_kind::service)) {
            return problem;
        }
        if (auto problem = check_operations(entry.value)) {
            return problem;
        }
    }
    return std::nullopt;
}

failure check_backend_servers(catalogue const& entries)
{
    std::set<std::string> seen;
    for (auto const& [name, entry] : entries.groups) {
        for (auto const& server : entry.value.backend_servers) {
            if (!seen.insert(server.id).second) {
                return error{path_of("groups", name, "backend_servers"),
                             "id '" + server.id +
                                 "'; must not appear twice in the catalogue"};
            }
        }
        std::set<std::string> roles;
        for (auto const& target : entry.value.roles) {
            if (!roles.insert(target.role).second) {
                return error{path_of("groups", name, "roles"),
                             "role '" + target.role +
                                 "'; must not appear twice in a group"};
            }
        }
    }
    return std::nullopt;
}

failure check_keys(catalogue const& entries)
{
    std::unordered_set<std::string_view> seen;
    for (auto const& [name, entry] : entries.organisations) {
        for (auto const& digest : entry.value.key_digests) {
            if (!seen.insert(digest).second) {
                return error{path_of("organisations", name, "key_digests"),
                             digest + "; must not appear twice"};
            }
        }
    }
    bool has_consortium_key = entries.operator_keys.empty();
    for (auto const& [name, entry] : entries.operator_keys) {
        has_consortium_key = has_consortium_key || entry.value.consortium;
        if (!seen.insert(entry.value.key_digest).second) {
            return error{path_of("operator_keys", name, "key_digest"),
                         entry.value.key_digest + "; must not appear twice"};
        }
    }
    if (!has_consortium_key) {
        return error{"$.operator_keys",
                     "has no key of a consortium operator; must keep one"};
    }
    return std::nullopt;
}

} // namespace

status validate(catalogue const& entries)
{
    for (auto* check : {check_floors, check_organisations, check_models,
                        check_services, check_backend_servers, check_keys}) {
        if (auto problem = check(entries)) {
            return *problem;
        }
    }
    return success();
}

} // namespace medlarstall::catalogue
