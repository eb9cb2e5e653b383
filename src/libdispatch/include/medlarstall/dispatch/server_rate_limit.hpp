#ifndef MEDLARSTALL_DISPATCH_SERVER_RATE_LIMIT_HPP
#define MEDLARSTALL_DISPATCH_SERVER_RATE_LIMIT_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace medlarstall::dispatch {

/// What one daemon tells another about the rate limit of a backend server.
struct rate_limit_notice
{
    std::string backend_server;
    /// Start of the run that the limit belongs to, as stated by its entry in
    /// the list.
    std::int64_t started_unix_ms = 0;
    /// Requests per second; empty if the backend server has no limit any more.
    std::optional<double> requests_per_second;
    /// Time since the answer arrived that showed it.
    std::chrono::milliseconds age{0};
};

/// How an observation has changed what is known of a rate limit.
enum class rate_limit_change
{
    none,    ///< Nothing new, or older than what is known.
    started, ///< There was no limit before.
    changed, ///< The limit differs notably from the one last announced.
    ended,   ///< The backend server has no limit any more.
    invalid  ///< The observation cannot be true and was ignored.
};

/// \param change the change to name
/// \return the name of the change as written to the log, or "unknown" if the
///     value is not an enumerator
[[nodiscard]] char const* name_of(rate_limit_change change);

/// The rate limit that a backend server states in its answers: the number of
/// requests per second that it accepts from all daemons together. The latest
/// observation holds, whether this daemon or another one made it. Does no I/O;
/// owned by the dispatcher.
class server_rate_limit
{
public:
    /// Called when an answer of the backend server states a limit.
    /// \param requests_per_second the limit; values below a small minimum are
    ///     raised to it, so that the end of the limit is noticed
    /// \param now current time
    /// \return how the known limit has changed
    rate_limit_change on_stated(double requests_per_second, time_point now);

    /// Called when a complete answer of the backend server states no limit.
    /// Ends the limit only if the request was sent after the limit was last
    /// observed: an answer may have been written before that.
    /// \param sent_at when the request of the answer was sent
    /// \param now current time
    /// \return ended, or none
    rate_limit_change on_not_stated(time_point sent_at, time_point now);

    /// Adds what another daemon has observed.
    /// \param notice the observation; ignored if it is older than the latest
    /// \param now current time
    /// \return how the known limit has changed; invalid if the limit or the age
    ///     is out of range
    rate_limit_change merge(rate_limit_notice const& notice, time_point now);

    /// \return requests per second, or nothing if there is no limit
    [[nodiscard]] std::optional<double> requests_per_second() const
    {
        return requests_per_second_;
    }

    /// \return when the latest observation was made; empty if there is none
    [[nodiscard]] std::optional<time_point> observed_at() const
    {
        return observed_at_;
    }

    /// \param since start of a time span, exclusive
    /// \param now current time
    /// \return time since the latest observation, if this daemon itself has
    ///     observed a change in the time span and others may still believe it
    [[nodiscard]] std::optional<duration> age_if_changed(time_point since,
                                                         time_point now) const;

private:
    rate_limit_change set(std::optional<double> requests_per_second,
                          time_point observed_at);

    std::optional<double> requests_per_second_;
    /// The limit when a change was last reported.
    std::optional<double> announced_;
    std::optional<time_point> observed_at_;
    std::optional<time_point> own_change_at_;
};

} // namespace medlarstall::dispatch

#endif
