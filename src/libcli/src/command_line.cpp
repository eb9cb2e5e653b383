#include <medlarstall/cli/command_line.hpp>

#include "command.hpp"

#include <array>

namespace medlarstall::cli {

namespace {

constexpr std::array commands{
    command{"catalogue check", "Check a catalogue file", run_catalogue_check},
    command{"catalogue show", "Print the catalogue in force",
            run_catalogue_show},
    command{"catalogue diff", "Compare a file with the catalogue in force",
            run_catalogue_diff},
    command{"catalogue publish", "Publish the catalogue in a file",
            run_catalogue_publish},
    command{"catalogue verify",
            "Recompute the digest from the log and compare all daemons with it",
            run_catalogue_verify},
    command{"entries", "List the addresses that callers should use",
            run_entries},
    command{"shares", "Show what each organisation was served", run_shares},
    command{"status", "Show daemons and backend servers", run_status},
    command{"drain", "Stop a daemon without cutting off a request", run_drain},
    command{"load", "Drive load and report the latencies by class", run_load},
    command{"explain", "Print what daemons logged about a request",
            run_explain},
    command{"gateway status",
            "Print the state of gateways and their backend servers",
            run_gateway_status}};

void print_help(std::ostream& out)
{
    out << "medlarstall " MEDLARSTALL_VERSION
           ": publishes and checks the catalogue, shows shares and state, "
           "drains daemons\nand drives load.\n\n"
           "Usage: medlarstall COMMAND [FLAG...]\n"
           "       medlarstall COMMAND --help\n\nCommands:\n";
    for (auto const& entry : commands) {
        std::string name{entry.name};
        constexpr std::size_t name_width = 20;
        name.resize(std::max(name.size(), name_width), ' ');
        out << "  " << name << entry.help << '\n';
    }
    out << "\nEach flag has an environment variable, which --help of the "
           "command names.\n\nExit codes: 0 success; 1 the answer is no "
           "(differences, a failed check); 2 wrong\nusage or input; 3 no "
           "daemon answered; 4 a daemon refused the call; 5 another\nchange "
           "came first; 6 accepted, but not in force everywhere in time.\n";
}

/// Splits the name of a command into its one or two words.
std::vector<std::string> words_of(std::string const& name)
{
    auto const space = name.find(' ');
    if (space == std::string::npos) {
        return {name};
    }
    return {name.substr(0, space), name.substr(space + 1)};
}

/// Tests whether a command line begins with the words of a command.
bool matches(command const& candidate,
             std::vector<std::string> const& arguments)
{
    auto const words = words_of(candidate.name);
    return arguments.size() > words.size() &&
           std::equal(words.begin(), words.end(), arguments.begin() + 1);
}

} // namespace

exit_code run_command_line(std::vector<std::string> const& arguments,
                           settings::environment const& variables,
                           std::ostream& out, std::ostream& log)
{
    if (arguments.size() > 1 && arguments[1] == "--version") {
        out << "medlarstall " MEDLARSTALL_VERSION "\n";
        return exit_code::success;
    }
    if (arguments.size() > 1 &&
        (arguments[1] == "--help" || arguments[1] == "help")) {
        print_help(out);
        return exit_code::success;
    }
    for (auto const& candidate : commands) {
        if (!matches(candidate, arguments)) {
            continue;
        }
        auto const word_count =
            static_cast<std::ptrdiff_t>(words_of(candidate.name).size() + 1);
        std::vector<std::string> command_arguments{std::string{"medlarstall "} +
                                                   candidate.name};
        command_arguments.insert(command_arguments.end(),
                                 arguments.begin() + word_count,
                                 arguments.end());
        command_context context{std::move(command_arguments), variables, out,
                                log};
        return candidate.run(context);
    }
    if (arguments.size() > 1) {
        log << "medlarstall: unknown command \"" << arguments[1];
        log << (arguments.size() > 2 ? " " + arguments[2] : "") << "\"\n";
    }
    print_help(log);
    return exit_code::usage;
}

void add_session_settings(settings::setting_set& set, session_settings& target)
{
    constexpr std::chrono::milliseconds min_timeout{10};
    constexpr std::chrono::milliseconds max_timeout{600'000};
    set.add_list("server",
                 "IP:PORT of a daemon; may be repeated to try several in order",
                 target.servers);
    set.add_text("key",
                 "Key of an organisation, for requests without administration",
                 target.key);
    set.add_text("operator-key",
                 "Key of an operator, for administration requests",
                 target.operator_key);
    set.add_duration("timeout-ms", "Maximum time to wait for a response",
                     min_timeout, max_timeout, target.timeout);
}

std::optional<exit_code> read_settings(command_context& context,
                                       settings::setting_set& set)
{
    auto const outcome = set.read(context.arguments, context.variables);
    if (failed(outcome)) {
        auto const& failure = error_of(outcome);
        context.log << "medlarstall: " << failure.field << ": "
                    << failure.message << '\n';
        return exit_code::usage;
    }
    if (value_of(outcome) == settings::startup_action::stop) {
        return exit_code::success;
    }
    return std::nullopt;
}

exit_code report_unreachable(command_context& context, error const& failure)
{
    context.log << "medlarstall: no daemon answered (" << failure.message
                << "). Check --server.\n";
    return exit_code::unreachable;
}

exit_code report_refusal(command_context& context, daemon_reply const& reply)
{
    context.log << "medlarstall: the daemon rejected the request: "
                << reply.error_text() << '\n';
    return exit_code::refused;
}

std::optional<exit_code> get_json(command_context& context,
                                  daemon_session& session,
                                  std::string const& path, credential auth,
                                  nlohmann::json& body)
{
    auto reply = session.call("GET", path, auth);
    if (failed(reply)) {
        return report_unreachable(context, error_of(reply));
    }
    if (!value_of(reply).succeeded()) {
        return report_refusal(context, value_of(reply));
    }
    body = std::move(value_of(reply).body);
    return std::nullopt;
}

} // namespace medlarstall::cli
