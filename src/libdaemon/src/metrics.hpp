#ifndef MEDLARSTALL_DAEMON_METRICS_HPP
#define MEDLARSTALL_DAEMON_METRICS_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace medlarstall::daemon {

/// Latency of the requests of one class.
class class_metrics;

/// Counters and histograms of a daemon. Used on the daemon's thread.
class metrics
{
public:
    metrics();
    ~metrics();

    /// Notes a first token.
    /// \param service_class class of the request
    /// \param latency from the request's arrival
    /// \param target latency that the class promises
    void first_token(std::string const& service_class,
                     std::chrono::microseconds latency,
                     std::chrono::milliseconds target);

    /// Notes the mean time between the tokens of an answer.
    void between_tokens(std::string const& service_class,
                        std::chrono::microseconds latency,
                        std::chrono::milliseconds target);

    /// Notes the end of a request.
    void finished(std::string const& service_class, std::string const& outcome);

    /// Notes tokens that were passed to a caller.
    void tokens(std::string const& service_class, std::uint64_t count);

    /// Notes the time that an order waited for a slot.
    void queue_wait(std::string const& service_class,
                    std::chrono::microseconds wait);

    /// Figures read at the time of a scrape. Plain data.
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

    /// \param now figures of this moment
    /// \return all figures in Prometheus' text format
    [[nodiscard]] std::string render(gauges const& now) const;

    /// Part of a class's requests within its targets so far.
    struct attainment
    {
        std::uint64_t requests = 0;
        std::uint64_t first_token_met = 0;
        std::uint64_t between_tokens_met = 0;
    };

    /// \return attainment of each class since the start
    [[nodiscard]] std::map<std::string, attainment> attainments() const;

    std::uint64_t refusals = 0;    ///< By owners, before a run.
    std::uint64_t preemptions = 0; ///< Running orders put back.
    std::uint64_t retries = 0;     ///< Orders sent again.
    std::uint64_t hedges = 0;      ///< Second orders for one request.
    std::uint64_t resumes = 0;     ///< Streams taken up by the entry side.
    std::uint64_t claims_won = 0;
    std::uint64_t claims_answered = 0; ///< From an earlier outcome.
    std::uint64_t quarantined = 0;     ///< Refused as crashing.
    std::uint64_t bad_messages = 0;    ///< From other daemons.

private:
    class_metrics& of(std::string const& service_class);

    std::map<std::string, std::unique_ptr<class_metrics>> classes_;
};

} // namespace medlarstall::daemon

#endif
