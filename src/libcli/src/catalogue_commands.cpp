#include "catalogue_file.hpp"
#include "command.hpp"

#include <medlarstall/catalogue/catalogue_writer.hpp>
#include <medlarstall/cli/catalogue_diff.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::cli {

namespace {

using nlohmann::json;

/// Settings of `medlarstall catalogue diff`.
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
    if (auto const early_exit = read_settings(context, set)) {
        return *early_exit;
    }
    catalogue::catalogue entries;
    if (auto const early_exit = read_catalogue_file(context, file, entries)) {
        return *early_exit;
    }
    catalogue::visit_tables(
        entries, [&](auto kind, auto const& entries_of_kind) {
            context.out << entries_of_kind.size() << ' '
                        << catalogue::table_name(kind) << '\n';
        });
    return exit_code::success;
}

exit_code run_catalogue_show(command_context& context)
{
    session_settings options;
    settings::setting_set set{context.arguments.front(),
                              "Prints the catalogue in force as JSON.",
                              MEDLARSTALL_VERSION};
    add_session_settings(set, options);
    if (auto const early_exit = read_settings(context, set)) {
        return *early_exit;
    }
    daemon_session session{options};
    json response;
    if (auto const early_exit =
            get_json(context, session, "/admin/v1/catalogue",
                     credential::operator_key, response)) {
        return *early_exit;
    }
    context.log << "offset " << response.value("offset", json{}) << ", digest "
                << response.value("digest", "") << '\n';
    context.out << response.value("catalogue", json{}).dump(indent) << '\n';
    return exit_code::success;
}

exit_code run_catalogue_diff(command_context& context)
{
    diff_settings options;
    settings::setting_set set{
        context.arguments.front(),
        "Compares a catalogue file with the catalogue in force. Exit code 1 "
        "if they differ.",
        MEDLARSTALL_VERSION};
    set.add_positional("file", "Catalogue as JSON", true, options.file);
    add_session_settings(set, options.session);
    set.add_switch("partial", "Keep entries that the file does not contain",
                   options.partial);
    if (auto const early_exit = read_settings(context, set)) {
        return *early_exit;
    }
    catalogue::catalogue wanted;
    if (auto const early_exit =
            read_catalogue_file(context, options.file, wanted)) {
        return *early_exit;
    }
    daemon_session session{options.session};
    json response;
    if (auto const early_exit =
            get_json(context, session, "/admin/v1/catalogue",
                     credential::operator_key, response)) {
        return *early_exit;
    }
    auto const in_force = parse_catalogue_response(response);
    if (failed(in_force)) {
        context.log << "medlarstall: " << error_of(in_force).message << '\n';
        return exit_code::refused;
    }
    auto const edits =
        find_edits(value_of(in_force), wanted,
                   options.partial ? absent_entry_policy::keep_entries
                                   : absent_entry_policy::delete_entries);
    context.out << render_edits(value_of(in_force), edits);
    return edits.empty() ? exit_code::success : exit_code::negative;
}

} // namespace medlarstall::cli
