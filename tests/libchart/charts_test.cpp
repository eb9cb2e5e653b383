#include <medlarstall/chart/backend_server_chart.hpp>
#include <medlarstall/chart/claim_chart.hpp>
#include <medlarstall/chart/daemon_chart.hpp>
#include <medlarstall/chart/request_chart.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::chart;

namespace {

/// Number of events in a random run. Long enough to pass through several life
/// cycles, so that rare orders of events occur within the default number of
/// test cases.
constexpr std::size_t event_count = 1'000;

/// \return random events; all enumerators are equally likely
template<class Event>
std::vector<Event> random_events()
{
    std::vector<Event> all;
    all.reserve(chart_names<Event>.size());
    for (std::size_t index = 0; index < chart_names<Event>.size(); ++index) {
        all.push_back(static_cast<Event>(index));
    }
    return *rc::gen::container<std::vector<Event>>(event_count,
                                                   rc::gen::elementOf(all));
}

/// Checks for random events that the state stays valid, that final states allow
/// no event, and that an event that is not allowed leaves the state unchanged.
template<class Event, class Chart>
void check_random_run(result<Chart> const& shared)
{
    RC_ASSERT(!failed(shared));
    auto machine = value_of(shared).start();
    for (auto const event : random_events<Event>()) {
        auto before = machine.state();
        bool const ended = machine.is_final();
        bool const taken = machine.fire(event).has_value();
        RC_ASSERT(static_cast<std::size_t>(machine.state()) <
                  chart_names<decltype(before)>.size());
        RC_ASSERT(!(ended && taken));
        RC_ASSERT(taken || machine.state() == before);
        if (ended) {
            machine = value_of(shared).start();
        }
    }
}

template<class Chart>
void expect_valid(result<Chart> const& shared)
{
    BOOST_TEST(!failed(shared),
               (failed(shared)
                    ? error_of(shared).field + ": " + error_of(shared).message
                    : std::string{}));
}

} // namespace

BOOST_AUTO_TEST_CASE(embedded_charts_are_valid)
{
    expect_valid(shared_request_chart());
    expect_valid(shared_claim_chart());
    expect_valid(shared_daemon_chart());
    expect_valid(shared_backend_server_chart());
}

RC_BOOST_PROP(random_events_keep_charts_in_valid_states, ())
{
    check_random_run<request_event>(shared_request_chart());
    check_random_run<claim_event>(shared_claim_chart());
    check_random_run<daemon_event>(shared_daemon_chart());
    check_random_run<backend_server_event>(shared_backend_server_chart());
}

RC_BOOST_PROP(request_is_refused_only_if_not_run, ())
{
    auto machine = value_of(shared_request_chart()).start();
    bool may_have_run = false;
    bool has_run = false;
    for (auto const event : random_events<request_event>()) {
        if (machine.is_final()) {
            machine = value_of(shared_request_chart()).start();
            may_have_run = has_run = false;
        }
        if (!machine.fire(event)) {
            continue;
        }
        RC_ASSERT(event != request_event::refused || !may_have_run);
        RC_ASSERT(event != request_event::bounced || !has_run);
        may_have_run = event == request_event::dispatched ||
                       (may_have_run && event != request_event::bounced);
        has_run = has_run || event == request_event::first_token ||
                  event == request_event::preempted;
    }
}

RC_BOOST_PROP(claim_is_never_dispatched_after_release, ())
{
    auto machine = value_of(shared_claim_chart()).start();
    bool released = false;
    for (auto const event : random_events<claim_event>()) {
        if (machine.is_final()) {
            machine = value_of(shared_claim_chart()).start();
            released = false;
        }
        auto const taken = machine.fire(event);
        RC_ASSERT(!(released && taken && event == claim_event::dispatched));
        released = released ||
                   (taken && std::ranges::count(
                                 *taken, claim_action::append_release) > 0);
    }
}

BOOST_AUTO_TEST_CASE(daemon_drains_in_order)
{
    auto machine = value_of(shared_daemon_chart()).start();
    BOOST_TEST(!machine.fire(daemon_event::idle).has_value());
    BOOST_TEST(machine.fire(daemon_event::catalogue_ready).has_value());
    BOOST_TEST(machine.fire(daemon_event::drain).has_value());
    BOOST_TEST(!machine.fire(daemon_event::idle).has_value());
    auto const unlisted = machine.fire(daemon_event::unlisted);
    BOOST_REQUIRE(unlisted.has_value());
    BOOST_TEST((unlisted->front() == daemon_action::hand_over_ownership));
    auto const idle = machine.fire(daemon_event::idle);
    BOOST_REQUIRE(idle.has_value());
    BOOST_TEST((idle->size() == 1U && idle->front() == daemon_action::stop));
    BOOST_TEST((machine.state() == daemon_state::stopped));
    BOOST_TEST(name_of(machine.state()) == "stopped");
}

BOOST_AUTO_TEST_CASE(daemon_reports_requests_cut_off_by_drain_bound)
{
    auto machine = value_of(shared_daemon_chart()).start();
    BOOST_TEST(machine.fire(daemon_event::catalogue_ready).has_value());
    BOOST_TEST(machine.fire(daemon_event::drain).has_value());
    auto const passed = machine.fire(daemon_event::bound_passed);
    BOOST_REQUIRE(passed.has_value());
    BOOST_TEST((passed->front() == daemon_action::report_cut_off));
    BOOST_TEST(machine.is_final());
}

RC_BOOST_PROP(leaving_backend_server_never_becomes_live, ())
{
    auto machine = value_of(shared_backend_server_chart()).start();
    bool left = false;
    for (auto const event : random_events<backend_server_event>()) {
        auto const taken = machine.fire(event);
        RC_ASSERT(!left || machine.state() != backend_server_state::live);
        left = left ||
               (taken && std::ranges::count(
                             *taken, backend_server_action::stop_new_work) > 0);
    }
}
