#include <medlarstall/gateway/gateway_metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace medlarstall::gateway {

namespace {

using seconds = std::chrono::duration<double>;

prometheus::Histogram::BucketBoundaries const& latency_bounds()
{
    static prometheus::Histogram::BucketBoundaries const bounds = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10, 30};
    return bounds;
}

} // namespace

struct gateway_metrics::implementation
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& responses =
        prometheus::BuildCounter()
            .Name("medlarstall_answers_total")
            .Help("Final answers by kind of route, status and reason.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& attempts =
        prometheus::BuildCounter()
            .Name("medlarstall_sends_total")
            .Help("Sends to backend servers by outcome.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& state_changes =
        prometheus::BuildCounter()
            .Name("medlarstall_beliefs_total")
            .Help("Changes of what the daemon believes, by event.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& rate_limit_decisions =
        prometheus::BuildCounter()
            .Name("medlarstall_rate_limit_decisions_total")
            .Help("Requests sent to, kept from or refused because of backend "
                  "servers that limit their rate, by decision.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& retry_decisions =
        prometheus::BuildCounter()
            .Name("medlarstall_retry_decisions_total")
            .Help("Retries that the budget of their service allowed, and "
                  "others.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& duty_calls =
        prometheus::BuildCounter()
            .Name("medlarstall_duty_calls_total")
            .Help("Calls to the platform that are exclusive duties.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& lease_events =
        prometheus::BuildCounter()
            .Name("medlarstall_lease_events_total")
            .Help("Reads and writes of the lease of the exclusive duties, and "
                  "changes of its holder.")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& first_chunk =
        prometheus::BuildHistogram()
            .Name("medlarstall_first_piece_seconds")
            .Help("Time from the request to the first piece of the answer.")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& duration =
        prometheus::BuildHistogram()
            .Name("medlarstall_answer_seconds")
            .Help("Time from the request to the end of the answer.")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges =
        prometheus::BuildGauge()
            .Name("medlarstall_state")
            .Help("What the daemon knows and holds now.")
            .Register(registry);
};

gateway_metrics::gateway_metrics()
    : implementation_{std::make_unique<implementation>()}
{}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::count_response(std::string const& kind, int status,
                                     std::string const& reason)
{
    implementation_->responses
        .Add({{"kind", kind},
              {"status", std::to_string(status)},
              {"reason", reason}})
        .Increment();
}

void gateway_metrics::count_attempt(std::string const& outcome)
{
    implementation_->attempts.Add({{"outcome", outcome}}).Increment();
}

void gateway_metrics::count_state_change(std::string const& event)
{
    implementation_->state_changes.Add({{"event", event}}).Increment();
}

void gateway_metrics::count_rate_limit_decision(std::string const& decision)
{
    implementation_->rate_limit_decisions.Add({{"decision", decision}})
        .Increment();
}

void gateway_metrics::count_retry_decision(std::string const& decision)
{
    implementation_->retry_decisions.Add({{"decision", decision}}).Increment();
}

void gateway_metrics::count_duty_call(std::string const& duty,
                                      std::string const& outcome)
{
    implementation_->duty_calls.Add({{"duty", duty}, {"outcome", outcome}})
        .Increment();
}

void gateway_metrics::count_lease_event(std::string const& event)
{
    implementation_->lease_events.Add({{"event", event}}).Increment();
}

void gateway_metrics::observe_first_chunk(std::string const& kind,
                                          std::chrono::nanoseconds elapsed)
{
    implementation_->first_chunk.Add({{"kind", kind}}, latency_bounds())
        .Observe(seconds{elapsed}.count());
}

void gateway_metrics::observe_total_time(std::string const& kind,
                                         std::chrono::nanoseconds elapsed)
{
    implementation_->duration.Add({{"kind", kind}}, latency_bounds())
        .Observe(seconds{elapsed}.count());
}

void gateway_metrics::set_gauge(std::string const& name, double value)
{
    implementation_->gauges.Add({{"name", name}}).Set(value);
}

std::string gateway_metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(
        implementation_->registry.Collect());
}

} // namespace medlarstall::gateway
