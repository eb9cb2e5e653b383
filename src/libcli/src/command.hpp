#ifndef MEDLARSTALL_CLI_COMMAND_HPP
#define MEDLARSTALL_CLI_COMMAND_HPP

#include "daemon_session.hpp"

#include <medlarstall/cli/exit_code.hpp>
#include <medlarstall/settings/setting_set.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace medlarstall::cli {

/// What a command is given.
struct command_context
{
    std::vector<std::string> arguments; ///< The command's name, then flags.
    settings::environment variables;
    std::ostream& out;
    std::ostream& log;
};

/// A command of the program.
struct command
{
    char const* name; ///< Words separated by one space.
    char const* help;
    exit_code (*run)(command_context& context);
};

/// Adds the settings of daemon_session.
/// \param set settings of a command
/// \param target where the values go
void add_session_settings(settings::setting_set& set, session_settings& target);

/// Reads the settings of a command.
/// \param context command line and environment
/// \param set settings of the command
/// \return how the command ends, if it ends here
[[nodiscard]] std::optional<exit_code>
read_settings(command_context& context, settings::setting_set& set);

/// Reports that no daemon answered.
/// \return exit_code::unreachable
exit_code report_unreachable(command_context& context, error const& failure);

/// Reports that a daemon refused a call.
/// \return exit_code::refused
exit_code report_refusal(command_context& context, daemon_reply const& reply);

/// Calls a daemon and reports a failure.
/// \param context where errors go
/// \param session daemons
/// \param path path of a GET call
/// \param who whose key to send
/// \param body set to the answer
/// \return how the command ends, if the call failed
[[nodiscard]] std::optional<exit_code> get(command_context& context,
                                           daemon_session& session,
                                           std::string const& path,
                                           authority who, nlohmann::json& body);

exit_code run_catalogue_check(command_context& context);
exit_code run_catalogue_show(command_context& context);
exit_code run_catalogue_diff(command_context& context);
exit_code run_catalogue_publish(command_context& context);
exit_code run_catalogue_verify(command_context& context);
exit_code run_entries(command_context& context);
exit_code run_shares(command_context& context);
exit_code run_status(command_context& context);
exit_code run_drain(command_context& context);
exit_code run_load(command_context& context);
exit_code run_explain(command_context& context);
exit_code run_gateway_status(command_context& context);

} // namespace medlarstall::cli

#endif
