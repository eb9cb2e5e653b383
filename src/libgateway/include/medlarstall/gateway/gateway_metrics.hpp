#ifndef MEDLARSTALL_GATEWAY_GATEWAY_METRICS_HPP
#define MEDLARSTALL_GATEWAY_GATEWAY_METRICS_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace medlarstall::gateway {

/// Counters, gauges and latency histograms of a gateway, exported in the
/// Prometheus text format. Owned by the gateway.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(gateway_metrics const&) = delete;
    gateway_metrics& operator=(gateway_metrics const&) = delete;

    /// Counts a response that has ended.
    /// \param kind kind of the route, or "none"
    /// \param status HTTP status code; 0 if the connection was aborted
    /// \param reason cause of the status, from a fixed set of words
    void count_response(std::string const& kind, int status,
                        std::string const& reason);

    /// Counts an attempt to send a request to a backend server.
    /// \param outcome how the attempt ended, from a fixed set of words
    void count_attempt(std::string const& outcome);

    /// Counts a change of the daemon's state.
    /// \param event what has changed, from a fixed set of words
    void count_state_change(std::string const& event);

    /// Counts a decision about a request that depended on a rate limit of a
    /// backend server.
    /// \param decision what was decided, from a fixed set of words
    void count_rate_limit_decision(std::string const& decision);

    /// Counts a decision about sending a request again.
    /// \param decision what was decided, from a fixed set of words
    void count_retry_decision(std::string const& decision);

    /// Counts a call to the platform that is an exclusive duty.
    /// \param duty name of the duty
    /// \param outcome how the call ended, from a fixed set of words
    void count_duty_call(std::string const& duty, std::string const& outcome);

    /// Counts a call to the store about the lease, or a change of its holder.
    /// \param event what has happened, from a fixed set of words
    void count_lease_event(std::string const& event);

    /// Records the time until a response begins to be relayed: at the first
    /// event of a stream, or when another answer is complete or too long to
    /// collect.
    /// \param kind kind of the route
    /// \param elapsed time since the request was read
    void observe_first_chunk(std::string const& kind,
                             std::chrono::nanoseconds elapsed);

    /// Records the time to the end of a response.
    /// \param kind kind of the route
    /// \param elapsed time since the request was read
    void observe_total_time(std::string const& kind,
                            std::chrono::nanoseconds elapsed);

    /// Sets a gauge.
    /// \param name value of the gauge's "name" label, from a fixed set
    /// \param value current value of the gauge
    void set_gauge(std::string const& name, double value);

    /// \return all metrics in the Prometheus text format
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace medlarstall::gateway

#endif
