// Runs callers against daemons under faults for some minutes, and prints the
// faults by kind, the verdicts and every violation.
// Usage: medlarstall_faults [--seed N] [--minutes M] [--log-level 0..3]

#include "run/fault_run.hpp"

#include <medlarstall/support/log.hpp>

#include <cstdlib>
#include <iostream>
#include <string_view>

using namespace medlarstall;
using namespace medlarstall::faults;

namespace {

/// Each round starts a new cluster, so that a violation is found again soon.
constexpr std::chrono::seconds round_length{20};

struct totals
{
    std::map<std::string, std::size_t> faults;
    std::map<std::string, std::size_t> verdicts;
    std::map<std::string, std::size_t> unknown_codes;
    std::size_t calls = 0;
    std::size_t violations = 0;
    std::size_t rounds = 0;
};

char const* name_of_verdict(history::verdict told)
{
    switch (told) {
    case history::verdict::run:
        return "run";
    case history::verdict::cut:
        return "cut";
    case history::verdict::not_run:
        return "not_run";
    case history::verdict::unknown:
        return "unknown";
    case history::verdict::mismatch:
        return "mismatch";
    case history::verdict::lost:
        return "lost";
    }
    return "none";
}

void add(totals& sum, run_report const& report, std::uint64_t seed)
{
    ++sum.rounds;
    sum.calls += report.verdicts.calls;
    sum.faults["together"] += report.together;
    for (auto const& [kind, count] : report.faults) {
        sum.faults[std::string{name_of(kind)}] += count;
    }
    for (auto const& [told, count] : report.verdicts.of) {
        sum.verdicts[name_of_verdict(told)] += count;
    }
    for (auto const& [code, count] : report.unknown_codes) {
        sum.unknown_codes[code] += count;
    }
    sum.violations += report.violations.size();
    for (auto const& one : report.violations) {
        std::cout << "violation seed=" << seed << " rule=" << one.rule
                  << " detail=\"" << one.detail << "\"\n";
    }
}

void print(char const* what, std::string const& metric, double value,
           char const* unit, char const* target = "-")
{
    std::cout << "case=faults policy=" << what << " metric=" << metric
              << " value=" << value << " unit=" << unit << " target=" << target
              << '\n';
}

void print(totals const& sum)
{
    for (auto const& [kind, count] : sum.faults) {
        print("injected", kind, double(count), "faults");
    }
    for (auto const& [told, count] : sum.verdicts) {
        print("told", told, double(count), "calls");
    }
    for (auto const& [code, count] : sum.unknown_codes) {
        print("unknown", code, double(count), "calls");
    }
    auto const unknown = sum.verdicts.find("unknown");
    auto const part = unknown == sum.verdicts.end() || sum.calls == 0
                          ? 0.0
                          : double(unknown->second) / double(sum.calls);
    print("all", "rounds", double(sum.rounds), "rounds");
    print("all", "calls", double(sum.calls), "calls");
    print("all", "unknown_share", part, "part");
    print("all", "violations", double(sum.violations), "violations", "0");
}

double option(int argc, char** argv, std::string_view name, double otherwise)
{
    for (int i = 1; i + 1 < argc; ++i) {
        if (argv[i] == name) {
            return std::strtod(argv[i + 1], nullptr);
        }
    }
    return otherwise;
}

} // namespace

int main(int argc, char** argv)
{
    auto const level = severity(int(option(argc, argv, "--log-level", 3)));
    start_logging({.min_severity = level});
    auto seed = std::uint64_t(option(argc, argv, "--seed", 1));
    std::chrono::duration<double, std::ratio<60>> const length{
        option(argc, argv, "--minutes", 1)};
    auto const end =
        monotonic_clock::now() + std::chrono::duration_cast<duration>(length);
    totals sum;
    do {
        auto const report =
            fault_run{{.seed = seed, .length = round_length}}.run();
        if (!report.started) {
            std::cerr << "the cluster did not start\n";
            return EXIT_FAILURE;
        }
        add(sum, report, seed);
        ++seed;
    } while (monotonic_clock::now() < end);
    print(sum);
    return sum.violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
