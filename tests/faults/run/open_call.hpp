#ifndef MEDLARSTALL_TESTS_FAULTS_OPEN_CALL_HPP
#define MEDLARSTALL_TESTS_FAULTS_OPEN_CALL_HPP

#include <history/history.hpp>
#include <medlarstall/support/time.hpp>
#include <medlarstall/tests/caller.hpp>

#include <cstdint>
#include <string>

namespace medlarstall::faults {

/// One try of a caller that has no verdict yet. Plain data.
struct open_call
{
    std::uint64_t id = 0;
    bool chat = false;
    std::string key;  ///< Idempotency key, if not a chat.
    std::string text; ///< Prompt or body.
    unsigned tries = 1;
    std::size_t daemon = 0; ///< Number of the daemon that was asked.
    time_point deadline;
    tests::answer_pointer answer;
};

/// What a caller learnt. Plain data.
struct call_result
{
    history::verdict told = history::verdict::lost;
    std::string answer;
    std::string code; ///< Code of the error, if one was told.
};

/// \param call a call whose answer has ended
/// \return what its caller learnt
[[nodiscard]] call_result result_of(open_call const& call);

} // namespace medlarstall::faults

#endif
