#include "fleet.hpp"

#include <medlarstall/routing/quarantine.hpp>
#include <medlarstall/routing/suspect_gate.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

using namespace medlarstall;
using namespace medlarstall::routing;

namespace {

/// Several daemons that exchange records late, repeatedly and out of order,
/// with a model of the requests that crash a backend server. Requests run
/// together with others as far as their level of suspicion allows.
struct quarantine_fleet
{
    std::vector<quarantine> daemons;
    std::set<request_fingerprint> culprits;
    std::map<request_fingerprint, int> crash_counts; ///< Crashes per culprit.
    std::vector<std::pair<std::size_t, quarantine_record>> in_flight;
    std::set<request_fingerprint> refused;
    bool runs_suspects_alone = true; ///< Owners run suspicion::exclusive alone.
    crash_id next_crash = 1;
    std::int64_t now_ms = 0;

    void send_to_others(std::size_t from, quarantine_record const& record)
    {
        auto const parsed = parse_quarantine_record(to_json(record));
        RC_ASSERT(!failed(parsed));
        for (std::size_t to = 0; to < daemons.size(); ++to) {
            if (to != from) {
                in_flight.emplace_back(to, value_of(parsed));
            }
        }
    }

    void deliver(bool all)
    {
        while (!in_flight.empty() && (all || *rc::gen::inRange(0, 3) > 0)) {
            auto const i = *rc::gen::inRange<std::size_t>(0, in_flight.size());
            auto const [to, record] = in_flight[i];
            daemons[to].merge(record, at_ms(now_ms));
            if (all || *rc::gen::inRange(0, 4) > 0) {
                in_flight.erase(in_flight.begin() +
                                static_cast<std::ptrdiff_t>(i));
            }
        }
    }

    /// Runs some requests together at one owner, with at most one suspect among
    /// them.
    void run(std::size_t owner, std::vector<request_fingerprint> const& sent)
    {
        auto& daemon = daemons[owner];
        std::vector<running_request> running;
        bool has_suspect = false;
        for (auto const fingerprint : sent) {
            auto const level = daemon.suspicion_of(fingerprint, at_ms(now_ms));
            if (level == suspicion::refused) {
                refused.insert(fingerprint);
                continue;
            }
            if (level == suspicion::exclusive && runs_suspects_alone) {
                finish(owner, {{fingerprint, level}});
                continue;
            }
            if (level == suspicion::none || !has_suspect) {
                has_suspect = has_suspect || level != suspicion::none;
                running.push_back({fingerprint, level});
            }
        }
        finish(owner, running);
    }

    void finish(std::size_t owner, std::vector<running_request> const& running)
    {
        now_ms += 10;
        auto& daemon = daemons[owner];
        bool crashes = false;
        for (auto const& request : running) {
            if (culprits.contains(request.fingerprint)) {
                crashes = true;
                ++crash_counts[request.fingerprint];
            }
        }
        if (crashes) {
            send_to_others(owner, daemon.record_crash(next_crash++, "s",
                                                      running, at_ms(now_ms)));
            return;
        }
        for (auto const& request : running) {
            if (auto const cleared =
                    daemon.record_success(request.fingerprint, at_ms(now_ms))) {
                send_to_others(owner, *cleared);
            }
        }
    }
};

constexpr int request_count = 12;

quarantine_fleet make_fleet()
{
    quarantine_fleet fleet;
    fleet.daemons.resize(*rc::gen::inRange<std::size_t>(1, 5));
    fleet.culprits.insert(0);
    for (auto more = *rc::gen::inRange(0, 5); more > 0; --more) {
        fleet.culprits.insert(static_cast<request_fingerprint>(more));
    }
    return fleet;
}

std::vector<request_fingerprint> random_requests()
{
    auto const numbers = *rc::gen::container<std::vector<int>>(
        rc::gen::inRange(0, request_count));
    std::set<request_fingerprint> const distinct(numbers.begin(),
                                                 numbers.end());
    return {distinct.begin(), distinct.end()};
}

/// Sends requests repeatedly. All records arrive before the next requests are
/// sent. No culprit may crash more than three backend servers, and only
/// culprits may be refused.
void check_losses(quarantine_fleet fleet)
{
    for (int step = 0; step < 40; ++step) {
        auto const owner =
            *rc::gen::inRange<std::size_t>(0, fleet.daemons.size());
        fleet.run(owner, random_requests());
        fleet.deliver(true);
    }
    for (auto const& [culprit, count] : fleet.crash_counts) {
        RC_ASSERT(count <= 3);
    }
    for (auto const fingerprint : fleet.refused) {
        RC_ASSERT(fleet.culprits.contains(fingerprint));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine_suite)

RC_BOOST_PROP(loses_at_most_three_servers_and_refuses_no_innocent_request, ())
{
    check_losses(make_fleet());
}

// Known failure, see KNOWN-RED.txt: owners do not run suspects alone yet.
BOOST_AUTO_TEST_CASE(loses_at_most_three_servers_without_running_alone,
                     *boost::unit_test::disabled())
{
    BOOST_TEST(rc::check([] {
        auto fleet = make_fleet();
        fleet.runs_suspects_alone = false;
        check_losses(std::move(fleet));
    }));
}

RC_BOOST_PROP(refuses_no_innocent_request_if_records_are_late, ())
{
    auto fleet = make_fleet();
    fleet.runs_suspects_alone = *rc::gen::arbitrary<bool>();
    for (int step = 0; step < 40; ++step) {
        auto const owner =
            *rc::gen::inRange<std::size_t>(0, fleet.daemons.size());
        fleet.run(owner, random_requests());
        fleet.deliver(false);
    }
    for (auto const fingerprint : fleet.refused) {
        RC_ASSERT(fleet.culprits.contains(fingerprint));
    }
    fleet.deliver(true);
    for (request_fingerprint f = 0; f < request_count; ++f) {
        for (auto const& daemon : fleet.daemons) {
            RC_ASSERT(daemon.suspicion_of(f, at_ms(fleet.now_ms)) ==
                      fleet.daemons[0].suspicion_of(f, at_ms(fleet.now_ms)));
        }
    }
    quarantine newcomer;
    for (auto const& record : fleet.daemons[0].records(at_ms(fleet.now_ms))) {
        newcomer.merge(record, at_ms(fleet.now_ms));
    }
    for (request_fingerprint f = 0; f < request_count; ++f) {
        RC_ASSERT(newcomer.suspicion_of(f, at_ms(fleet.now_ms)) ==
                  fleet.daemons[0].suspicion_of(f, at_ms(fleet.now_ms)));
    }
}

BOOST_AUTO_TEST_CASE(runs_requests_again_after_the_loss_of_a_rack)
{
    quarantine state;
    std::vector<running_request> const popular{{7, suspicion::none}};
    for (crash_id crash = 1; crash <= 6; ++crash) {
        state.record_crash(crash, "s" + std::to_string(crash), popular,
                           at_ms(1));
    }
    BOOST_TEST(name_of(state.suspicion_of(7, at_ms(2))) == "exclusive");
    BOOST_TEST(state.crashed_backend_servers(7).size() == 6U);
    BOOST_TEST(state.record_success(7, at_ms(3)).has_value());
    BOOST_TEST(name_of(state.suspicion_of(7, at_ms(4))) == "none");
}

BOOST_AUTO_TEST_CASE(refuses_only_once_the_other_requests_are_cleared)
{
    quarantine state;
    for (crash_id crash = 1; crash <= 3; ++crash) {
        std::vector<running_request> const running{
            {7, crash == 1 ? suspicion::none : suspicion::isolated},
            {70 + crash, suspicion::none}};
        state.record_crash(crash, "s", running, at_ms(1));
    }
    BOOST_TEST(name_of(state.suspicion_of(7, at_ms(2))) == "exclusive");
    state.record_success(71, at_ms(3));
    BOOST_TEST(name_of(state.suspicion_of(7, at_ms(3))) == "exclusive");
    state.record_success(73, at_ms(4));
    BOOST_TEST(name_of(state.suspicion_of(7, at_ms(4))) == "refused");
    BOOST_TEST(name_of(state.suspicion_of(72, at_ms(4))) == "isolated");
}

BOOST_AUTO_TEST_CASE(keeps_a_limited_number_of_crashes_until_they_expire)
{
    quarantine_settings settings;
    settings.max_crashes = 8;
    quarantine state{settings};
    for (crash_id crash = 1; crash <= 100; ++crash) {
        std::vector<running_request> const running{
            {crash, suspicion::none}, {crash + 1, suspicion::none}};
        state.record_crash(crash, "s", running, at_ms(std::int64_t(crash)));
        BOOST_TEST(state.crash_count() <= 8U);
    }
    BOOST_TEST(name_of(state.suspicion_of(100, at_ms(101))) == "exclusive");
    auto const later = at_ms(101) + settings.crash_lifetime;
    BOOST_TEST(name_of(state.suspicion_of(100, later)) == "none");
    state.remove_expired(later);
    BOOST_TEST(state.crash_count() == 0U);
}

BOOST_AUTO_TEST_CASE(rejects_invalid_records)
{
    using nlohmann::json;
    for (auto const* text :
         {"[]", "{}", R"({"kind":"crash","age_ms":0})",
          R"({"kind":"crash","age_ms":-1,"crash":1})",
          R"({"kind":"other","age_ms":0})",
          R"({"kind":"clearance","age_ms":0,"fingerprint":1,"crashes":[-1]})",
          R"({"kind":"crash","age_ms":0,"crash":1,"backend_server":"s",
              "running":["a"],"suspected":[]})"}) {
        BOOST_TEST(failed(parse_quarantine_record(json::parse(text))));
    }
}

BOOST_AUTO_TEST_CASE(lets_one_of_several_identical_suspects_proceed_at_a_time)
{
    suspect_gate gate;
    BOOST_TEST(gate.enter(7, 1));
    BOOST_TEST(!gate.enter(7, 2));
    BOOST_TEST(!gate.enter(7, 3));
    BOOST_TEST(gate.enter(8, 4));
    BOOST_TEST(!gate.leave(7, 2).has_value());
    BOOST_TEST((gate.leave(7, 1) == scheduling::request_id{3}));
    BOOST_TEST(!gate.leave(7, 3).has_value());
    BOOST_TEST(gate.enter(7, 5));
}

BOOST_AUTO_TEST_SUITE_END()
