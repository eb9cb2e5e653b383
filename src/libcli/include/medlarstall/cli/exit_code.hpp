#ifndef MEDLARSTALL_CLI_EXIT_CODE_HPP
#define MEDLARSTALL_CLI_EXIT_CODE_HPP

namespace medlarstall::cli {

/// What the process returns; part of the interface (docs/operations/cli.md).
enum class exit_code
{
    success = 0,
    negative = 1,    ///< The command ran, and its answer is no.
    usage = 2,       ///< A flag, a variable or an input file is wrong.
    unreachable = 3, ///< No daemon answered.
    refused = 4,     ///< A daemon refused the call.
    conflict = 5,    ///< Another change of the same entry came first.
    incomplete = 6   ///< Accepted, but not in force everywhere in time.
};

} // namespace medlarstall::cli

#endif
