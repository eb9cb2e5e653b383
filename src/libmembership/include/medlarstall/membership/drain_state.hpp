#ifndef MEDLARSTALL_MEMBERSHIP_DRAIN_STATE_HPP
#define MEDLARSTALL_MEMBERSHIP_DRAIN_STATE_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>

namespace medlarstall::membership {

/// Settings of a drain_state.
struct drain_settings
{
    std::chrono::milliseconds directory_ttl{5000}; ///< Of callers' answers.
    std::chrono::milliseconds margin{2000}; ///< For lag and slow callers.
    std::chrono::milliseconds quiet{1000};  ///< Without a request, before the
                                            ///< end.
    std::chrono::milliseconds longest{600'000}; ///< From the start to the end.
};

/// How far a daemon is with a planned stop.
enum class drain_phase
{
    serving,   ///< No stop is planned.
    unlisted,  ///< Out of the directory, while callers may still know it.
    finishing, ///< New requests are sent elsewhere; the last ones finish.
    finished   ///< The process may exit.
};

/// The planned stop of a daemon. It leaves the directory and gives up its
/// backend servers at once, serves whoever comes until every directory answer
/// that names it has expired, and ends when the last request is done.
class drain_state
{
public:
    /// \param settings times
    explicit drain_state(drain_settings settings);

    /// Starts the stop; a second call changes nothing.
    void start(time_point now);

    /// \param open requests and streams that are not finished, of callers and
    ///     of peers
    /// \param now current time
    /// \return the phase from now on
    drain_phase update(std::size_t open, time_point now);

    [[nodiscard]] drain_phase phase() const { return phase_; }

    /// \return true if the directory may list the daemon and it may own
    ///     backend servers
    [[nodiscard]] bool is_listed() const
    {
        return phase_ == drain_phase::serving;
    }

    /// \return true if a new request is served here
    [[nodiscard]] bool accepts() const
    {
        return phase_ == drain_phase::serving ||
               phase_ == drain_phase::unlisted;
    }

    /// \return true if answers ask the caller to close the connection
    [[nodiscard]] bool asks_to_close() const { return !is_listed(); }

    /// \return true if the end came by its bound, with requests still open
    [[nodiscard]] bool cut_off() const { return cut_off_; }

private:
    drain_settings settings_;
    drain_phase phase_ = drain_phase::serving;
    time_point started_;
    time_point last_open_;
    bool cut_off_ = false;
};

} // namespace medlarstall::membership

#endif
