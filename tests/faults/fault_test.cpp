#include "run/fault_run.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarstall;
using namespace medlarstall::faults;

namespace {

void check_run(run_settings settings)
{
    auto const report = fault_run{std::move(settings)}.run();
    BOOST_TEST_REQUIRE(report.started);
    BOOST_TEST(report.verdicts.calls > 0U);
    BOOST_TEST(report.verdicts.of.count(history::verdict::run) == 1U);
    for (auto const& one : report.violations) {
        BOOST_ERROR(one.rule << ": " << one.detail);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(fault_suite)

BOOST_AUTO_TEST_CASE(without_faults_every_call_is_answered)
{
    auto const report = fault_run{
        {.length = std::chrono::milliseconds{1'000},
         .kinds = {}}}.run();
    BOOST_TEST_REQUIRE(report.started);
    BOOST_TEST(report.violations.empty());
    BOOST_TEST(report.verdicts.of.size() == 1U);
}

BOOST_AUTO_TEST_CASE(faults_of_the_log)
{
    check_run({.seed = 11,
               .length = std::chrono::milliseconds{2'000},
               .kinds = {fault_kind::append_reply_lost, fault_kind::append_late,
                         fault_kind::log_outage, fault_kind::log_slow,
                         fault_kind::records_expired}});
}

BOOST_AUTO_TEST_CASE(every_fault_at_any_time)
{
    check_run({.seed = 12, .length = std::chrono::milliseconds{4'000}});
}

BOOST_AUTO_TEST_SUITE_END()
