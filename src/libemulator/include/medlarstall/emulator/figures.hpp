#ifndef MEDLARSTALL_EMULATOR_FIGURES_HPP
#define MEDLARSTALL_EMULATOR_FIGURES_HPP

#include <medlarstall/emulator/outcome_record.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::emulator {

/// Figures of a group of requests. Plain data.
struct group_figures
{
    std::string name;
    std::uint64_t asked = 0;
    std::uint64_t on_time = 0;
    std::uint64_t late = 0;    ///< Answered whole, but late.
    std::uint64_t refused = 0; ///< For good.
    std::uint64_t broken = 0;
    std::uint64_t refusals = 0; ///< With those whose callers came back.
    double owed = 0;            ///< Worth if all had been on time.
    double earned = 0;
    double first_event_p50_ms = 0;
    double first_event_p95_ms = 0;
    double first_event_p99_ms = 0;

    /// \return share of the requests that were answered on time
    [[nodiscard]] double attainment() const
    {
        return asked == 0 ? 1.0 : static_cast<double>(on_time) / asked;
    }

    /// \return share of the worth that was earned
    [[nodiscard]] double worth() const
    {
        return owed > 0 ? earned / owed : 1.0;
    }
};

/// Worth of the requests that arrived within one second. Plain data.
struct second_figures
{
    std::uint64_t asked = 0;
    double owed = 0;
    double earned = 0;
};

/// Figures of one run of an experiment. Plain data.
struct run_figures
{
    std::string strategy;
    group_figures total;
    std::vector<group_figures> by_class;
    std::vector<group_figures> by_organisation;
    std::vector<second_figures> by_second;
    double worst_second = 1;       ///< Worth in the worst of them.
    double worst_organisation = 1; ///< Worth of the worst served one.
    std::uint64_t read_tokens = 0;
    std::uint64_t read_again_tokens = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t copied_tokens = 0;
    std::uint64_t sends = 0;
};

/// Works out the figures of a run, without its warm-up.
/// \param from the experiment
/// \param arrivals its requests
/// \param seen what callers saw
/// \return the figures; those of the backend servers are left at 0
[[nodiscard]] run_figures measure(experiment const& from,
                                  std::vector<arrival> const& arrivals,
                                  std::vector<outcome> const& seen);

} // namespace medlarstall::emulator

#endif
