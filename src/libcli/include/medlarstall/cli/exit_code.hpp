#ifndef MEDLARSTALL_CLI_EXIT_CODE_HPP
#define MEDLARSTALL_CLI_EXIT_CODE_HPP

namespace medlarstall::cli {

/// Exit codes of the process. Scripts rely on them, so they are part of the
/// interface (docs/operations/cli.md).
enum class exit_code
{
    success = 0,
    negative = 1,    ///< A check failed, or a comparison found differences.
    usage = 2,       ///< A flag, a variable or an input file is invalid.
    unreachable = 3, ///< No daemon answered.
    refused = 4,     ///< A daemon rejected the call.
    conflict = 5,    ///< The entry was changed concurrently.
    incomplete = 6   ///< Accepted, but not in force everywhere in time.
};

} // namespace medlarstall::cli

#endif
