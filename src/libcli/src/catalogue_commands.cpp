#include "catalogue_file.hpp"
#include "command.hpp"

#include <medlarstall/catalogue/catalogue_writer.hpp>
#include <medlarstall/cli/catalogue_diff.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::cli {

namespace {

using nlohmann::json;

/// Settings of the commands that compare a file with what is in force.
struct diff_settings
{
    session_settings session;
    std::string file;
    bool partial = false;
};

constexpr int indent = 2;

} // namespace

exit_code run_catalogue_check(command_context& context)
{
    std::string file;
    settings::setting_set set{context.arguments.front(),
                              "Checks a catalogue file.", MEDLARSTALL_VERSION};
    set.add_positional("file", "Catalogue as JSON", true, file);
    if (auto const end = read_settings(context, set)) {
        return *end;
    }
    catalogue::catalogue entries;
    if (auto const end = read_catalogue_file(context, file, entries)) {
        return *end;
    }
    catalogue::visit_tables(entries, [&](auto kind, auto const& table) {
        context.out << table.size() << ' ' << catalogue::table_name(kind)
                    << '\n';
    });
    return exit_code::success;
}

exit_code run_catalogue_show(command_context& context)
{
    session_settings target;
    settings::setting_set set{context.arguments.front(),
                              "Prints the catalogue in force as JSON.",
                              MEDLARSTALL_VERSION};
    add_session_settings(set, target);
    if (auto const end = read_settings(context, set)) {
        return *end;
    }
    daemon_session session{target};
    json answer;
    if (auto const end = get(context, session, "/admin/v1/catalogue",
                             authority::operating, answer)) {
        return *end;
    }
    context.log << "offset " << answer.value("offset", json{}) << ", digest "
                << answer.value("digest", "") << '\n';
    context.out << answer.value("catalogue", json{}).dump(indent) << '\n';
    return exit_code::success;
}

exit_code run_catalogue_diff(command_context& context)
{
    diff_settings target;
    settings::setting_set set{
        context.arguments.front(),
        "Compares a catalogue file with the catalogue in force. Exit code 1 "
        "if they differ.",
        MEDLARSTALL_VERSION};
    set.add_positional("file", "Catalogue as JSON", true, target.file);
    add_session_settings(set, target.session);
    set.add_switch("partial", "Keep entries that the file does not name",
                   target.partial);
    if (auto const end = read_settings(context, set)) {
        return *end;
    }
    catalogue::catalogue wanted;
    if (auto const end = read_catalogue_file(context, target.file, wanted)) {
        return *end;
    }
    daemon_session session{target.session};
    json answer;
    if (auto const end = get(context, session, "/admin/v1/catalogue",
                             authority::operating, answer)) {
        return *end;
    }
    auto const in_force = read_in_force(answer);
    if (failed(in_force)) {
        context.log << "medlarstall: " << error_of(in_force).message << '\n';
        return exit_code::refused;
    }
    auto const edits = find_edits(value_of(in_force), wanted,
                                  target.partial ? absent_entries::are_kept
                                                 : absent_entries::are_deleted);
    context.out << render_edits(value_of(in_force), edits);
    return edits.empty() ? exit_code::success : exit_code::negative;
}

} // namespace medlarstall::cli
