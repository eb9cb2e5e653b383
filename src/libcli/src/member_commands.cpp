#include "command.hpp"
#include "json_table.hpp"

#include <medlarstall/cli/text_table.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::cli {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int indent = 2;
constexpr double hundred = 100.0;

/// Settings of the commands that show something.
struct show_settings
{
    session_settings session;
    bool as_json = false;
};

std::optional<exit_code> read_show(command_context& context,
                                   settings::setting_set& set,
                                   show_settings& target)
{
    add_session_settings(set, target.session);
    set.add_switch("json", "Print the daemon's answer as JSON", target.as_json);
    return read_settings(context, set);
}

std::string percent(json const& object, char const* key)
{
    return fixed(object.value(key, 0.0) * hundred, 1) + "%";
}

std::string shares_text(json const& answer)
{
    text_table table{{"organisation", "entitled", "served", "tokens", "class",
                      "class tokens", "running", "queued", "refused",
                      "delayed"}};
    for (auto const& one : answer.value("organisations", json::array())) {
        text_table::row head{
            cell(one, "organisation"), percent(one, "entitlement"),
            percent(one, "served_part"), cell(one, "served_tokens")};
        auto const classes = one.value("classes", json::object());
        for (auto const& [name, entry] : classes.items()) {
            auto cells = head;
            for (auto const& text :
                 {std::string{name}, cell(entry, "served_tokens"),
                  cell(entry, "running"), cell(entry, "queued"),
                  cell(entry, "refused"), cell(entry, "delayed")}) {
                cells.push_back(text);
            }
            table.add(std::move(cells));
            head = {"", "", "", ""};
        }
        if (classes.empty()) {
            head.resize(10);
            table.add(std::move(head));
        }
    }
    return table.text() + "catalogue offset " +
           cell(answer, "catalogue_offset") + ", digest " +
           cell(answer, "catalogue_digest") + "; " +
           cell(answer, "daemons_answered") + " of " +
           cell(answer, "daemons_asked") + " daemons answered\n";
}

std::string in_force_text(json const& answer)
{
    auto text = table_of(answer.value("daemons", json::array()),
                         {"id", "offset", "digest"});
    for (auto const& one : answer.value("missing", json::array())) {
        text += one.get<std::string>() + " did not answer\n";
    }
    return text + (answer.value("agree", false)
                       ? "every daemon has the same catalogue in force\n"
                       : "the daemons do not agree\n");
}

} // namespace

exit_code run_entries(command_context& context)
{
    show_settings target;
    std::string service;
    settings::setting_set set{context.arguments.front(),
                              "Lists the addresses that callers should use, "
                              "the best first.",
                              MEDLARSTALL_VERSION};
    set.add("service", "Service that the caller wants", service);
    if (auto const end = read_show(context, set, target)) {
        return *end;
    }
    daemon_session session{target.session};
    json answer;
    auto const path =
        "/v1/entries" + (service.empty() ? "" : "?service=" + service);
    if (auto const end =
            get(context, session, path, authority::member, answer)) {
        return *end;
    }
    if (target.as_json) {
        context.out << answer.dump(indent) << '\n';
        return exit_code::success;
    }
    context.out << table_of(answer.value("entries", json::array()),
                            {"id", "address", "port", "data_centre", "weight"})
                << "valid for " << cell(answer, "ttl_ms") << " ms\n";
    return exit_code::success;
}

exit_code run_shares(command_context& context)
{
    show_settings target;
    settings::setting_set set{
        context.arguments.front(),
        "Shows what each organisation was served, against its entitlement.",
        MEDLARSTALL_VERSION};
    if (auto const end = read_show(context, set, target)) {
        return *end;
    }
    daemon_session session{target.session};
    json answer;
    if (auto const end =
            get(context, session, "/v1/shares", authority::member, answer)) {
        return *end;
    }
    context.out << (target.as_json ? answer.dump(indent) + "\n"
                                   : shares_text(answer));
    return exit_code::success;
}

exit_code run_status(command_context& context)
{
    show_settings target;
    settings::setting_set set{
        context.arguments.front(),
        "Shows the daemons, the catalogue in force at each and the backend "
        "servers. Exit code 1 if the daemons do not agree.",
        MEDLARSTALL_VERSION};
    if (auto const end = read_show(context, set, target)) {
        return *end;
    }
    daemon_session session{target.session};
    json in_force;
    json instances;
    json servers;
    auto end =
        get(context, session, "/v1/in-force", authority::member, in_force);
    if (!end) {
        end = get(context, session, "/admin/v1/instances", authority::operating,
                  instances);
    }
    if (!end) {
        end = get(context, session, "/admin/v1/backend-servers",
                  authority::operating, servers);
    }
    if (end) {
        return *end;
    }
    if (target.as_json) {
        json const all{{"in_force", in_force},
                       {"instances", instances},
                       {"backend_servers", servers}};
        context.out << all.dump(indent) << '\n';
    } else {
        context.out << in_force_text(in_force) << '\n'
                    << table_of(
                           instances.value("daemons", json::array()),
                           {"id", "address", "port", "data_centre", "state"})
                    << '\n'
                    << table_of(servers.value("backend_servers", json::array()),
                                {"id", "group", "address", "port",
                                 "data_centre", "state", "owner", "running",
                                 "limit", "health"});
    }
    return in_force.value("agree", false) ? exit_code::success
                                          : exit_code::negative;
}

exit_code run_drain(command_context& context)
{
    constexpr milliseconds longest_wait{3'600'000};
    constexpr milliseconds poll_interval{250};
    session_settings target;
    milliseconds wait{120'000};
    settings::setting_set set{
        context.arguments.front(),
        "Tells the daemon at the first --server to stop without cutting off "
        "a request, and waits until it has stopped.",
        MEDLARSTALL_VERSION};
    add_session_settings(set, target);
    set.add_span("wait-ms", "Longest wait until the daemon stopped; 0: none",
                 milliseconds{0}, longest_wait, wait);
    if (auto const end = read_settings(context, set)) {
        return *end;
    }
    daemon_session session{target};
    auto const& server = target.servers.front();
    auto const reply = session.call_at(server, "POST", "/admin/v1/drain",
                                       authority::operating, "{}");
    if (failed(reply)) {
        return report_unreachable(context, error_of(reply));
    }
    if (!value_of(reply).succeeded()) {
        return report_refusal(context, value_of(reply));
    }
    context.out << "draining " << cell(value_of(reply).body, "draining")
                << std::endl;
    auto const give_up = std::chrono::steady_clock::now() + wait;
    while (std::chrono::steady_clock::now() < give_up) {
        if (failed(session.call_at(server, "GET", "/healthz",
                                   authority::operating))) {
            context.out << "stopped\n";
            return exit_code::success;
        }
        session.pause(poll_interval);
    }
    if (wait > milliseconds{0}) {
        context.log << "medlarstall: it still runs\n";
        return exit_code::incomplete;
    }
    return exit_code::success;
}

} // namespace medlarstall::cli
