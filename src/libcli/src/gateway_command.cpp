#include "command.hpp"
#include "json_table.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::cli {

namespace {

using nlohmann::json;

constexpr int indent = 2;

/// Prints what a gateway believes of the backend servers and of its peers.
void print_beliefs(std::ostream& out, json const& status)
{
    out << "\nbackend servers, as " << cell(status, "daemon") << " sees them\n"
        << table_of(status.value("backend_servers", json::array()),
                    {"id", "service", "data_centre", "health", "draining",
                     "leaving", "lapsing", "slots", "in_flight",
                     "prompt_tokens", "entry_age_ms"})
        << "\nother daemons, as " << cell(status, "daemon") << " hears them\n"
        << table_of(status.value("peers", json::array()),
                    {"daemon", "address", "ready", "store_reachable",
                     "configuration_offset", "list_offset", "news_age_ms"});
}

} // namespace

exit_code run_gateway_status(command_context& context)
{
    session_settings target;
    bool as_json = false;
    settings::setting_set set{
        context.arguments.front(),
        "Prints what running gateways have in force and believe. --server is "
        "the address of a gateway's control port; may be repeated.",
        MEDLARSTALL_VERSION};
    add_session_settings(set, target);
    set.add_switch("json", "Print the gateways' answers as JSON", as_json);
    if (auto const end = read_settings(context, set)) {
        return *end;
    }
    daemon_session session{target};
    auto answers = json::array();
    for (auto const& server : target.servers) {
        auto const reply =
            session.call_at(server, "GET", "/v1/status", authority::member);
        if (failed(reply)) {
            return report_unreachable(context, error_of(reply));
        }
        if (!value_of(reply).succeeded()) {
            return report_refusal(context, value_of(reply));
        }
        answers.push_back(value_of(reply).body);
    }
    if (as_json) {
        context.out << answers.dump(indent) << '\n';
        return exit_code::success;
    }
    context.out << table_of(answers, {"daemon", "ready", "configuration",
                                      "configuration_offset", "list_offset",
                                      "store_reachable", "requests"});
    for (auto const& status : answers) {
        print_beliefs(context.out, status);
    }
    return exit_code::success;
}

} // namespace medlarstall::cli
