#ifndef MEDLARSTALL_DAEMON_METRICS_HPP
#define MEDLARSTALL_DAEMON_METRICS_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace medlarstall::daemon {

/// Metrics of the requests of one service class.
class class_metrics;

/// Counters and histograms of a daemon. Not thread-safe: used only on the
/// daemon's thread.
class metrics
{
public:
    metrics();
    ~metrics();

    /// Records the latency of the first token of a response.
    /// \param service_class class of the request
    /// \param latency time since the arrival of the request
    /// \param target longest latency that the class promises
    void record_first_token(std::string const& service_class,
                            std::chrono::microseconds latency,
                            std::chrono::milliseconds target);

    /// Records the mean time between the tokens of a response.
    /// \param service_class class of the request
    /// \param latency mean time between two tokens
    /// \param target longest mean time that the class promises
    void record_token_interval(std::string const& service_class,
                               std::chrono::microseconds latency,
                               std::chrono::milliseconds target);

    /// Records the end of a request.
    void record_finished(std::string const& service_class,
                         std::string const& outcome);

    /// Records tokens that were sent to a caller.
    void record_tokens(std::string const& service_class, std::uint64_t count);

    /// Records how long an order waited for a slot of a backend server.
    void record_queue_wait(std::string const& service_class,
                           std::chrono::microseconds wait);

    /// Values that are read when the metrics are scraped. Plain data.
    struct gauges
    {
        std::size_t open_requests = 0;
        std::size_t queued_orders = 0;
        std::size_t open_orders = 0;
        std::uint64_t catalogue_version = 0;
        std::size_t live_daemons = 0;
        std::size_t owned_backend_servers = 0;
        std::size_t claim_keys = 0;
        std::uint64_t peer_bytes_sent = 0;
        std::uint64_t peer_bytes_received = 0;
    };

    /// \param now current values of the gauges
    /// \return all metrics in the Prometheus text format
    [[nodiscard]] std::string render(gauges const& now) const;

    /// How many requests of a class met its latency targets so far.
    struct attainment
    {
        std::uint64_t requests = 0;
        std::uint64_t first_token_met = 0;
        std::uint64_t between_tokens_met = 0;
    };

    /// \return attainment of each class since the start
    [[nodiscard]] std::map<std::string, attainment> attainments() const;

    std::uint64_t refused_orders = 0;  ///< Orders refused before execution.
    std::uint64_t preemptions = 0;     ///< Running orders requeued.
    std::uint64_t retries = 0;         ///< Orders sent again.
    std::uint64_t hedges = 0;          ///< Second orders for a request.
    std::uint64_t resumes = 0;         ///< Streams resumed by the entry daemon.
    std::uint64_t claims_won = 0;      ///< Calls that this daemon may execute.
    std::uint64_t claims_answered = 0; ///< Calls, from a stored outcome.
    std::uint64_t quarantined_requests = 0; ///< Refused for crashing servers.
    std::uint64_t bad_peer_messages = 0;    ///< From other daemons, unreadable.

private:
    class_metrics& metrics_of(std::string const& service_class);

    std::map<std::string, std::unique_ptr<class_metrics>> classes_;
};

} // namespace medlarstall::daemon

#endif
