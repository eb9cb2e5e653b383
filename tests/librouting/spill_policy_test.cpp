#include "fleet.hpp"

#include <medlarstall/routing/spill_policy.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::routing;

namespace {

/// An owner with one backend server whose slots are all in use.
struct full_owner
{
    std::array<unsigned, 4> queued{};
    std::array<unsigned, 4> running{};

    /// Decision of the owner: it accepts a request if work of a lower tier can
    /// be displaced.
    [[nodiscard]] bool accepts(unsigned tier) const
    {
        for (unsigned lower = tier + 1; lower < 4; ++lower) {
            if (queued[lower] + running[lower] > 0) {
                return true;
            }
        }
        return false;
    }
};

std::string owner_name(std::size_t i)
{
    return "d" + std::to_string(i);
}

void apply_summaries(fleet_view& view, std::vector<full_owner> const& owners)
{
    for (std::size_t i = 0; i < owners.size(); ++i) {
        auto summary = idle_server("s" + std::to_string(i), owner_name(i));
        summary.limit = 0;
        for (unsigned tier = 0; tier < 4; ++tier) {
            summary.tiers[tier].queued = owners[i].queued[tier];
            summary.tiers[tier].running = owners[i].running[tier];
            summary.running += owners[i].running[tier];
        }
        summary.limit = summary.running;
        view.apply_summary(summary, at_ms(0));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(spill_policy_suite)

RC_BOOST_PROP(sheds_only_when_no_owner_has_work_of_a_lower_tier, ())
{
    auto const count = *rc::gen::inRange<std::size_t>(1, 6);
    std::vector<full_owner> owners(count);
    for (auto& owner : owners) {
        for (unsigned tier = 0; tier < 4; ++tier) {
            owner.queued[tier] = *rc::gen::inRange(0U, 2U);
            owner.running[tier] = *rc::gen::inRange(0U, 2U);
        }
    }
    fleet_view view;
    apply_summaries(view, owners);
    auto const tier = *rc::gen::inRange(0U, 4U);
    auto const request = plain_request(tier);
    std::vector<std::string> refused;
    spill_policy const policy;
    for (;;) {
        route_query query{request};
        query.excluded_owners = refused;
        auto const next =
            policy.decide(view, query, *rc::gen::arbitrary<std::uint64_t>());
        if (next.action != spill_action::offer) {
            break;
        }
        auto const owner = static_cast<std::size_t>(next.owner[1] - '0');
        if (owners[owner].accepts(tier)) {
            RC_SUCCEED();
        }
        refused.push_back(next.owner);
        RC_ASSERT(refused.size() <= count);
    }
    for (auto const& owner : owners) {
        RC_ASSERT(!owner.accepts(tier));
    }
}

BOOST_AUTO_TEST_CASE(pauses_after_a_bounded_number_of_owners)
{
    fleet_view view;
    std::vector<full_owner> owners(9);
    for (auto& owner : owners) {
        owner.queued[3] = 1;
    }
    apply_summaries(view, owners);
    auto const request = plain_request(0);
    std::vector<std::string> refused;
    spill_policy const policy;
    route_query query{request};
    while (refused.size() < spill_settings{}.max_consecutive_offers) {
        query.excluded_owners = refused;
        auto const next = policy.decide(view, query, refused.size());
        BOOST_REQUIRE(bool(next.action == spill_action::offer));
        refused.push_back(next.owner);
    }
    query.excluded_owners = refused;
    BOOST_TEST(
        bool(policy.decide(view, query, 0).action == spill_action::pause));
}

BOOST_AUTO_TEST_SUITE_END()
