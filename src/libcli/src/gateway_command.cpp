#include "command.hpp"
#include "json_table.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::cli {

namespace {

using nlohmann::json;

constexpr int indent = 2;

/// Prints the backend servers and the other daemons as one gateway sees them.
void print_gateway_view(std::ostream& out, json const& gateway_status)
{
    out << "\nbackend servers, as " << cell_text(gateway_status, "daemon")
        << " sees them\n"
        << format_table(gateway_status.value("backend_servers", json::array()),
                        {"id", "service", "data_centre", "health", "draining",
                         "leaving", "lapsing", "slots", "in_flight",
                         "prompt_tokens", "entry_age_ms"})
        << "\nother daemons, as " << cell_text(gateway_status, "daemon")
        << " sees them\n"
        << format_table(gateway_status.value("peers", json::array()),
                        {"daemon", "address", "ready", "store_reachable",
                         "configuration_offset", "list_offset", "news_age_ms"});
}

} // namespace

exit_code run_gateway_status(command_context& context)
{
    session_settings options;
    bool as_json = false;
    settings::setting_set set{
        context.arguments.front(),
        "Prints the state of running gateways, and the backend servers and "
        "other daemons as they see them. --server is the address of the "
        "control port of a gateway; may be repeated.",
        MEDLARSTALL_VERSION};
    add_session_settings(set, options);
    set.add_switch("json", "Print the responses of the gateways as JSON",
                   as_json);
    if (auto const early_exit = read_settings(context, set)) {
        return *early_exit;
    }
    daemon_session session{options};
    auto responses = json::array();
    for (auto const& server : options.servers) {
        auto const reply = session.call_server(server, "GET", "/v1/status",
                                               credential::organisation_key);
        if (failed(reply)) {
            return report_unreachable(context, error_of(reply));
        }
        if (!value_of(reply).succeeded()) {
            return report_refusal(context, value_of(reply));
        }
        responses.push_back(value_of(reply).body);
    }
    if (as_json) {
        context.out << responses.dump(indent) << '\n';
        return exit_code::success;
    }
    context.out << format_table(
        responses, {"daemon", "ready", "configuration", "configuration_offset",
                    "list_offset", "store_reachable", "requests"});
    for (auto const& gateway_status : responses) {
        print_gateway_view(context.out, gateway_status);
    }
    return exit_code::success;
}

} // namespace medlarstall::cli
