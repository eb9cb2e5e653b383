#ifndef MEDLARSTALL_CLI_COMMAND_LINE_HPP
#define MEDLARSTALL_CLI_COMMAND_LINE_HPP

#include <medlarstall/cli/exit_code.hpp>
#include <medlarstall/settings/setting_set.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace medlarstall::cli {

/// Runs the command that a command line names.
/// \param arguments command line, including the name of the program
/// \param variables environment of the process
/// \param out stream for results, usually standard output
/// \param log stream for progress and errors, usually standard error
/// \return exit code of the process
exit_code run_command_line(std::vector<std::string> const& arguments,
                           settings::environment const& variables,
                           std::ostream& out, std::ostream& log);

} // namespace medlarstall::cli

#endif
