#ifndef MEDLARSTALL_DUTY_LOAD_HISTORY_HPP
#define MEDLARSTALL_DUTY_LOAD_HISTORY_HPP

#include <medlarstall/support/time.hpp>

#include <deque>

namespace medlarstall::duty {

/// The demand of a service over the last window of time, of which a number of
/// servers is derived. Does no I/O; owned by the policy.
class load_history
{
public:
    /// \param window time for which samples are kept
    explicit load_history(duration window) : window_{window} {}

    /// \param demand demand to add
    /// \param now current time, not before that of the last sample
    void add(double demand, time_point now);

    /// \return whether the samples cover the whole window
    [[nodiscard]] bool is_complete() const;

    /// \return largest demand in the window
    [[nodiscard]] double peak() const;

    /// \return mean over the window
    [[nodiscard]] double mean() const;

    /// \param span length of time
    /// \return largest increase within that time; at least zero
    [[nodiscard]] double largest_rise(duration span) const;

    /// \param span length of time
    /// \return whether the demand of that last time is clearly above that of
    ///     the same time before
    [[nodiscard]] bool is_rising(duration span) const;

    /// \param span length of time
    /// \return whether the demand within that last time is clearly above all
    ///     that the window held before
    [[nodiscard]] bool is_new_peak(duration span) const;

private:
    struct sample
    {
        double demand;
        time_point at;
    };

    /// \return mean of the samples from one time on and before another; zero
    ///     if there are none
    double mean_between(time_point from, time_point end) const;

    duration window_;
    std::deque<sample> samples_;
    time_point begun_at_;
};

} // namespace medlarstall::duty

#endif
