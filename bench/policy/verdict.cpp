#include "verdict.hpp"

#include <algorithm>
#include <iostream>
#include <optional>

namespace medlarstall::bench {

namespace {

/// Bound of a figure; the figure must not pass it.
struct target
{
    double bound = 0;
    bool at_least = true;
};

constexpr double straggler_length = 20;

double best_baseline(case_figures const& results, std::string const& name)
{
    double best = 0;
    for (std::size_t i = 1; i < results.size(); ++i) {
        best = std::max(best, results[i].second.at(name));
    }
    return best;
}

std::optional<target> target_of(scenario const& what,
                                case_figures const& results,
                                std::string const& name)
{
    constexpr double attainment = 0.95;
    constexpr double small_share = 0.95;
    constexpr double wasted = 0.05;
    constexpr double gap_ms = 5000;
    constexpr double goodput_part = 0.95;
    constexpr double straggler_ratio = 1.5;
    constexpr double slowdown_ratio = 2;
    if (name == "attainment-urgent" || name == "attainment-service" ||
        name == "crest-attainment-urgent") {
        return target{attainment};
    }
    if (name == "small-share-least") {
        return target{small_share};
    }
    if (name == "wasted-work") {
        return target{wasted, false};
    }
    if (name == "lowest-class-gap") {
        return target{gap_ms, false};
    }
    if (name == "goodput") {
        double const part = what.overload ? 1.0 : goodput_part;
        return target{part * best_baseline(results, name)};
    }
    if (name == "short-work-p99-ratio") {
        return target{straggler_ratio, false};
    }
    if (name == "first-token-p99-ratio") {
        return target{slowdown_ratio, false};
    }
    return std::nullopt;
}

void add_ratio(case_figures& results, case_figures const& without,
               std::string const& name)
{
    for (std::size_t i = 0; i < results.size(); ++i) {
        double const base = without[i].second.at(name);
        double const value = results[i].second.at(name);
        results[i].second[name + "-without"] = base;
        results[i].second[name + "-ratio"] = base > 0 ? value / base : 0;
    }
}

} // namespace

double straggler_free_load(scenario const& what)
{
    return what.load * (1 + what.stragglers * (straggler_length - 1));
}

void add_ratios(scenario const& what, case_figures& results,
                case_figures const& steady, case_figures const& no_stragglers)
{
    if (what.name == "stragglers") {
        add_ratio(results, no_stragglers, "short-work-p99");
    }
    if (what.name == "slowdown") {
        add_ratio(results, steady, "first-token-p99");
    }
}

bool print_case(site const& place, scenario const& what,
                case_figures const& results)
{
    bool all_met = true;
    for (std::size_t i = 0; i < results.size(); ++i) {
        for (auto const& [name, value] : results[i].second) {
            auto const wanted = target_of(what, results, name);
            std::cout << "case=" << place.name << '/' << what.name
                      << " policy=" << results[i].first << " metric=" << name
                      << " value=" << value << " unit=" << unit_of(name)
                      << " target=";
            if (!wanted) {
                std::cout << "none\n";
                continue;
            }
            bool const met = wanted->at_least ? value >= wanted->bound
                                              : value <= wanted->bound;
            std::cout << (wanted->at_least ? ">=" : "<=") << wanted->bound
                      << " verdict=" << (met ? "met" : "short") << '\n';
            all_met = all_met && (met || i > 0);
        }
    }
    std::cout.flush();
    return all_met;
}

} // namespace medlarstall::bench
