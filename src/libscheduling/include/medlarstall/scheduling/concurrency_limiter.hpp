#ifndef MEDLARSTALL_SCHEDULING_CONCURRENCY_LIMITER_HPP
#define MEDLARSTALL_SCHEDULING_CONCURRENCY_LIMITER_HPP

#include <medlarstall/scheduling/scheduler_settings.hpp>
#include <medlarstall/support/time.hpp>

namespace medlarstall::scheduling {

/// Adaptive concurrency limit of one backend server. The limit follows the
/// observed latency by additive increase and multiplicative decrease. After a
/// decrease it returns quickly to the limit that was in force before.
class concurrency_limiter
{
public:
    /// \param settings parameters of the control loop
    /// \param slots number of requests that the backend server can run at
    ///     once; the limit never exceeds it
    concurrency_limiter(limiter_settings const& settings, unsigned slots);

    /// Changes the upper bound of the limit and clamps the limit to it.
    /// \param slots number of requests that the backend server can run at
    ///     once
    void set_slots(unsigned slots);

    /// Ends the slow start, because a load report has confirmed how many
    /// requests the backend server runs.
    void confirm_load();

    /// Records a time to first token.
    /// \param latency time from the dispatch to the first token
    /// \param target first-token target of the strictest service class that
    ///     runs on the backend server
    /// \param now current time
    void observe_first_token(duration latency, duration target, time_point now);

    /// Records a time between two tokens.
    /// \param latency time between the two tokens
    /// \param target between-token target of the strictest service class that
    ///     runs on the backend server
    /// \param now current time
    void observe_between_tokens(duration latency, duration target,
                                time_point now);

    /// Records that the backend server rejected a request as busy, and lowers
    /// the limit. Further rejections within one adjustment window are ignored.
    /// \param now current time
    void observe_rejection(time_point now);

    /// Records the number of running requests. The limit grows only in windows
    /// in which it was almost reached.
    /// \param running requests running on the backend server
    void observe_running(unsigned running);

    /// \return number of requests that may run at once, from 1 to the slots
    [[nodiscard]] unsigned limit() const;

    /// \return true once the slow start is over
    [[nodiscard]] bool load_confirmed() const { return load_confirmed_; }

private:
    void observe(double ratio, time_point now);
    void end_window();
    void begin_window(time_point now);
    void decrease(double factor);
    void increase(double ratio);
    [[nodiscard]] double min_limit() const;
    [[nodiscard]] double max_limit() const;

    limiter_settings settings_;
    double slots_;
    double limit_;
    double limit_before_decrease_; ///< Target of the fast increase.
    bool load_confirmed_ = false;
    unsigned windows_within_target_ = 0; ///< In a row.
    time_point window_end_;
    time_point rejections_ignored_until_;
    unsigned observations_ = 0; ///< Latencies observed in this window.
    unsigned misses_ = 0;       ///< Observations above their target.
    double ratio_sum_ = 0;      ///< Sum of latency divided by target.
    unsigned max_running_ = 0;  ///< Largest running count in this window.
};

} // namespace medlarstall::scheduling

#endif
