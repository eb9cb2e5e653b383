#include <medlarstall/cli/command_line.hpp>

#include <cstdlib>
#include <iostream>

int main(int argument_count, char** arguments)
{
    using namespace medlarstall;
    std::vector<std::string> const command_line{arguments,
                                                arguments + argument_count};
    // std::getenv is safe here: the process has one thread and never changes
    // its environment.
    auto const variables = [](char const* name) -> char const* {
        return std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    };
    return static_cast<int>(
        cli::run_command_line(command_line, variables, std::cout, std::cerr));
}
