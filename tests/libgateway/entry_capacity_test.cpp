#include <medlarstall/gateway/entry_capacity.hpp>
#include <medlarstall/gateway/peer_update.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace {

using namespace medlarstall;
using namespace medlarstall::gateway;
using namespace std::chrono_literals;

/// \return daemons whose addresses begin with the given text
std::vector<entry_candidate> make_candidates(std::string const& prefix,
                                             std::size_t count, double capacity)
{
    std::vector<entry_candidate> made;
    made.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        made.push_back({prefix + std::to_string(index), capacity});
    }
    return made;
}

/// \return 6 large, 21 medium and 61 small daemons
std::vector<entry_candidate> make_uneven_fleet()
{
    auto fleet = make_candidates("large", 6, 250);
    for (auto const& more : {make_candidates("medium", 21, 80),
                             make_candidates("small", 61, 30)}) {
        fleet.insert(fleet.end(), more.begin(), more.end());
    }
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_capacity_suite)

// Small instances got as many callers as those with eight times the resources.
BOOST_AUTO_TEST_CASE(callers_are_spread_by_capacity)
{
    auto const fleet = make_uneven_fleet();
    std::map<char, double> connections;
    constexpr std::uint64_t callers = 2000;
    for (std::uint64_t caller = 0; caller < callers; ++caller) {
        auto const offered = select_entries(fleet, caller, 64);
        BOOST_REQUIRE_GE(offered.size(), 12U);
        for (auto const& address : offered) {
            connections[address.front()] += 1.0 / offered.size();
        }
    }
    auto const per_large = connections['l'] / 6;
    BOOST_TEST(per_large > 3 * connections['s'] / 61);
    BOOST_TEST(per_large > 1.5 * connections['m'] / 21);
    BOOST_TEST(connections['s'] / 61 > 0.001 * callers);
}

// Of more than 64 daemons, the same 64 were offered to all callers.
BOOST_AUTO_TEST_CASE(every_daemon_of_a_large_even_fleet_is_offered)
{
    auto const fleet = make_candidates("even", 118, 80);
    std::map<std::string, int> offers;
    for (std::uint64_t caller = 0; caller < 300; ++caller) {
        auto const offered = select_entries(fleet, caller, 64);
        BOOST_REQUIRE_EQUAL(offered.size(), 64U);
        for (auto const& address : offered) {
            ++offers[address];
        }
    }
    BOOST_TEST(offers.size() == fleet.size());
}

BOOST_AUTO_TEST_CASE(small_even_or_unknown_fleets_are_offered_whole)
{
    BOOST_TEST(select_entries(make_candidates("a", 34, 80), 1, 64).size() ==
               34U);
    BOOST_TEST(select_entries(make_candidates("a", 5, 0), 1, 64).size() == 5U);
    BOOST_TEST(select_entries({}, 1, 64).empty());
}

// A caller drops its connections to addresses that a new answer lacks.
BOOST_AUTO_TEST_CASE(a_caller_keeps_most_addresses_when_a_daemon_leaves)
{
    auto fleet = make_uneven_fleet();
    auto const before = select_entries(fleet, 7, 64);
    std::erase_if(fleet, [&](auto const& item) {
        return item.address == before.front();
    });
    auto const after = select_entries(fleet, 7, 64);
    auto const kept = std::ranges::count_if(before, [&](auto const& address) {
        return std::ranges::find(after, address) != after.end();
    });
    BOOST_TEST(kept + 2 >= static_cast<long>(before.size()));
}

// A daemon whose processor is at its limit must get fewer callers, and must get
// more again when it has recovered.
BOOST_AUTO_TEST_CASE(capacity_follows_the_lateness_of_the_event_loop)
{
    entry_capacity capacity{{0.5, 200}};
    auto const idle = capacity.requests_per_second();
    for (int tick = 0; tick < 50; ++tick) {
        capacity.on_tick(200ms);
    }
    BOOST_TEST(capacity.requests_per_second() < idle / 4);
    BOOST_TEST(capacity.requests_per_second() > 0);
    for (int tick = 0; tick < 100; ++tick) {
        capacity.on_tick(0ms);
    }
    BOOST_TEST(capacity.requests_per_second() > 0.9 * idle);
}

BOOST_AUTO_TEST_CASE(capacity_is_unknown_without_resources_or_from_old_daemons)
{
    BOOST_TEST(entry_capacity{{}}.requests_per_second() == 0);
    peer_update update;
    update.entry_capacity = 120;
    auto const decoded = decode_peer_update(encode(update));
    BOOST_REQUIRE(!failed(decoded));
    BOOST_TEST(value_of(decoded).entry_capacity == 120);
}

BOOST_AUTO_TEST_SUITE_END()
