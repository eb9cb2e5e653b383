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

/// What a command gets from the process that runs it.
struct command_context
{
    /// Name of the command, then its flags.
    std::vector<std::string> arguments;
    settings::environment variables;
    std::ostream& out; ///< Results.
    std::ostream& log; ///< Progress and errors.
};

/// A command of the program, for example "catalogue show".
struct command
{
    char const* name; ///< One or two words separated by a space.
    char const* help; ///< Summary for the list of commands.
    exit_code (*run)(command_context& context);
};

/// Adds the settings that every command needs to connect to daemons.
/// \param set settings of the command
/// \param target set to the values when \p set is read
void add_session_settings(settings::setting_set& set, session_settings& target);

/// Reads the settings of a command and prints an error if one is invalid.
/// \param context context of the running command
/// \param set settings of the command
/// \return std::nullopt if the command should proceed, otherwise its exit code:
///     exit_code::usage, or exit_code::success if help or the version was
///     printed
[[nodiscard]] std::optional<exit_code>
read_settings(command_context& context, settings::setting_set& set);

/// Prints that no daemon answered.
/// \param context context of the running command
/// \param failure error that lists the daemons that were tried
/// \return exit_code::unreachable
exit_code report_unreachable(command_context& context, error const& failure);

/// Prints that a daemon rejected a call.
/// \param context context of the running command
/// \param reply error response of the daemon
/// \return exit_code::refused
exit_code report_refusal(command_context& context, daemon_reply const& reply);

/// Sends a GET request to the first daemon that answers. Prints an error if the
/// request fails.
/// \param context context of the running command
/// \param session daemons to try
/// \param path path of the request, with its query
/// \param auth key to send
/// \param body set to the body of the response; null if it is not JSON
/// \return std::nullopt on success, otherwise the exit code of the command
[[nodiscard]] std::optional<exit_code>
get_json(command_context& context, daemon_session& session,
         std::string const& path, credential auth, nlohmann::json& body);

// The commands. Each returns the exit code of the process.

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
