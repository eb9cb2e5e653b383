#ifndef MEDLARSTALL_DISPATCH_SERVER_HEALTH_HPP
#define MEDLARSTALL_DISPATCH_SERVER_HEALTH_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>

namespace medlarstall::dispatch {

/// Health of a backend server as this daemon assumes it to be, from best to
/// worst.
enum class health
{
    up,
    /// A connection was lost or is silent; to be probed at once. Gets requests
    /// only if no backend server that is up can take them, until a probe
    /// succeeds or data arrives.
    suspect,
    /// Gets requests only if no other backend server can take them, until a
    /// probe succeeds or data arrives.
    down
};

/// \param state the state to name
/// \return the name of the state as written to the log, or "unknown" if the
///     value is not an enumerator
[[nodiscard]] char const* name_of(health state);

/// When backend servers are probed and how failures are averaged.
struct probe_settings
{
    /// Time from finding a backend server down to the first probe. The interval
    /// doubles after each failed probe.
    std::chrono::milliseconds initial_interval{250};
    /// Upper bound of the interval between probes.
    std::chrono::milliseconds max_interval{1000};
    /// Time after a successful probe in which silence is not suspicious.
    std::chrono::milliseconds trust_after_probe{2000};
    /// Weight of the newest outcome in the moving average of failures.
    double failure_weight = 0.15;
};

/// Health of one backend server as observed on the connections to it. Does no
/// I/O; owned by the dispatcher.
class server_health
{
public:
    /// \param settings probe intervals and the weight of failures
    explicit server_health(probe_settings settings);

    server_health() : server_health(probe_settings{}) {}

    /// Called when a connection could not be opened.
    /// \param now current time
    void on_unreachable(time_point now);

    /// Called when a connection that carried a request was lost.
    /// \param now current time
    void on_connection_lost(time_point now);

    /// Called when no data arrives on a connection that waits for an answer.
    /// Ignored for a while after a successful probe, because the requests are
    /// merely slow then.
    /// \param now current time
    void on_no_data(time_point now);

    /// Called when bytes of an answer arrive.
    void on_data_received();

    /// Called when a probe succeeded.
    /// \param now current time
    void on_probe_succeeded(time_point now);

    /// Called when a request has ended, to update the share of failures.
    /// \param succeeded whether the requested answer was received
    void on_outcome(bool succeeded);

    /// Starts a probe if one is due and none is under way. The caller must
    /// report the result with on_probe_succeeded() or on_probe_failed().
    /// \param now current time
    /// \return true if the caller must send a probe now
    [[nodiscard]] bool start_probe(time_point now);

    /// Called when a probe got no answer or a bad one.
    /// \param now current time
    void on_probe_failed(time_point now);

    /// \return the health that is assumed now
    [[nodiscard]] health state() const { return state_; }

    /// \return moving average of the share of requests that failed, 0 to 1
    [[nodiscard]] double failure_share() const { return failure_share_; }

private:
    void schedule_probe(time_point at) { next_probe_ = at; }

    probe_settings settings_;
    health state_ = health::up;
    time_point next_probe_;
    time_point trusted_until_;
    std::chrono::milliseconds interval_;
    double failure_share_ = 0.0;
    bool probing_ = false;
};

} // namespace medlarstall::dispatch

#endif
