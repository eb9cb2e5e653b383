#ifndef MEDLARSTALL_DISPATCH_REJECTION_LIMIT_HPP
#define MEDLARSTALL_DISPATCH_REJECTION_LIMIT_HPP

#include <medlarstall/support/time.hpp>

#include <optional>

namespace medlarstall::dispatch {

/// The number of requests that a backend server can reject in a second without
/// crashing, as it states in its answers while it is in need. The latest answer
/// holds. Does no I/O; owned by the dispatcher.
class rejection_limit
{
public:
    /// Called when an answer of the backend server states the limit.
    /// \param rejections_per_second the limit; zero or more
    /// \param now current time
    /// \return true if there was no limit, or another one, before
    bool on_stated(double rejections_per_second, time_point now);

    /// Called when a complete answer of the backend server states no limit.
    /// Ends the limit only if the request was sent after the limit was last
    /// stated: an answer may have been written before that.
    /// \param sent_at when the request of the answer was sent
    /// \param now current time
    /// \return true if there was a limit before
    bool on_not_stated(time_point sent_at, time_point now);

    /// \return the limit; empty if there is none, as far as this daemon knows
    [[nodiscard]] std::optional<double> rejections_per_second() const
    {
        return rejections_per_second_;
    }

    /// \return when it was last stated, or last not stated; empty if the
    ///     backend server has not answered this daemon
    [[nodiscard]] std::optional<time_point> observed_at() const
    {
        return observed_at_;
    }

private:
    std::optional<double> rejections_per_second_;
    std::optional<time_point> observed_at_;
};

} // namespace medlarstall::dispatch

#endif
