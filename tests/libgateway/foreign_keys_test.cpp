// Tests daemons whose store holds records of other writers, under keys that
// must be escaped in a query.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace medlarstall;
using namespace std::chrono_literals;

namespace {

/// Keys that differ from what a query without escaping says of them.
std::vector<std::string> const foreign_keys{
    "a01",   "a02%41", "a02%zz", "a03&part=7", "a05+",
    "a06 b", "a07#c",  "a08%",   "a09\xc3\xbc"};

/// A store with one record in each page, among them those of another writer.
struct foreign_records : gateway_fixture
{
    foreign_records() : gateway_fixture{2}
    {
        write_configuration(1);
        store.set_page_size(1);
        for (auto const& key : foreign_keys) {
            store.put("keyed.op", key, "{}");
            store.put("keyed.servers", key, "{}");
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(foreign_keys_suite)

// A page was asked for after a key that was not escaped, so that the same page
// came again, without end.
BOOST_AUTO_TEST_CASE(a_daemon_is_not_ready_beside_keys_of_other_writers)
{
    foreign_records world;
    world.add_gateways(4);
    for (std::size_t at = 0; at < 4; ++at) {
        BOOST_TEST(world.wait_until_ready(at));
    }
    BOOST_TEST(world.send_and_wait(0, "POST", "/once/a", "x").status == 200);
}

// A read that did not move forward was repeated without end and without a
// pause.
BOOST_AUTO_TEST_CASE(a_page_that_comes_again_uses_up_the_calls_of_the_store)
{
    constexpr std::size_t max_calls = 200; // In 2 s, of 2,000 a second.
    foreign_records world;
    world.store.repeat_first_page();
    world.add_gateways(1);
    world.run_for(2s);
    BOOST_TEST(world.store.calls() <= max_calls);
}

BOOST_AUTO_TEST_SUITE_END()
