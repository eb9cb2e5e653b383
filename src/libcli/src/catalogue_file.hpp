#ifndef MEDLARSTALL_CLI_CATALOGUE_FILE_HPP
#define MEDLARSTALL_CLI_CATALOGUE_FILE_HPP

#include "command.hpp"

#include <medlarstall/catalogue/catalogue.hpp>

#include <string>

namespace medlarstall::cli {

/// Reads and validates a catalogue file. Errors are printed to the log stream
/// of the command.
/// \param context context of the running command
/// \param path path of the JSON file
/// \param entries set to the catalogue if the file is valid
/// \return std::nullopt on success, exit_code::usage if the file cannot be read
///     or is invalid
[[nodiscard]] std::optional<exit_code>
read_catalogue_file(command_context& context, std::string const& path,
                    catalogue::catalogue& entries);

} // namespace medlarstall::cli

#endif
