#ifndef MEDLARSTALL_CLI_CATALOGUE_FILE_HPP
#define MEDLARSTALL_CLI_CATALOGUE_FILE_HPP

#include "command.hpp"

#include <medlarstall/catalogue/catalogue.hpp>

#include <string>

namespace medlarstall::cli {

/// Reads and checks a catalogue file, and reports what is wrong with it.
/// \param context where errors go
/// \param path path of the file
/// \param entries set to the catalogue
/// \return exit_code::usage if the file is wrong
[[nodiscard]] std::optional<exit_code>
read_catalogue_file(command_context& context, std::string const& path,
                    catalogue::catalogue& entries);

} // namespace medlarstall::cli

#endif
