#ifndef MEDLARSTALL_TESTS_FAULTS_FAULT_RUN_HPP
#define MEDLARSTALL_TESTS_FAULTS_FAULT_RUN_HPP

#include "fault_kind.hpp"
#include "open_call.hpp"

#include <history/history.hpp>
#include <medlarstall/tests/test_cluster.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace medlarstall::faults {

class fault_injector;

/// What a run does. Plain data.
struct run_settings
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds length{5'000};
    std::size_t daemons = 4;
    std::size_t open_calls = 24;
    std::vector<fault_kind> kinds{all_fault_kinds.begin(),
                                  all_fault_kinds.end()};
};

/// What a run saw. Plain data.
struct run_report
{
    bool started = false; ///< False if the cluster did not come up.
    std::map<fault_kind, std::size_t> faults;
    std::size_t together = 0;
    history::verdict_counts verdicts;
    std::map<std::string, std::size_t> unknown_codes;
    std::map<std::string, std::size_t> not_run_codes;
    std::vector<history::violation> violations;
};

/// Callers with retries through several daemons while faults are injected,
/// and the check of the history that this leaves.
class fault_run
{
public:
    explicit fault_run(run_settings settings);

    /// Runs to the end, without faults for the last calls.
    /// \return what was seen
    [[nodiscard]] run_report run();

private:
    void start_call(fault_injector const& faults, time_point now);
    void send(fault_injector const& faults, open_call call, time_point now);
    void collect(fault_injector const& faults, time_point now);
    void close(fault_injector const& faults, open_call const& call,
               time_point now);
    void take_executions();

    run_settings settings_;
    tests::test_cluster cluster_;
    std::mt19937_64 random_;
    history::history history_;
    run_report report_;
    std::vector<open_call> open_;
    std::uint64_t last_id_ = 0;
    time_point next_call_;
    bool draining_ = false; ///< No call is started any more.
};

} // namespace medlarstall::faults

#endif
