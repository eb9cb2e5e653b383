#ifndef MEDLARSTALL_SCHEDULING_SHED_POLICY_HPP
#define MEDLARSTALL_SCHEDULING_SHED_POLICY_HPP

#include <medlarstall/scheduling/request.hpp>
#include <medlarstall/scheduling/scheduler_settings.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>

namespace medlarstall::scheduling {

/// Decides when a queue is too long, when waiting is hopeless, and when a
/// refused caller should come back.
class shed_policy
{
public:
    /// \param settings bounds
    explicit shed_policy(scheduler_settings const& settings);

    /// \param slots slots of the group
    /// \return most requests that may wait without having run
    [[nodiscard]] std::size_t queue_bound(unsigned slots) const;

    /// \param wait expected wait
    /// \param left time left until the deadline
    /// \return true if the request will not start in time
    [[nodiscard]] bool hopeless(duration wait, duration left) const;

    /// Spreads the return of refused callers over the time that the queue
    /// needs, by the identifier of the request.
    /// \param id the refused request
    /// \param wait expected wait of a request that is queued now
    /// \return time after which the caller may try again
    [[nodiscard]] std::chrono::milliseconds retry_after(request_id id,
                                                        duration wait) const;

private:
    unsigned queued_per_slot_;
    double hopeless_factor_;
    duration least_retry_;
    duration most_retry_;
};

} // namespace medlarstall::scheduling

#endif
