#include "command.hpp"
#include "json_table.hpp"

#include <medlarstall/cli/text_table.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::cli {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int indent = 2;
constexpr double percent_per_unit = 100.0;

/// Settings of the commands that print the response of a daemon.
struct show_settings
{
    session_settings session;
    bool as_json = false;
};

std::optional<exit_code> read_show_settings(command_context& context,
                                            settings::setting_set& set,
                                            show_settings& options)
{
    add_session_settings(set, options.session);
    set.add_switch("json", "Print the response of the daemon as JSON",
                   options.as_json);
    return read_settings(context, set);
}

/// Formats a member that holds a fraction as a percentage.
std::string percent(json const& object, char const* key)
{
    return format_fixed(object.value(key, 0.0) * percent_per_unit, 1) + "%";
}

std::string shares_text(json const& response)
{
    text_table table{{"organisation", "entitled", "served", "tokens", "class",
                      "class tokens", "running", "queued", "refused",
                      "delayed"}};
    for (auto const& organisation :
         response.value("organisations", json::array())) {
        text_table::row first_cells{cell_text(organisation, "organisation"),
                                    percent(organisation, "entitlement"),
                                    percent(organisation, "served_part"),
                                    cell_text(organisation, "served_tokens")};
        auto const classes = organisation.value("classes", json::object());
        for (auto const& [name, entry] : classes.items()) {
            auto cells = first_cells;
            for (auto const& text :
                 {std::string{name}, cell_text(entry, "served_tokens"),
                  cell_text(entry, "running"), cell_text(entry, "queued"),
                  cell_text(entry, "refused"), cell_text(entry, "delayed")}) {
                cells.push_back(text);
            }
            table.add_row(std::move(cells));
            first_cells = {"", "", "", ""};
        }
        if (classes.empty()) {
            first_cells.resize(10);
            table.add_row(std::move(first_cells));
        }
    }
    return table.to_text() + "catalogue offset " +
           cell_text(response, "catalogue_offset") + ", digest " +
           cell_text(response, "catalogue_digest") + "; " +
           cell_text(response, "daemons_answered") + " of " +
           cell_text(response, "daemons_asked") + " daemons answered\n";
}

std::string in_force_text(json const& response)
{
    auto text = format_table(response.value("daemons", json::array()),
                             {"id", "offset", "digest"});
    for (auto const& daemon : response.value("missing", json::array())) {
        text += daemon.get<std::string>() + " did not answer\n";
    }
    return text + (response.value("agree", false)
                       ? "every daemon has the same catalogue in force\n"
                       : "the daemons do not agree\n");
}

} // namespace

exit_code run_entries(command_context& context)
{
    show_settings options;
    std::string service;
    settings::setting_set set{context.arguments.front(),
                              "Lists the addresses that callers should use, "
                              "in order of preference.",
                              MEDLARSTALL_VERSION};
    set.add_text("service", "Service that the caller wants", service);
    if (auto const early_exit = read_show_settings(context, set, options)) {
        return *early_exit;
    }
    daemon_session session{options.session};
    json response;
    auto const path =
        "/v1/entries" + (service.empty() ? "" : "?service=" + service);
    if (auto const early_exit = get_json(
            context, session, path, credential::organisation_key, response)) {
        return *early_exit;
    }
    if (options.as_json) {
        context.out << response.dump(indent) << '\n';
        return exit_code::success;
    }
    context.out << format_table(
                       response.value("entries", json::array()),
                       {"id", "address", "port", "data_centre", "weight"})
                << "valid for " << cell_text(response, "ttl_ms") << " ms\n";
    return exit_code::success;
}

exit_code run_shares(command_context& context)
{
    show_settings options;
    settings::setting_set set{
        context.arguments.front(),
        "Shows the part of the service that each organisation received, and "
        "its entitlement.",
        MEDLARSTALL_VERSION};
    if (auto const early_exit = read_show_settings(context, set, options)) {
        return *early_exit;
    }
    daemon_session session{options.session};
    json response;
    if (auto const early_exit =
            get_json(context, session, "/v1/shares",
                     credential::organisation_key, response)) {
        return *early_exit;
    }
    context.out << (options.as_json ? response.dump(indent) + "\n"
                                    : shares_text(response));
    return exit_code::success;
}

exit_code run_status(command_context& context)
{
    show_settings options;
    settings::setting_set set{
        context.arguments.front(),
        "Shows the daemons, the catalogue in force at each and the backend "
        "servers. Exit code 1 if the daemons do not agree.",
        MEDLARSTALL_VERSION};
    if (auto const early_exit = read_show_settings(context, set, options)) {
        return *early_exit;
    }
    daemon_session session{options.session};
    json in_force;
    json instances;
    json servers;
    auto early_exit = get_json(context, session, "/v1/in-force",
                               credential::organisation_key, in_force);
    if (!early_exit) {
        early_exit = get_json(context, session, "/admin/v1/instances",
                              credential::operator_key, instances);
    }
    if (!early_exit) {
        early_exit = get_json(context, session, "/admin/v1/backend-servers",
                              credential::operator_key, servers);
    }
    if (early_exit) {
        return *early_exit;
    }
    if (options.as_json) {
        json const combined{{"in_force", in_force},
                            {"instances", instances},
                            {"backend_servers", servers}};
        context.out << combined.dump(indent) << '\n';
    } else {
        context.out
            << in_force_text(in_force) << '\n'
            << format_table(instances.value("daemons", json::array()),
                            {"id", "address", "port", "data_centre", "state"})
            << '\n'
            << format_table(servers.value("backend_servers", json::array()),
                            {"id", "group", "address", "port", "data_centre",
                             "state", "owner", "running", "limit", "health"});
    }
    return in_force.value("agree", false) ? exit_code::success
                                          : exit_code::negative;
}

exit_code run_drain(command_context& context)
{
    constexpr milliseconds longest_wait{3'600'000};
    constexpr milliseconds poll_interval{250};
    session_settings options;
    milliseconds wait{120'000};
    settings::setting_set set{
        context.arguments.front(),
        "Tells the daemon at the first --server to stop without cutting off "
        "a request, and waits until it has stopped.",
        MEDLARSTALL_VERSION};
    add_session_settings(set, options);
    set.add_duration(
        "wait-ms",
        "Maximum time to wait until the daemon has stopped; 0 to not "
        "wait",
        milliseconds{0}, longest_wait, wait);
    if (auto const early_exit = read_settings(context, set)) {
        return *early_exit;
    }
    daemon_session session{options};
    auto const& server = options.servers.front();
    auto const reply = session.call_server(server, "POST", "/admin/v1/drain",
                                           credential::operator_key, "{}");
    if (failed(reply)) {
        return report_unreachable(context, error_of(reply));
    }
    if (!value_of(reply).succeeded()) {
        return report_refusal(context, value_of(reply));
    }
    context.out << "draining " << cell_text(value_of(reply).body, "draining")
                << std::endl;
    auto const deadline = std::chrono::steady_clock::now() + wait;
    while (std::chrono::steady_clock::now() < deadline) {
        if (failed(session.call_server(server, "GET", "/healthz",
                                       credential::operator_key))) {
            context.out << "stopped\n";
            return exit_code::success;
        }
        session.wait(poll_interval);
    }
    if (wait > milliseconds{0}) {
        context.log << "medlarstall: the daemon is still running\n";
        return exit_code::incomplete;
    }
    return exit_code::success;
}

} // namespace medlarstall::cli
