#ifndef MEDLARSTALL_DISPATCH_CALLER_PRESENCE_HPP
#define MEDLARSTALL_DISPATCH_CALLER_PRESENCE_HPP

#include <medlarstall/dispatch/heard_daemons.hpp>
#include <medlarstall/routes/configuration.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace medlarstall::dispatch {

/// How long a caller waits before it gives up and leaves.
struct caller_patience
{
    duration unread; ///< Until its request has been read.
    duration gap;    ///< Of a stream, without an event.
};

/// \param route route of a request
/// \param time_left time left for the request when it arrived
/// \return how long its caller waits
[[nodiscard]] caller_patience patience_of(routes::route const& route,
                                          std::chrono::milliseconds time_left);

/// From when on the caller of a forwarded request is taken to be out of
/// hearing.
struct presence_limits
{
    /// Without an update of the origin for longer, no run begins. Leaves a
    /// tenth of a second until the latest time for a send, half a second after
    /// the caller has left.
    std::chrono::milliseconds begin_silence{400};
    /// Without an update for longer, runs that may be repeated are ended.
    std::chrono::milliseconds run_silence{450};
    /// After a silence, an origin that was suspended needs this time to notice
    /// which callers have left meanwhile.
    std::chrono::milliseconds settle_time{200};
};

/// What a daemon knows of the caller of a request.
struct caller_view
{
    routes::route_kind kind = routes::route_kind::idempotent;
    bool has_left = false; ///< Its connection is closed, as the kernel knows.
    /// Incarnation of the daemon that forwarded the request, as it stated it;
    /// empty if the caller is connected here, or the daemon is of an older
    /// version.
    std::optional<std::uint64_t> origin_incarnation;
    /// Empty if that daemon was never heard, or has left the fleet in order.
    std::optional<daemon_hearing> origin;
    /// When it gives up unless something is delivered before.
    time_point patient_until;
};

/// Whether a request may be sent to a backend server.
enum class caller_presence
{
    present,  ///< It may.
    unheard,  ///< Not now: the caller may have left without being heard.
    departed, ///< Never again.
};

/// A decision with its reason, for log lines.
struct presence_decision
{
    caller_presence presence = caller_presence::present;
    char const* reason = "";
    duration silence{0}; ///< Of the origin, if there is one.
};

/// Decides whether a request may be sent to a backend server. A stream for
/// which nothing is delivered for too long is never sent again. Another request
/// is so only if its origin is silent as well.
/// \param view what is known of the caller
/// \param now current time
/// \param limits from when on an origin counts as silent
/// \return the decision
[[nodiscard]] presence_decision decide_send(caller_view const& view,
                                            time_point now,
                                            presence_limits const& limits = {});

/// Decides whether a run of a request at a backend server must end.
/// \param view what is known of the caller
/// \param now current time
/// \param limits from when on an origin counts as silent
/// \return present if the run goes on; unheard if it ends because the origin is
///     silent; departed if the caller is known to have left
[[nodiscard]] presence_decision decide_run(caller_view const& view,
                                           time_point now,
                                           presence_limits const& limits = {});

} // namespace medlarstall::dispatch

#endif
