#include <medlarstall/cli/catalogue_diff.hpp>

#include <medlarstall/catalogue/catalogue_reader.hpp>
#include <medlarstall/catalogue/catalogue_writer.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::cli {

namespace {

using catalogue::any_entry;
using catalogue::edit;
using catalogue::entry_kind;
using nlohmann::json;

/// Appends the edits of one table, first the new and changed entries, then the
/// deleted ones.
template<class Table>
void find_table_edits(entry_kind kind, Table const& in_force,
                      Table const& wanted, absent_entry_policy policy,
                      std::vector<edit>& edits)
{
    catalogue::catalogue_writer const writer;
    for (auto const& [name, entry] : wanted) {
        auto const existing = in_force.find(name);
        any_entry const value{entry.value};
        bool const exists = existing != in_force.end();
        if (exists && writer.to_json(any_entry{existing->second.value}) ==
                          writer.to_json(value)) {
            continue;
        }
        edits.push_back({.kind = kind,
                         .name = name,
                         .expected = exists ? existing->second.at : 0,
                         .put = value});
    }
    if (policy == absent_entry_policy::keep_entries) {
        return;
    }
    for (auto const& [name, entry] : in_force) {
        if (!wanted.contains(name)) {
            edits.push_back({.kind = kind,
                             .name = name,
                             .expected = entry.at,
                             .put = std::nullopt});
        }
    }
}

/// Returns the entry that an edit refers to, as JSON; null if it does not
/// exist.
json entry_to_json(catalogue::catalogue const& entries, edit const& change)
{
    json found;
    catalogue::visit_tables(entries, [&](entry_kind kind, auto const& table) {
        auto const existing = table.find(change.name);
        if (kind == change.kind && existing != table.end()) {
            found = catalogue::catalogue_writer{}.to_json(
                any_entry{existing->second.value});
        }
    });
    return found;
}

/// Formats the members that differ between two versions of an entry.
std::string render_changed_members(json const& before, json const& after)
{
    std::string text;
    for (auto const& [key, value] : before.items()) {
        if (!after.contains(key)) {
            text += "    " + key + ": " + value.dump() + " -> absent\n";
        } else if (after[key] != value) {
            text += "    " + key + ": " + value.dump() + " -> " +
                    after[key].dump() + "\n";
        }
    }
    for (auto const& [key, value] : after.items()) {
        if (!before.contains(key)) {
            text += "    " + key + ": absent -> " + value.dump() + "\n";
        }
    }
    return text;
}

} // namespace

result<catalogue::catalogue> parse_catalogue_response(json const& response)
{
    if (!response.is_object() || !response.contains("catalogue") ||
        !response.contains("revisions")) {
        return error{"catalogue",
                     "the daemon's response contains no catalogue"};
    }
    auto const& revisions = response["revisions"];
    bool is_empty = true;
    for (auto const& [name, table] : revisions.items()) {
        is_empty = is_empty && table.empty();
    }
    if (is_empty) {
        return catalogue::catalogue{};
    }
    auto parsed =
        catalogue::catalogue_reader{}.read_json(response["catalogue"]);
    if (failed(parsed)) {
        return parsed;
    }
    catalogue::visit_tables(
        value_of(parsed), [&](entry_kind kind, auto& table) {
            for (auto& [name, entry] : table) {
                auto const& entry_revisions =
                    revisions[std::string{catalogue::table_name(kind)}][name];
                entry.at =
                    entry_revisions.at(0).template get<catalogue::revision>();
            }
        });
    return parsed;
}

std::vector<edit> find_edits(catalogue::catalogue const& in_force,
                             catalogue::catalogue const& wanted,
                             absent_entry_policy policy)
{
    std::vector<edit> edits;
    find_table_edits(entry_kind::service_class, in_force.classes,
                     wanted.classes, policy, edits);
    find_table_edits(entry_kind::organisation, in_force.organisations,
                     wanted.organisations, policy, edits);
    find_table_edits(entry_kind::group, in_force.groups, wanted.groups, policy,
                     edits);
    find_table_edits(entry_kind::model, in_force.models, wanted.models, policy,
                     edits);
    find_table_edits(entry_kind::service, in_force.services, wanted.services,
                     policy, edits);
    find_table_edits(entry_kind::operator_key, in_force.operator_keys,
                     wanted.operator_keys, policy, edits);
    return edits;
}

std::string render_edits(catalogue::catalogue const& in_force,
                         std::vector<edit> const& edits)
{
    std::string text;
    for (auto const& change : edits) {
        auto const path =
            std::string{catalogue::table_name(change.kind)} + "/" + change.name;
        auto const before = entry_to_json(in_force, change);
        if (!change.put) {
            text += "- " + path + "\n";
        } else if (before.is_null()) {
            text += "+ " + path + "\n";
        } else {
            text += "~ " + path + " (revision " +
                    std::to_string(change.expected) + ")\n";
            text += render_changed_members(
                before, catalogue::catalogue_writer{}.to_json(*change.put));
        }
    }
    return text;
}

} // namespace medlarstall::cli
