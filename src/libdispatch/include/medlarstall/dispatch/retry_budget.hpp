#ifndef MEDLARSTALL_DISPATCH_RETRY_BUDGET_HPP
#define MEDLARSTALL_DISPATCH_RETRY_BUDGET_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <deque>

namespace medlarstall::dispatch {

/// Limits on the retries of a service by the whole fleet, that is, on sending
/// requests once more after the first time. They hold for any time span of the
/// length of the window.
struct retry_limits
{
    double ratio = 0.2;  ///< Retries allowed for each request.
    double slack = 50.0; ///< Retries allowed in addition, by the whole fleet.
    std::chrono::milliseconds window{10000};
};

/// Whether a retry may be made, and what that was decided from.
struct retry_decision
{
    bool allowed = false;
    std::size_t requests = 0; ///< Requests counted in the window.
    std::size_t retries = 0;  ///< Retries made in the window before this one.
    double limit = 0;         ///< Most retries of this daemon in the window.
    std::size_t daemons = 0;  ///< Daemons that the slack was divided by.
};

/// The share of one daemon in the retry budget of a service: the ratio applied
/// to its own requests, and an equal part of the slack. In this way the daemons
/// together stay within the limits without exchanging messages. Does no I/O;
/// owned by the dispatcher.
class retry_budget
{
public:
    /// Counts a new request of a caller.
    /// \param now current time
    void on_request(time_point now);

    /// Consumes one retry if the budget allows it.
    /// \param limits limits for the whole fleet
    /// \param daemons number of daemons that share the budget
    /// \param now current time
    /// \return whether the retry may be made; not if the share of this daemon
    ///     is used up
    [[nodiscard]] retry_decision try_consume(retry_limits const& limits,
                                             std::size_t daemons,
                                             time_point now);

private:
    static void drop_before(std::deque<time_point>& times, time_point before);

    std::deque<time_point> requests_;
    std::deque<time_point> retries_;
};

} // namespace medlarstall::dispatch

#endif
