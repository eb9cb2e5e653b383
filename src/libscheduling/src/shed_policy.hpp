#ifndef MEDLARSTALL_SCHEDULING_SHED_POLICY_HPP
#define MEDLARSTALL_SCHEDULING_SHED_POLICY_HPP

#include <medlarstall/scheduling/request.hpp>
#include <medlarstall/scheduling/scheduler_settings.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>

namespace medlarstall::scheduling {

/// Load shedding policy: how long a queue may get, when a request is refused
/// because it would miss its deadline, and when a refused caller may retry.
class shed_policy
{
public:
    /// \param settings limits of queue length, wait and retry delay
    explicit shed_policy(scheduler_settings const& settings);

    /// \param slots total number of slots of the group
    /// \return number of requests that may wait without having run
    [[nodiscard]] std::size_t max_queued(unsigned slots) const;

    /// \param wait expected wait of the request
    /// \param left time left until its deadline
    /// \return true if the wait exceeds the time left by so much that the
    ///     request is not expected to start in time
    [[nodiscard]] bool wait_exceeds_deadline(duration wait,
                                             duration left) const;

    /// Computes a retry delay. It depends on the identifier of the request, so
    /// that the retries of refused callers are spread over the time that the
    /// queue needs.
    /// \param id identifier of the refused request
    /// \param wait expected wait of a request that is queued now
    /// \return delay after which the caller may retry
    [[nodiscard]] std::chrono::milliseconds retry_after(request_id id,
                                                        duration wait) const;

private:
    unsigned max_queued_per_slot_;
    double early_refusal_factor_;
    duration min_retry_after_;
    duration max_retry_after_;
};

} // namespace medlarstall::scheduling

#endif
