#ifndef MEDLARSTALL_GATEWAY_GATEWAY_METRICS_HPP
#define MEDLARSTALL_GATEWAY_GATEWAY_METRICS_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace medlarstall::gateway {

/// Counters and latency histograms of a gateway in Prometheus' text format.
/// Owned by the gateway.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(gateway_metrics const&) = delete;
    gateway_metrics& operator=(gateway_metrics const&) = delete;

    /// Counts a final answer.
    /// \param kind kind of the route, or "none"
    /// \param status status code; 0 if the connection was broken off
    /// \param reason why, a word from a fixed set
    void count_answer(std::string const& kind, int status,
                      std::string const& reason);

    /// Counts a send to a backend server.
    /// \param outcome how it ended, a word from a fixed set
    void count_send(std::string const& outcome);

    /// Counts a change of what the daemon believes.
    /// \param event what has changed, a word from a fixed set
    void count_belief(std::string const& event);

    /// Records the time to the first piece of an answer.
    /// \param kind kind of the route
    /// \param took time since the request was read
    void observe_first(std::string const& kind, std::chrono::nanoseconds took);

    /// Records the time to the end of an answer.
    /// \param kind kind of the route
    /// \param took time since the request was read
    void observe_whole(std::string const& kind, std::chrono::nanoseconds took);

    /// Sets a gauge.
    /// \param name its name, from a fixed set
    /// \param value its value
    void set(std::string const& name, double value);

    /// \return all metrics as text
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace medlarstall::gateway

#endif
