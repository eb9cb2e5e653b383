#include "catalogue_file.hpp"

#include <medlarstall/catalogue/catalogue_reader.hpp>

#include <fstream>
#include <sstream>

namespace medlarstall::cli {

std::optional<exit_code> read_catalogue_file(command_context& context,
                                             std::string const& path,
                                             catalogue::catalogue& entries)
{
    std::ifstream file{path};
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        context.log << "medlarstall: " << path << ": cannot be read\n";
        return exit_code::usage;
    }
    auto read = catalogue::catalogue_reader{}.read(text.str());
    if (failed(read)) {
        context.log << "medlarstall: " << path << ": " << error_of(read).field
                    << ": " << error_of(read).message << '\n';
        return exit_code::usage;
    }
    entries = std::move(value_of(read));
    return std::nullopt;
}

} // namespace medlarstall::cli
