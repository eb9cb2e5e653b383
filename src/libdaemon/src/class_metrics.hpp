#ifndef MEDLARSTALL_DAEMON_CLASS_METRICS_HPP
#define MEDLARSTALL_DAEMON_CLASS_METRICS_HPP

#include "metrics.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <tuple>

namespace medlarstall::daemon {

/// Latency in milliseconds on a logarithmic axis.
using latency_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

using latency_histogram = boost::histogram::histogram<std::tuple<latency_axis>>;

/// Counts latencies and sums them.
class latency_record
{
public:
    latency_record();

    /// Notes one latency.
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

/// Figures of one class.
class class_metrics
{
public:
    latency_record first_token;
    latency_record between_tokens;
    latency_record queue_wait;
    metrics::attainment met;
    std::uint64_t tokens = 0;
    std::map<std::string, std::uint64_t> outcomes;
};

} // namespace medlarstall::daemon

#endif
