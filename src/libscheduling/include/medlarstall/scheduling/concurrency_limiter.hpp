#ifndef MEDLARSTALL_SCHEDULING_CONCURRENCY_LIMITER_HPP
#define MEDLARSTALL_SCHEDULING_CONCURRENCY_LIMITER_HPP

#include <medlarstall/scheduling/scheduler_settings.hpp>
#include <medlarstall/support/time.hpp>

namespace medlarstall::scheduling {

/// Decides how many requests may run at once on one backend server, from the
/// latency that they see: additive increase, multiplicative decrease, and a
/// fast return to the limit that held before a decrease.
class concurrency_limiter
{
public:
    /// \param settings how the limit moves
    /// \param slots most requests that the backend server can run
    concurrency_limiter(limiter_settings const& settings, unsigned slots);

    /// Changes the upper bound.
    /// \param slots most requests that the backend server can run
    void set_slots(unsigned slots);

    /// Ends the cautious start: a load report confirmed the load.
    void confirm();

    /// Notes a time to first token, from dispatch.
    /// \param latency time seen
    /// \param target first-token target of the tightest class running there
    /// \param now current time
    void observe_first_token(duration latency, duration target, time_point now);

    /// Notes a time between tokens.
    /// \param latency time seen
    /// \param target between-token target of the tightest class running there
    /// \param now current time
    void observe_between_tokens(duration latency, duration target,
                                time_point now);

    /// Notes that the backend server refused a request as full.
    /// \param now current time
    void observe_refusal(time_point now);

    /// Notes how many requests run; the limit grows only while it is used.
    /// \param running requests running on the backend server
    void observe_running(unsigned running);

    /// \return most requests that may run at once; from 1 to the slots
    [[nodiscard]] unsigned limit() const;

    /// \return true once the cautious start is over
    [[nodiscard]] bool confirmed() const { return confirmed_; }

private:
    void observe(double ratio, time_point now);
    void end_window();
    void begin_window(time_point now);
    void decrease(double factor);
    void increase(double ratio);
    [[nodiscard]] double least() const;
    [[nodiscard]] double most() const;

    limiter_settings settings_;
    double slots_;
    double limit_;
    double former_limit_; ///< Before the last decrease.
    bool confirmed_ = false;
    unsigned good_windows_ = 0;
    time_point window_end_;
    time_point refusal_end_; ///< Refusals until then count as one.
    unsigned seen_ = 0;
    unsigned missed_ = 0;
    double ratio_sum_ = 0;
    unsigned most_running_ = 0;
};

} // namespace medlarstall::scheduling

#endif
