#ifndef MEDLARSTALL_DAEMON_CLASS_METRICS_HPP
#define MEDLARSTALL_DAEMON_CLASS_METRICS_HPP

#include "metrics.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <tuple>

namespace medlarstall::daemon {

/// Histogram axis for latencies in milliseconds, with logarithmic bins.
using latency_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

using latency_histogram = boost::histogram::histogram<std::tuple<latency_axis>>;

/// Histogram and sum of latencies.
class latency_statistics
{
public:
    latency_statistics();

    /// Adds one latency.
    void add(std::chrono::microseconds latency);

    [[nodiscard]] latency_histogram const& histogram() const
    {
        return histogram_;
    }
    [[nodiscard]] double sum_ms() const { return sum_ms_; }

private:
    latency_histogram histogram_;
    double sum_ms_ = 0;
};

/// Metrics of the requests of one service class.
class class_metrics
{
public:
    latency_statistics first_token;
    latency_statistics between_tokens;
    latency_statistics queue_wait;
    metrics::attainment attainment;
    std::uint64_t tokens = 0;                      ///< Sent to callers.
    std::map<std::string, std::uint64_t> outcomes; ///< Requests by outcome.
};

} // namespace medlarstall::daemon

#endif
