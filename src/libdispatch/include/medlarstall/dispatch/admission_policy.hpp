#ifndef MEDLARSTALL_DISPATCH_ADMISSION_POLICY_HPP
#define MEDLARSTALL_DISPATCH_ADMISSION_POLICY_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace medlarstall::dispatch {

/// The values that the admission of a request to a model depends on.
struct admission_input
{
    /// Objective for the time from arrival to the first event of the answer.
    std::chrono::milliseconds objective{1000};
    duration waited{0}; ///< Time since the request arrived.
    /// Expected time from now to the first event of the request at its best
    /// backend server, corrected by the slowness of that server and by the
    /// estimate_factor of the service.
    duration expected_first_event{0};
    /// Requests in flight at all candidates, divided by their slots.
    double load_per_slot = 0;
    /// Rank of the urgency of the request; 0 is the most urgent.
    std::uint32_t urgency_rank = 0;
    /// Number of ranks.
    std::uint32_t rank_count = 1;
    /// Hash of the id of the attempt. Selects the part of each rank that is
    /// treated like the most urgent one.
    std::uint64_t attempt_hash = 0;
};

/// Decides whether a request joins the queue of its best backend server or is
/// refused with a time to retry after. This handles bursts that exceed the
/// capacity of the backend servers of a service. A request that would miss its
/// objective makes those queued behind it miss theirs as well. If more requests
/// are in flight than the batches hold, the backend servers preempt the least
/// urgent ones when others arrive, and their prompts need prefill again. The
/// less urgent a request is, the earlier it is refused. A part of each rank is
/// treated like the most urgent one, so that no rank is starved.
/// \param input values of the request and of its best placement
/// \return time after which the caller should retry, or nothing if the request
///     is admitted
[[nodiscard]] std::optional<std::chrono::milliseconds>
retry_delay_if_refused(admission_input const& input);

} // namespace medlarstall::dispatch

#endif
