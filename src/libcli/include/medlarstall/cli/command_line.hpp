#ifndef MEDLARSTALL_CLI_COMMAND_LINE_HPP
#define MEDLARSTALL_CLI_COMMAND_LINE_HPP

#include <medlarstall/cli/exit_code.hpp>
#include <medlarstall/settings/setting_set.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace medlarstall::cli {

/// Runs the command that a command line names.
/// \param arguments command line with the program's name
/// \param variables the environment
/// \param out where results go
/// \param log where progress and errors go
/// \return what the process returns
exit_code run_command_line(std::vector<std::string> const& arguments,
                           settings::environment const& variables,
                           std::ostream& out, std::ostream& log);

} // namespace medlarstall::cli

#endif
