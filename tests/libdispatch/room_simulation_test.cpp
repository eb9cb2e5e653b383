// Simulates fleets of daemons with backend servers that crash if they have to
// reject many requests, and counts the crashes.

#include "room_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

using namespace medlarstall::dispatch::room_simulation;

namespace {

std::vector<scenario> fleets()
{
    std::vector<scenario> found;
    for (auto const& [daemons, servers] :
         {std::pair<std::size_t, std::size_t>{1, 5}, {6, 10}, {30, 30}}) {
        for (std::uint32_t const slots : {4U, 24U, 64U}) {
            for (double const rejections : {2.0, 10.0}) {
                for (double const load : {0.8, 1.2, 2.0}) {
                    scenario played;
                    played.daemons = daemons;
                    played.servers = servers;
                    played.slots = slots;
                    played.rejections = rejections;
                    played.load = load;
                    played.work = 50ms * static_cast<int>(slots);
                    found.push_back(played);
                }
            }
        }
    }
    return found;
}

/// Plays a scenario, and checks that no more servers crash than are allowed.
/// \return share of the requests that were served
double check(scenario const& played, char const* name)
{
    simulated_fleet world{played};
    world.run();
    auto const allowed = 2 + played.servers / 10;
    BOOST_TEST_CONTEXT(name << ", " << played.daemons << " daemons, "
                            << played.slots << " slots, survive "
                            << played.rejections << ", load " << played.load
                            << ", served " << world.served_share())
    BOOST_TEST(world.crashes() <= allowed);
    return world.served_share();
}

} // namespace

BOOST_AUTO_TEST_SUITE(room_simulation_suite)

// Nobody kept the sends of all daemons to what a server had room for, and each
// crash moved its load to the others.
BOOST_AUTO_TEST_CASE(servers_crash_as_they_reject_too_many)
{
    for (auto const& played : fleets()) {
        check(played, "calm");
    }
}

BOOST_AUTO_TEST_CASE(servers_crash_beside_disturbed_daemons)
{
    for (auto played : fleets()) {
        played.uneven = true;
        check(played, "uneven");
        played.uneven = false;
        played.lost_updates = true;
        check(played, "lost updates");
        played.lost_updates = false;
        played.restarts = true;
        check(played, "restarts");
    }
}

// Shows that the simulation plays the fault: daemons that are told nothing.
BOOST_AUTO_TEST_CASE(daemons_that_know_no_limit_let_servers_crash)
{
    scenario played;
    simulated_fleet told{played};
    told.run();
    played.states_limit = false;
    simulated_fleet world{played};
    world.run();
    BOOST_TEST(world.crashes() > 2 + played.servers / 10);
    BOOST_TEST(world.served_share() < told.served_share());
    BOOST_TEST_MESSAGE(told.crashes()
                       << " crashes, served " << told.served_share()
                       << "; not told " << world.crashes() << ", "
                       << world.served_share());
}

// Many daemons with few servers, most of whose slots are free.
BOOST_AUTO_TEST_CASE(requests_are_held_back_although_slots_are_free)
{
    constexpr double least_served = 0.97;
    scenario played;
    played.daemons = 40;
    played.servers = 3;
    played.slots = 6;
    played.work = 15ms;
    played.load = 0.15;
    BOOST_TEST(check(played, "few requests") >= least_served);
}

BOOST_AUTO_TEST_SUITE_END()
