#include <medlarstall/emulator/run_metrics.hpp>

#include <algorithm>
#include <cmath>

namespace medlarstall::emulator {

namespace {

/// Share of the worth of an answer that does not depend on its size. The rest
/// grows in proportion to the size.
constexpr double fixed_worth_share = 0.3;
/// Upper limit of the factor by which the size of a request raises its worth.
constexpr double max_size_factor = 4.0;
/// Seconds with fewer requests are ignored in the search for the worst second.
constexpr std::uint64_t min_requests_in_second = 5;

/// Collects the metrics of a group of requests.
struct group_collector
{
    group_metrics metrics;
    std::vector<double> first_events_ms;
};

double potential_worth_of(class_settings const& request_class,
                          arrival const& request)
{
    auto const size_factor =
        fixed_worth_share + (1.0 - fixed_worth_share) * request.relative_size;
    return request_class.worth * std::min(size_factor, max_size_factor);
}

bool is_on_time(class_settings const& request_class, outcome const& observed)
{
    return observed.first_event &&
           *observed.first_event <= request_class.objective &&
           (request_class.pause_objective.count() == 0 ||
            observed.longest_pause <= request_class.pause_objective);
}

double earned_worth_of(class_settings const& request_class,
                       arrival const& request, outcome const& observed)
{
    if (observed.ending != request_ending::completed) {
        return 0;
    }
    auto const full_worth = potential_worth_of(request_class, request);
    return is_on_time(request_class, observed)
               ? full_worth
               : full_worth * request_class.late_worth / request_class.worth;
}

void add_request(group_collector& group, class_settings const& request_class,
                 arrival const& request, outcome const& observed)
{
    auto& metrics = group.metrics;
    ++metrics.requests;
    metrics.refusals += observed.refusals;
    metrics.potential_worth += potential_worth_of(request_class, request);
    metrics.earned_worth += earned_worth_of(request_class, request, observed);
    if (observed.first_event) {
        group.first_events_ms.push_back(
            std::chrono::duration<double, std::milli>{*observed.first_event}
                .count());
    }
    if (observed.ending == request_ending::refused) {
        ++metrics.refused;
    } else if (observed.ending != request_ending::completed) {
        ++metrics.failed;
    } else if (is_on_time(request_class, observed)) {
        ++metrics.on_time;
    } else {
        ++metrics.late;
    }
}

double quantile(std::vector<double> const& sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    auto const last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(fraction * last))];
}

group_metrics finish_group(group_collector& group)
{
    auto& times = group.first_events_ms;
    std::ranges::sort(times);
    group.metrics.first_event_p50_ms = quantile(times, 0.5);
    group.metrics.first_event_p95_ms = quantile(times, 0.95);
    group.metrics.first_event_p99_ms = quantile(times, 0.99);
    return group.metrics;
}

void set_worst_groups(run_metrics& metrics)
{
    for (auto const& second : metrics.by_second) {
        if (second.requests >= min_requests_in_second &&
            second.potential_worth > 0) {
            metrics.worst_second =
                std::min(metrics.worst_second,
                         second.earned_worth / second.potential_worth);
        }
    }
    for (auto const& group : metrics.by_organisation) {
        metrics.worst_organisation =
            std::min(metrics.worst_organisation, group.worth_share());
    }
}

} // namespace

run_metrics compute_metrics(experiment const& spec,
                            std::vector<arrival> const& arrivals,
                            std::vector<outcome> const& outcomes)
{
    group_collector total{{"all"}, {}};
    std::vector<group_collector> classes;
    classes.reserve(spec.classes.size());
    for (auto const& request_class : spec.classes) {
        classes.push_back({{request_class.name}, {}});
    }
    std::vector<group_collector> organisations;
    organisations.reserve(spec.organisation_count);
    for (std::uint32_t at = 0; at < spec.organisation_count; ++at) {
        organisations.push_back({{"organisation-" + std::to_string(at)}, {}});
    }
    run_metrics metrics;
    metrics.by_second.resize(
        static_cast<std::size_t>(std::ceil(spec.length.count())));
    for (std::size_t call = 0; call < arrivals.size(); ++call) {
        auto const& request = arrivals[call];
        if (seconds{request.offset} < spec.warm_up) {
            continue;
        }
        auto const& request_class = spec.classes[request.class_index];
        add_request(total, request_class, request, outcomes[call]);
        add_request(classes[request.class_index], request_class, request,
                    outcomes[call]);
        add_request(organisations[request.organisation], request_class, request,
                    outcomes[call]);
        auto& second = metrics.by_second[static_cast<std::size_t>(
            seconds{request.offset}.count())];
        ++second.requests;
        second.potential_worth += potential_worth_of(request_class, request);
        second.earned_worth +=
            earned_worth_of(request_class, request, outcomes[call]);
    }
    metrics.total = finish_group(total);
    for (auto& group : classes) {
        metrics.by_class.push_back(finish_group(group));
    }
    for (auto& group : organisations) {
        metrics.by_organisation.push_back(finish_group(group));
    }
    set_worst_groups(metrics);
    return metrics;
}

} // namespace medlarstall::emulator
