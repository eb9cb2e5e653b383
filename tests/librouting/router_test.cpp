#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarstall;
using namespace medlarstall::routing;

namespace {

std::string chosen_server(route const& chosen)
{
    auto const* candidate = chosen.chosen();
    return candidate == nullptr ? "" : candidate->backend_server;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_suite)

BOOST_AUTO_TEST_CASE(prefers_an_idle_backend_server)
{
    auto router = make_router();
    auto busy = idle_server("busy");
    busy.running = 4;
    busy.tiers[0].running = 4;
    busy.tiers[0].expected_wait = std::chrono::milliseconds{900};
    router.apply_summary(busy, at_ms(0));
    router.apply_summary(idle_server("free"), at_ms(0));
    auto const request = plain_request();
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(chosen_server(router.choose({request}, at_ms(1))) == "free");
    }
}

BOOST_AUTO_TEST_CASE(chooses_the_server_that_has_cached_the_prompt)
{
    auto router = make_router();
    for (int i = 0; i < 10; ++i) {
        router.apply_summary(idle_server("s" + std::to_string(i)), at_ms(0));
    }
    std::string const prompt(4096, 'x');
    auto const prefixes = hash_prefixes(prompt);
    BOOST_REQUIRE(prefixes.size() == 5U);
    auto const request = plain_request();
    route_query const query{request, prefixes, prompt.size()};
    router.on_cache_event("s7", prefixes.back(), true, at_ms(1));
    auto const hit = router.choose(query, at_ms(2));
    BOOST_TEST(chosen_server(hit) == "s7");
    BOOST_TEST(name_of(hit.reason) == "affinity");
    BOOST_TEST(hit.chosen()->cached_tokens == 1000U);
    router.on_cache_event("s7", prefixes.back(), false, at_ms(3));
    BOOST_TEST(name_of(router.choose(query, at_ms(4)).reason) == "least-cost");
}

BOOST_AUTO_TEST_CASE(ignores_a_cached_prompt_when_the_wait_costs_more)
{
    auto router = make_router();
    auto full = idle_server("full");
    full.running = 4;
    full.tiers[0].expected_wait = std::chrono::milliseconds{2000};
    router.apply_summary(full, at_ms(0));
    router.apply_summary(idle_server("free"), at_ms(0));
    std::string const prompt(4096, 'x');
    auto const prefixes = hash_prefixes(prompt);
    router.on_cache_event("full", prefixes.back(), true, at_ms(1));
    auto const request = plain_request();
    BOOST_TEST(chosen_server(router.choose({request, prefixes, prompt.size()},
                                           at_ms(2))) == "free");
}

BOOST_AUTO_TEST_CASE(spreads_its_own_requests_between_summaries)
{
    auto router = make_router();
    for (int i = 0; i < 4; ++i) {
        router.apply_summary(idle_server("s" + std::to_string(i)), at_ms(0));
    }
    std::map<std::string, int> dispatch_counts;
    auto const request = plain_request();
    for (int i = 0; i < 16; ++i) {
        auto const chosen = chosen_server(router.choose({request}, at_ms(1)));
        router.on_dispatch({request}, chosen, at_ms(1));
        ++dispatch_counts[chosen];
    }
    for (auto const& [server, count] : dispatch_counts) {
        BOOST_TEST(count <= 5);
    }
    BOOST_TEST(dispatch_counts.size() == 4U);
}

// Daemons with the same summaries must not all choose the same backend server.
BOOST_AUTO_TEST_CASE(several_daemons_do_not_overload_one_server)
{
    std::vector<router> daemons;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        daemons.push_back(make_router(seed));
        daemons.back().set_daemon_count(5);
    }
    for (auto& daemon : daemons) {
        for (int i = 0; i < 10; ++i) {
            auto server = idle_server("s" + std::to_string(i));
            server.limit = 16;
            server.running = i == 0 ? 4 : 8; // All daemons prefer server 0.
            daemon.apply_summary(server, at_ms(0));
        }
    }
    std::map<std::string, int> dispatch_counts;
    auto const request = plain_request();
    for (int i = 0; i < 50; ++i) {
        auto& daemon = daemons[i % 5];
        auto const chosen =
            chosen_server(daemon.choose({request}, at_ms(5 + i)));
        daemon.on_dispatch({request}, chosen, at_ms(5 + i));
        ++dispatch_counts[chosen];
    }
    for (auto const& [server, count] : dispatch_counts) {
        BOOST_TEST(count <= 12, server << " got " << count << " of 50");
    }
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_leaving_backend_server)
{
    auto router = make_router();
    router.apply_summary(idle_server("stays"), at_ms(0));
    router.apply_summary(idle_server("goes"), at_ms(0));
    router.set_leaving("goes", true);
    auto leaving = idle_server("goes too");
    leaving.leaving = true;
    router.apply_summary(leaving, at_ms(0));
    auto const request = plain_request();
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(chosen_server(router.choose({request}, at_ms(1))) ==
                   "stays");
    }
    router.remove_backend_server("stays");
    BOOST_TEST(chosen_server(router.choose({request}, at_ms(1))).empty());
}

BOOST_AUTO_TEST_CASE(waits_for_a_new_owner_after_a_daemon_is_lost)
{
    auto router = make_router();
    router.apply_summary(idle_server("s0", "d0", 9), at_ms(0));
    router.mark_owner_lost("d0");
    auto const request = plain_request();
    BOOST_TEST(chosen_server(router.choose({request}, at_ms(1))).empty());
    router.apply_summary(idle_server("s0", "d1", 1), at_ms(2));
    auto const chosen = router.choose({request}, at_ms(3));
    BOOST_REQUIRE(chosen.chosen() != nullptr);
    BOOST_TEST(chosen.chosen()->owner == "d1");
}

BOOST_AUTO_TEST_CASE(drops_old_summaries_and_applies_unnumbered_ones)
{
    auto router = make_router();
    auto const limit_after = [&](std::uint64_t sequence, unsigned limit) {
        auto summary = idle_server("s0", "d0", sequence);
        summary.limit = limit;
        router.apply_summary(summary, at_ms(0));
        return router.view().at(0).summary.limit;
    };
    BOOST_TEST(limit_after(5, 1) == 1U);
    BOOST_TEST(limit_after(4, 2) == 1U);
    BOOST_TEST(limit_after(6, 3) == 3U);
    BOOST_TEST(limit_after(0, 4) == 4U);
    BOOST_TEST(limit_after(0, 5) == 5U);
}

BOOST_AUTO_TEST_CASE(probes_once_and_uses_ejected_servers_as_a_last_resort)
{
    auto router = make_router();
    router.apply_summary(idle_server("bad"), at_ms(0));
    router.apply_summary(idle_server("good"), at_ms(0));
    router.set_health("bad", health_state::probing, 1.0);
    auto const request = plain_request();
    BOOST_TEST(chosen_server(router.choose({request}, at_ms(1))) == "bad");
    router.on_dispatch({request}, "bad", at_ms(1));
    BOOST_TEST(chosen_server(router.choose({request}, at_ms(1))) == "good");
    router.set_health("bad", health_state::ejected, 1.0);
    router.set_health("good", health_state::ejected, 1.0);
    auto const chosen = router.choose({request}, at_ms(1));
    BOOST_TEST(name_of(chosen.reason) == "last-resort");
}

BOOST_AUTO_TEST_CASE(uses_only_servers_with_the_model_and_only_one_if_isolated)
{
    auto a = make_router(1);
    auto b = make_router(2);
    for (auto* router : {&a, &b}) {
        for (int i = 0; i < 10; ++i) {
            auto const id = "s" + std::to_string(i);
            router->apply_summary(idle_server(id), at_ms(0));
            router->set_loaded_models(id, {i < 3 ? "m1" : "m2"});
        }
    }
    auto request = plain_request();
    request.model = "m1";
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(chosen_server(a.choose({request}, at_ms(1))) < "s3");
    }
    request.isolated = true;
    route_query query{request};
    query.fingerprint = 42;
    BOOST_TEST(chosen_server(a.choose(query, at_ms(1))) ==
               chosen_server(b.choose(query, at_ms(1))));
    std::vector<std::string> const crashed{
        chosen_server(a.choose(query, at_ms(1)))};
    query.excluded_backend_servers = crashed;
    BOOST_TEST(chosen_server(a.choose(query, at_ms(1))) != crashed.front());
}

BOOST_AUTO_TEST_SUITE_END()
