#ifndef MEDLARSTALL_EMULATOR_RUN_METRICS_HPP
#define MEDLARSTALL_EMULATOR_RUN_METRICS_HPP

#include <medlarstall/emulator/outcome_recorder.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::emulator {

/// Metrics of a group of requests. Each request counts in exactly one of
/// on_time, late, refused and failed.
struct group_metrics
{
    std::string name;
    std::uint64_t requests = 0;
    std::uint64_t on_time = 0;  ///< Completed within the objectives.
    std::uint64_t late = 0;     ///< Completed, but outside the objectives.
    std::uint64_t refused = 0;  ///< Refused, and the caller gave up.
    std::uint64_t failed = 0;   ///< No whole answer, or outcome unknown.
    std::uint64_t refusals = 0; ///< Also those after which callers retried.
    double potential_worth = 0; ///< Worth if all requests were on time.
    double earned_worth = 0;
    double first_event_p50_ms = 0;
    double first_event_p95_ms = 0;
    double first_event_p99_ms = 0;

    /// \return share of the requests that were answered on time; 1 if there
    ///         were none
    [[nodiscard]] double attainment() const
    {
        return requests == 0 ? 1.0 : static_cast<double>(on_time) / requests;
    }

    /// \return earned share of the potential worth; 1 if there was none
    [[nodiscard]] double worth_share() const
    {
        return potential_worth > 0 ? earned_worth / potential_worth : 1.0;
    }
};

/// Worth of the requests that arrived within one second of an experiment.
struct second_metrics
{
    std::uint64_t requests = 0;
    double potential_worth = 0;
    double earned_worth = 0;
};

/// Metrics of one run of an experiment.
struct run_metrics
{
    std::string strategy;
    group_metrics total;
    std::vector<group_metrics> by_class;
    std::vector<group_metrics> by_organisation;
    std::vector<second_metrics> by_second;
    double worst_second = 1;       ///< Lowest worth share of a second.
    double worst_organisation = 1; ///< Lowest worth share of an organisation.
    std::uint64_t prefilled_tokens = 0;        ///< Computed prompt tokens.
    std::uint64_t repeated_prefill_tokens = 0; ///< See prefill_counter.
    std::uint64_t preemptions = 0;
    std::uint64_t copied_tokens = 0; ///< Prompt tokens copied from a cache.
    std::uint64_t sends = 0; ///< Requests sent to servers, with retries.
};

/// Computes the metrics of the requests that arrived after the warm-up.
/// \param spec experiment that was run
/// \param arrivals all requests of the run
/// \param outcomes what the callers observed, in the order of \p arrivals
/// \return the metrics; the strategy and the counters of the backend servers
///         are left empty and 0
[[nodiscard]] run_metrics compute_metrics(experiment const& spec,
                                          std::vector<arrival> const& arrivals,
                                          std::vector<outcome> const& outcomes);

} // namespace medlarstall::emulator

#endif
