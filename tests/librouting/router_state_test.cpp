#include "fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

#include <map>

using namespace medlarstall;
using namespace medlarstall::routing;

namespace {

/// State of a backend server in the reference model.
struct expected_server
{
    std::string owner;
    std::string model; ///< Empty stands for all models.
    std::uint64_t sequence = 0;
    bool has_owner = true;
    bool leaving_in_summary = false; ///< Marked as leaving in its summary.
    bool leaving_in_list = false; ///< Marked as leaving in the instance list.
    health_state health = health_state::healthy;

    [[nodiscard]] bool accepts_model(std::string const& wanted) const
    {
        return has_owner && !leaving_in_summary && !leaving_in_list &&
               (model.empty() || model == wanted);
    }
};

/// Reference model that the router is compared with: a table of all backend
/// servers.
struct fleet_model
{
    std::map<std::string, expected_server> servers;
};

using command = rc::state::Command<fleet_model, router>;

std::string random_server()
{
    return "s" + std::to_string(*rc::gen::inRange(0, 6));
}

std::string random_owner()
{
    return "d" + std::to_string(*rc::gen::inRange(0, 3));
}

struct summary_arrives : command
{
    std::string server = random_server();
    std::string owner = random_owner();
    std::uint64_t sequence = *rc::gen::inRange<std::uint64_t>(1, 20);
    bool leaving_in_summary = *rc::gen::inRange(0, 4) == 0;
    unsigned running = *rc::gen::inRange(0U, 6U);

    void apply(fleet_model& model) const override
    {
        auto const [position, added] = model.servers.try_emplace(server);
        auto& expected = position->second;
        if (added || expected.owner != owner || sequence > expected.sequence) {
            expected.owner = owner;
            expected.sequence = sequence;
            expected.leaving_in_summary = leaving_in_summary;
            expected.has_owner = true;
        }
    }

    void run(fleet_model const&, router& tested_router) const override
    {
        auto summary = idle_server(server, owner, sequence);
        summary.leaving = leaving_in_summary;
        summary.running = running;
        tested_router.apply_summary(summary, at_ms(1));
    }
};

struct server_changes : command
{
    std::string server = random_server();
    std::string owner = random_owner();
    int kind = *rc::gen::inRange(0, 5);
    bool leaving_in_list = *rc::gen::arbitrary<bool>();
    std::string loaded = *rc::gen::element<std::string>("", "m1", "m2");
    health_state health =
        *rc::gen::element(health_state::healthy, health_state::demoted,
                          health_state::ejected, health_state::probing);

    void apply(fleet_model& model) const override
    {
        if (kind == 0) {
            for (auto& [id, expected] : model.servers) {
                expected.has_owner =
                    expected.has_owner && expected.owner != owner;
            }
            return;
        }
        auto const found = model.servers.find(server);
        if (found == model.servers.end()) {
            return;
        }
        auto& expected = found->second;
        expected.leaving_in_list =
            kind == 1 ? leaving_in_list : expected.leaving_in_list;
        expected.model = kind == 2 ? loaded : expected.model;
        expected.health = kind == 3 ? health : expected.health;
        if (kind == 4) {
            model.servers.erase(found);
        }
    }

    void run(fleet_model const&, router& tested_router) const override
    {
        switch (kind) {
        case 0:
            return tested_router.mark_owner_lost(owner);
        case 1:
            return tested_router.set_leaving(server, leaving_in_list);
        case 2:
            return tested_router.set_loaded_models(
                server, loaded.empty() ? std::vector<std::string>{}
                                       : std::vector{loaded});
        case 3:
            return tested_router.set_health(server, health, 1.0);
        default:
            return tested_router.remove_backend_server(server);
        }
    }
};

struct request_arrives : command
{
    scheduling::request request = plain_request(*rc::gen::inRange(0U, 3U));
    std::vector<std::string> excluded{random_server()};
    bool has_prompt = *rc::gen::arbitrary<bool>();

    request_arrives()
    {
        request.model = *rc::gen::element<std::string>("m1", "m2");
        request.isolated = *rc::gen::inRange(0, 4) == 0;
        request.repeatable = *rc::gen::arbitrary<bool>();
    }

    void run(fleet_model const& model, router& tested_router) const override
    {
        auto const prefixes =
            hash_prefixes(std::string(has_prompt ? 900 : 0, 'x'));
        route_query const query{request, prefixes, 900, excluded};
        auto const chosen = tested_router.choose(query, at_ms(2));
        bool any_allowed = false;
        bool any_usable = false;
        for (auto const& [id, expected] : model.servers) {
            bool const is_allowed =
                expected.accepts_model(request.model) && id != excluded[0];
            any_allowed = any_allowed || is_allowed;
            any_usable =
                any_usable ||
                (is_allowed && expected.health != health_state::ejected &&
                 expected.health != health_state::probing);
        }
        RC_ASSERT((chosen.chosen() != nullptr) == any_allowed);
        if (!any_allowed) {
            return;
        }
        auto const& id = chosen.chosen()->backend_server;
        auto const& expected = model.servers.at(id);
        RC_ASSERT(expected.accepts_model(request.model));
        RC_ASSERT(id != excluded[0]);
        RC_ASSERT(chosen.chosen()->owner == expected.owner);
        if (chosen.reason == route_reason::probe) {
            RC_ASSERT(request.repeatable);
            RC_ASSERT(expected.health == health_state::probing);
        } else if (any_usable) {
            RC_ASSERT(expected.health != health_state::ejected);
            RC_ASSERT(expected.health != health_state::probing);
        }
        for (auto const& other : chosen.candidates) {
            RC_ASSERT(chosen.chosen()->cost.total() <= other.cost.total());
        }
        tested_router.on_dispatch(query, id, at_ms(2));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(router_state_suite)

RC_BOOST_PROP(chooses_only_servers_that_the_reference_model_allows, ())
{
    auto tested_router = make_router(*rc::gen::arbitrary<std::uint64_t>());
    rc::state::check(
        fleet_model{}, tested_router,
        rc::state::gen::execOneOfWithArgs<summary_arrives, summary_arrives,
                                          server_changes, request_arrives,
                                          request_arrives>());
}

BOOST_AUTO_TEST_SUITE_END()
