#include "tables.hpp"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>

namespace medlarstall::bench {

namespace {

using emulator::group_metrics;
using emulator::run_metrics;

void print_groups(std::ostream& out, std::vector<group_metrics> const& groups)
{
    fmt::print(out,
               "  {:<20} {:>6} {:>8} {:>6} {:>5} {:>7} {:>7} {:>8} {:>8} "
               "{:>8}\n",
               "group", "asked", "on time", "worth", "late", "refused",
               "broken", "p50 ms", "p95 ms", "p99 ms");
    for (auto const& group : groups) {
        fmt::print(out,
                   "  {:<20} {:>6} {:>8.3f} {:>6.3f} {:>5} {:>7} {:>7} "
                   "{:>8.0f} {:>8.0f} {:>8.0f}\n",
                   group.name, group.requests, group.attainment(),
                   group.worth_share(), group.late, group.refused, group.failed,
                   group.first_event_p50_ms, group.first_event_p95_ms,
                   group.first_event_p99_ms);
    }
}

} // namespace

void print_tables(std::ostream& out, std::vector<run_metrics> const& runs)
{
    fmt::print(out,
               "{:<13} {:>6} {:>8} {:>8} {:>9} {:>9} {:>9} {:>10} {:>9} "
               "{:>6}\n",
               "placement", "worth", "on time", "worst s", "worst org",
               "refusals", "preempted", "read again", "copied", "sends");
    for (auto const& run : runs) {
        fmt::print(out,
                   "{:<13} {:>6.3f} {:>8.3f} {:>8.3f} {:>9.3f} {:>9} {:>9} "
                   "{:>10} {:>9} {:>6}\n",
                   run.strategy, run.total.worth_share(),
                   run.total.attainment(), run.worst_second,
                   run.worst_organisation, run.total.refusals, run.preemptions,
                   run.repeated_prefill_tokens, run.copied_tokens, run.sends);
    }
    for (auto const& run : runs) {
        fmt::print(out, "\n{}\n", run.strategy);
        print_groups(out, run.by_class);
        print_groups(out, run.by_organisation);
    }
}

void write_seconds_csv(std::ostream& out, std::vector<run_metrics> const& runs)
{
    fmt::print(out, "second");
    std::size_t length = 0;
    for (auto const& run : runs) {
        fmt::print(out, ",{}", run.strategy);
        length = std::max(length, run.by_second.size());
    }
    fmt::print(out, "\n");
    for (std::size_t second = 0; second < length; ++second) {
        fmt::print(out, "{}", second);
        for (auto const& run : runs) {
            auto const& metrics = run.by_second[second];
            fmt::print(out, ",{:.4f}",
                       metrics.potential_worth > 0
                           ? metrics.earned_worth / metrics.potential_worth
                           : 1.0);
        }
        fmt::print(out, "\n");
    }
}

} // namespace medlarstall::bench
