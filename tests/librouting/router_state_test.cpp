#include "fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

#include <map>

using namespace medlarstall;
using namespace medlarstall::routing;

namespace {

/// What the oracle knows of a backend server.
struct known_server
{
    std::string owner;
    std::string model; ///< Empty: all models.
    std::uint64_t sequence = 0;
    bool owned = true;
    bool leaves = false;  ///< By its summary.
    bool leaving = false; ///< By the instance list.
    health_state health = health_state::healthy;

    [[nodiscard]] bool takes(std::string const& wanted) const
    {
        return owned && !leaves && !leaving &&
               (model.empty() || model == wanted);
    }
};

/// The oracle: a plain table, and the last time.
struct fleet_model
{
    std::map<std::string, known_server> servers;
};

using command = rc::state::Command<fleet_model, router>;

std::string any_server()
{
    return "s" + std::to_string(*rc::gen::inRange(0, 6));
}

std::string any_owner()
{
    return "d" + std::to_string(*rc::gen::inRange(0, 3));
}

struct summary_comes : command
{
    std::string server = any_server();
    std::string owner = any_owner();
    std::uint64_t sequence = *rc::gen::inRange<std::uint64_t>(1, 20);
    bool leaves = *rc::gen::inRange(0, 4) == 0;
    unsigned running = *rc::gen::inRange(0U, 6U);

    void apply(fleet_model& model) const override
    {
        auto const [place, added] = model.servers.try_emplace(server);
        auto& known = place->second;
        if (added || known.owner != owner || sequence > known.sequence) {
            known.owner = owner;
            known.sequence = sequence;
            known.leaves = leaves;
            known.owned = true;
        }
    }

    void run(fleet_model const&, router& sut) const override
    {
        auto summary = idle_server(server, owner, sequence);
        summary.leaving = leaves;
        summary.running = running;
        sut.take_summary(summary, at_ms(1));
    }
};

struct server_changes : command
{
    std::string server = any_server();
    std::string owner = any_owner();
    int kind = *rc::gen::inRange(0, 5);
    bool leaving = *rc::gen::arbitrary<bool>();
    std::string loaded = *rc::gen::element<std::string>("", "m1", "m2");
    health_state health =
        *rc::gen::element(health_state::healthy, health_state::demoted,
                          health_state::ejected, health_state::probing);

    void apply(fleet_model& model) const override
    {
        if (kind == 0) {
            for (auto& [id, known] : model.servers) {
                known.owned = known.owned && known.owner != owner;
            }
            return;
        }
        auto const found = model.servers.find(server);
        if (found == model.servers.end()) {
            return;
        }
        auto& known = found->second;
        known.leaving = kind == 1 ? leaving : known.leaving;
        known.model = kind == 2 ? loaded : known.model;
        known.health = kind == 3 ? health : known.health;
        if (kind == 4) {
            model.servers.erase(found);
        }
    }

    void run(fleet_model const&, router& sut) const override
    {
        switch (kind) {
        case 0:
            return sut.lose_owner(owner);
        case 1:
            return sut.set_leaving(server, leaving);
        case 2:
            return sut.set_models(server, loaded.empty()
                                              ? std::vector<std::string>{}
                                              : std::vector{loaded});
        case 3:
            return sut.set_health(server, health, 1.0);
        default:
            return sut.forget(server);
        }
    }
};

struct request_comes : command
{
    scheduling::request request = plain_request(*rc::gen::inRange(0U, 3U));
    std::vector<std::string> excluded{any_server()};
    bool prompt = *rc::gen::arbitrary<bool>();

    request_comes()
    {
        request.model = *rc::gen::element<std::string>("m1", "m2");
        request.isolated = *rc::gen::inRange(0, 4) == 0;
        request.repeatable = *rc::gen::arbitrary<bool>();
    }

    void run(fleet_model const& model, router& sut) const override
    {
        auto const prefixes = hash_prefixes(std::string(prompt ? 900 : 0, 'x'));
        route_query const query{request, prefixes, 900, excluded};
        auto const chosen = sut.choose(query, at_ms(2));
        bool any = false;
        bool any_usable = false;
        for (auto const& [id, known] : model.servers) {
            bool const can = known.takes(request.model) && id != excluded[0];
            any = any || can;
            any_usable =
                any_usable || (can && known.health != health_state::ejected &&
                               known.health != health_state::probing);
        }
        RC_ASSERT((chosen.chosen() != nullptr) == any);
        if (!any) {
            return;
        }
        auto const& id = chosen.chosen()->backend_server;
        auto const& known = model.servers.at(id);
        RC_ASSERT(known.takes(request.model));
        RC_ASSERT(id != excluded[0]);
        RC_ASSERT(chosen.chosen()->owner == known.owner);
        if (chosen.reason == route_reason::probe) {
            RC_ASSERT(request.repeatable);
            RC_ASSERT(known.health == health_state::probing);
        } else if (any_usable) {
            RC_ASSERT(known.health != health_state::ejected);
            RC_ASSERT(known.health != health_state::probing);
        }
        for (auto const& other : chosen.candidates) {
            RC_ASSERT(chosen.chosen()->cost.total() <= other.cost.total());
        }
        sut.note_dispatch(query, id, at_ms(2));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(router_state_suite)

RC_BOOST_PROP(sends_only_where_a_plain_table_allows, ())
{
    auto sut = make_router(*rc::gen::arbitrary<std::uint64_t>());
    rc::state::check(
        fleet_model{}, sut,
        rc::state::gen::execOneOfWithArgs<summary_comes, summary_comes,
                                          server_changes, request_comes,
                                          request_comes>());
}

BOOST_AUTO_TEST_SUITE_END()
