#include <medlarstall/emulator/figures.hpp>

#include <algorithm>
#include <cmath>

namespace medlarstall::emulator {

namespace {

/// Worth of a generation: part of it is the same for all sizes.
constexpr double fixed_worth = 0.3;
constexpr double most_worth = 4.0;
constexpr std::uint64_t least_in_second = 5;

/// Figures of a group while they are gathered.
struct gathered_group
{
    group_figures figures;
    std::vector<double> first_events_ms;
};

double worth_of(class_settings const& kind, arrival const& request)
{
    auto const grown = fixed_worth + (1.0 - fixed_worth) * request.size;
    return kind.worth * std::min(grown, most_worth);
}

bool is_on_time(class_settings const& kind, outcome const& seen)
{
    return seen.first_event && *seen.first_event <= kind.objective &&
           (kind.pause_objective.count() == 0 ||
            seen.longest_pause <= kind.pause_objective);
}

double earned_by(class_settings const& kind, arrival const& request,
                 outcome const& seen)
{
    if (seen.end != ending::whole) {
        return 0;
    }
    auto const whole = worth_of(kind, request);
    return is_on_time(kind, seen) ? whole
                                  : whole * kind.late_worth / kind.worth;
}

void add(gathered_group& group, class_settings const& kind,
         arrival const& request, outcome const& seen)
{
    auto& figures = group.figures;
    ++figures.asked;
    figures.refusals += seen.refusals;
    figures.owed += worth_of(kind, request);
    figures.earned += earned_by(kind, request, seen);
    if (seen.first_event) {
        group.first_events_ms.push_back(
            std::chrono::duration<double, std::milli>{*seen.first_event}
                .count());
    }
    if (seen.end == ending::refused) {
        ++figures.refused;
    } else if (seen.end != ending::whole) {
        ++figures.broken;
    } else if (is_on_time(kind, seen)) {
        ++figures.on_time;
    } else {
        ++figures.late;
    }
}

double quantile(std::vector<double> const& sorted, double part)
{
    if (sorted.empty()) {
        return 0;
    }
    auto const last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(part * last))];
}

group_figures finish(gathered_group& group)
{
    auto& times = group.first_events_ms;
    std::ranges::sort(times);
    group.figures.first_event_p50_ms = quantile(times, 0.5);
    group.figures.first_event_p95_ms = quantile(times, 0.95);
    group.figures.first_event_p99_ms = quantile(times, 0.99);
    return group.figures;
}

void find_worst(run_figures& figures)
{
    for (auto const& second : figures.by_second) {
        if (second.asked >= least_in_second && second.owed > 0) {
            figures.worst_second =
                std::min(figures.worst_second, second.earned / second.owed);
        }
    }
    for (auto const& group : figures.by_organisation) {
        figures.worst_organisation =
            std::min(figures.worst_organisation, group.worth());
    }
}

} // namespace

run_figures measure(experiment const& from,
                    std::vector<arrival> const& arrivals,
                    std::vector<outcome> const& seen)
{
    gathered_group total{{"all"}, {}};
    std::vector<gathered_group> classes;
    classes.reserve(from.classes.size());
    for (auto const& kind : from.classes) {
        classes.push_back({{kind.name}, {}});
    }
    std::vector<gathered_group> organisations;
    organisations.reserve(from.organisations);
    for (std::uint32_t at = 0; at < from.organisations; ++at) {
        organisations.push_back({{"organisation-" + std::to_string(at)}, {}});
    }
    run_figures figures;
    figures.by_second.resize(
        static_cast<std::size_t>(std::ceil(from.length.count())));
    for (std::size_t call = 0; call < arrivals.size(); ++call) {
        auto const& request = arrivals[call];
        if (seconds{request.at} < from.warm_up) {
            continue;
        }
        auto const& kind = from.classes[request.kind];
        add(total, kind, request, seen[call]);
        add(classes[request.kind], kind, request, seen[call]);
        add(organisations[request.organisation], kind, request, seen[call]);
        auto& second = figures.by_second[static_cast<std::size_t>(
            seconds{request.at}.count())];
        ++second.asked;
        second.owed += worth_of(kind, request);
        second.earned += earned_by(kind, request, seen[call]);
    }
    figures.total = finish(total);
    for (auto& group : classes) {
        figures.by_class.push_back(finish(group));
    }
    for (auto& group : organisations) {
        figures.by_organisation.push_back(finish(group));
    }
    find_worst(figures);
    return figures;
}

} // namespace medlarstall::emulator
