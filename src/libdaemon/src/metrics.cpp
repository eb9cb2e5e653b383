#include "metrics.hpp"

#include "class_metrics.hpp"

#include <boost/histogram/indexed.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace medlarstall::daemon {

namespace {

constexpr unsigned latency_bins = 36;
constexpr double min_latency_ms = 0.1;
constexpr double max_latency_ms = 600'000;

double to_milliseconds(std::chrono::microseconds duration)
{
    return std::chrono::duration<double, std::milli>{duration}.count();
}

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

ClientMetric metric_with_class(std::string const& service_class)
{
    ClientMetric metric;
    metric.label.push_back({"class", service_class});
    return metric;
}

MetricFamily family(std::string name, std::string help, MetricType type)
{
    return {.name = std::move(name), .help = std::move(help), .type = type};
}

MetricFamily counter(std::string name, std::string help, std::uint64_t value)
{
    auto metric_family =
        family(std::move(name), std::move(help), MetricType::Counter);
    ClientMetric metric;
    metric.counter.value = static_cast<double>(value);
    metric_family.metric.push_back(std::move(metric));
    return metric_family;
}

MetricFamily gauge(std::string name, std::string help, double value)
{
    auto metric_family =
        family(std::move(name), std::move(help), MetricType::Gauge);
    ClientMetric metric;
    metric.gauge.value = value;
    metric_family.metric.push_back(std::move(metric));
    return metric_family;
}

ClientMetric histogram_metric(std::string const& service_class,
                              latency_statistics const& record)
{
    namespace bh = boost::histogram;
    auto metric = metric_with_class(service_class);
    std::uint64_t cumulative = 0;
    for (auto const& cell :
         bh::indexed(record.histogram(), bh::coverage::all)) {
        cumulative += static_cast<std::uint64_t>(*cell);
        metric.histogram.bucket.push_back({.cumulative_count = cumulative,
                                           .upper_bound = cell.bin().upper()});
    }
    metric.histogram.sample_count = cumulative;
    metric.histogram.sample_sum = record.sum_ms();
    return metric;
}

} // namespace

latency_statistics::latency_statistics()
    : histogram_{boost::histogram::make_histogram(
          latency_axis{latency_bins, min_latency_ms, max_latency_ms})}
{}

void latency_statistics::add(std::chrono::microseconds latency)
{
    auto const ms = to_milliseconds(latency);
    histogram_(ms);
    sum_ms_ += ms;
}

metrics::metrics() = default;
metrics::~metrics() = default;

class_metrics& metrics::metrics_of(std::string const& service_class)
{
    auto& found = classes_[service_class];
    if (!found) {
        found = std::make_unique<class_metrics>();
    }
    return *found;
}

void metrics::record_first_token(std::string const& service_class,
                                 std::chrono::microseconds latency,
                                 std::chrono::milliseconds target)
{
    auto& record = metrics_of(service_class);
    record.first_token.add(latency);
    ++record.attainment.requests;
    record.attainment.first_token_met += latency <= target ? 1 : 0;
}

void metrics::record_token_interval(std::string const& service_class,
                                    std::chrono::microseconds latency,
                                    std::chrono::milliseconds target)
{
    auto& record = metrics_of(service_class);
    record.between_tokens.add(latency);
    record.attainment.between_tokens_met += latency <= target ? 1 : 0;
}

void metrics::record_finished(std::string const& service_class,
                              std::string const& outcome)
{
    ++metrics_of(service_class).outcomes[outcome];
}

void metrics::record_tokens(std::string const& service_class,
                            std::uint64_t count)
{
    metrics_of(service_class).tokens += count;
}

void metrics::record_queue_wait(std::string const& service_class,
                                std::chrono::microseconds wait)
{
    metrics_of(service_class).queue_wait.add(wait);
}

std::map<std::string, metrics::attainment> metrics::attainments() const
{
    std::map<std::string, attainment> all;
    for (auto const& [name, record] : classes_) {
        all.emplace(name, record->attainment);
    }
    return all;
}

std::string metrics::render(gauges const& now) const
{
    auto first_token =
        family("medlarstall_first_token_milliseconds",
               "Time from arrival to the first token", MetricType::Histogram);
    auto token_interval = family("medlarstall_between_tokens_milliseconds",
                                 "Mean time between the tokens of an answer",
                                 MetricType::Histogram);
    auto queue_wait =
        family("medlarstall_queue_wait_milliseconds",
               "Time that an order waited for a slot", MetricType::Histogram);
    auto tokens = family("medlarstall_tokens_total", "Tokens passed to callers",
                         MetricType::Counter);
    auto requests =
        family("medlarstall_requests_total", "Requests that ended, by outcome",
               MetricType::Counter);
    for (auto const& [name, record] : classes_) {
        first_token.metric.push_back(
            histogram_metric(name, record->first_token));
        token_interval.metric.push_back(
            histogram_metric(name, record->between_tokens));
        queue_wait.metric.push_back(histogram_metric(name, record->queue_wait));
        auto sum = metric_with_class(name);
        sum.counter.value = static_cast<double>(record->tokens);
        tokens.metric.push_back(std::move(sum));
        for (auto const& [outcome, count] : record->outcomes) {
            auto metric = metric_with_class(name);
            metric.label.push_back({"outcome", outcome});
            metric.counter.value = static_cast<double>(count);
            requests.metric.push_back(std::move(metric));
        }
    }
    std::vector<MetricFamily> const families{
        std::move(first_token),
        std::move(token_interval),
        std::move(queue_wait),
        std::move(tokens),
        std::move(requests),
        counter("medlarstall_refusals_total",
                "Orders refused by this owner before a run", refused_orders),
        counter("medlarstall_preemptions_total",
                "Running orders put back into the queue", preemptions),
        counter("medlarstall_retries_total", "Orders sent again", retries),
        counter("medlarstall_hedges_total",
                "Second orders sent for one request", hedges),
        counter("medlarstall_resumes_total",
                "Streams taken up by the entry side", resumes),
        counter("medlarstall_claims_won_total", "Claims that this daemon won",
                claims_won),
        counter("medlarstall_claims_answered_total",
                "Calls answered from an earlier outcome", claims_answered),
        counter("medlarstall_quarantined_total",
                "Requests refused because they crash backend servers",
                quarantined_requests),
        counter("medlarstall_bad_peer_messages_total",
                "Messages of other daemons that could not be read",
                bad_peer_messages),
        counter("medlarstall_peer_bytes_sent_total",
                "Bytes sent on links to other daemons", now.peer_bytes_sent),
        counter("medlarstall_peer_bytes_received_total",
                "Bytes received on links to other daemons",
                now.peer_bytes_received),
        gauge("medlarstall_open_requests", "Requests of callers not answered",
              static_cast<double>(now.open_requests)),
        gauge("medlarstall_queued_orders", "Orders that wait at this owner",
              static_cast<double>(now.queued_orders)),
        gauge("medlarstall_open_orders", "Orders that wait or run",
              static_cast<double>(now.open_orders)),
        gauge("medlarstall_catalogue_version",
              "Offset of the catalogue in force",
              static_cast<double>(now.catalogue_version)),
        gauge("medlarstall_live_daemons", "Daemons in this daemon's view",
              static_cast<double>(now.live_daemons)),
        gauge("medlarstall_owned_backend_servers",
              "Backend servers that this daemon owns",
              static_cast<double>(now.owned_backend_servers)),
        gauge("medlarstall_claim_keys", "Idempotency keys kept in memory",
              static_cast<double>(now.claim_keys))};
    std::ostringstream text;
    prometheus::TextSerializer{}.Serialize(text, families);
    return text.str();
}

} // namespace medlarstall::daemon
