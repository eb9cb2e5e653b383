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

template<class Table>
void find_table_edits(entry_kind kind, Table const& in_force,
                      Table const& wanted, absent_entries absent,
                      std::vector<edit>& edits)
{
    catalogue::catalogue_writer const writer;
    for (auto const& [name, entry] : wanted) {
        auto const known = in_force.find(name);
        any_entry const value{entry.value};
        bool const exists = known != in_force.end();
        if (exists && writer.to_json(any_entry{known->second.value}) ==
                          writer.to_json(value)) {
            continue;
        }
        edits.push_back({.kind = kind,
                         .name = name,
                         .expected = exists ? known->second.at : 0,
                         .put = value});
    }
    if (absent == absent_entries::are_kept) {
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

json find_json(catalogue::catalogue const& entries, edit const& item)
{
    json found;
    catalogue::visit_tables(entries, [&](entry_kind kind, auto const& table) {
        auto const known = table.find(item.name);
        if (kind == item.kind && known != table.end()) {
            found = catalogue::catalogue_writer{}.to_json(
                any_entry{known->second.value});
        }
    });
    return found;
}

std::string render_members(json const& before, json const& after)
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

result<catalogue::catalogue> read_in_force(json const& answer)
{
    if (!answer.is_object() || !answer.contains("catalogue") ||
        !answer.contains("revisions")) {
        return error{"catalogue", "the daemon's answer has no catalogue"};
    }
    auto const& revisions = answer["revisions"];
    bool empty = true;
    for (auto const& [name, table] : revisions.items()) {
        empty = empty && table.empty();
    }
    if (empty) {
        return catalogue::catalogue{};
    }
    auto read = catalogue::catalogue_reader{}.read_json(answer["catalogue"]);
    if (failed(read)) {
        return read;
    }
    catalogue::visit_tables(value_of(read), [&](entry_kind kind, auto& table) {
        for (auto& [name, entry] : table) {
            auto const& pair =
                revisions[std::string{catalogue::table_name(kind)}][name];
            entry.at = pair.at(0).template get<catalogue::revision>();
        }
    });
    return read;
}

std::vector<edit> find_edits(catalogue::catalogue const& in_force,
                             catalogue::catalogue const& wanted,
                             absent_entries absent)
{
    std::vector<edit> edits;
    find_table_edits(entry_kind::service_class, in_force.classes,
                     wanted.classes, absent, edits);
    find_table_edits(entry_kind::organisation, in_force.organisations,
                     wanted.organisations, absent, edits);
    find_table_edits(entry_kind::group, in_force.groups, wanted.groups, absent,
                     edits);
    find_table_edits(entry_kind::model, in_force.models, wanted.models, absent,
                     edits);
    find_table_edits(entry_kind::service, in_force.services, wanted.services,
                     absent, edits);
    find_table_edits(entry_kind::operator_key, in_force.operator_keys,
                     wanted.operator_keys, absent, edits);
    return edits;
}

std::string render_edits(catalogue::catalogue const& in_force,
                         std::vector<edit> const& edits)
{
    std::string text;
    for (auto const& item : edits) {
        auto const path =
            std::string{catalogue::table_name(item.kind)} + "/" + item.name;
        auto const before = find_json(in_force, item);
        if (!item.put) {
            text += "- " + path + "\n";
        } else if (before.is_null()) {
            text += "+ " + path + "\n";
        } else {
            text += "~ " + path + " (revision " +
                    std::to_string(item.expected) + ")\n";
            text += render_members(
                before, catalogue::catalogue_writer{}.to_json(*item.put));
        }
    }
    return text;
}

} // namespace medlarstall::cli
