#ifndef MEDLARSTALL_DISPATCH_ADMISSION_POLICY_HPP
#define MEDLARSTALL_DISPATCH_ADMISSION_POLICY_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace medlarstall::dispatch {

/// What the admission of a request to a model depends on. Plain data.
struct admission_facts
{
    std::chrono::milliseconds objective{1000}; ///< To its first event.
    duration waited{0};                        ///< Since it came.
    duration expected_first{0};  ///< From now, at its best backend server.
    double mean_batches = 0;     ///< In flight in its service, in batches.
    std::uint32_t urgency = 0;   ///< Rank; 0 is the most urgent.
    std::uint32_t urgencies = 1; ///< Number of ranks.
    std::uint64_t hash = 0;      ///< Of the attempt.
};

/// Decides whether a request joins the queue of its best backend server, or is
/// told when to come back. Answers bursts beyond what the backend servers of a
/// service can do. A request that would miss its objective makes those behind
/// it miss theirs, too. And where more requests are in flight than the batches
/// hold, the engines put the least urgent ones back when others come, and read
/// their prompts again. The less urgent a request, the earlier it is refused;
/// some of each rank are always treated like the most urgent ones, so that
/// every rank keeps being served.
/// \param facts the request and its best choice
/// \return time after which it should come back, or nothing if it is admitted
[[nodiscard]] std::optional<std::chrono::milliseconds>
refusal_of(admission_facts const& facts);

} // namespace medlarstall::dispatch

#endif
