// Tests whole gateways with backend servers that start again under their ids,
// with another version of their software, while their entries in the list are
// still those of the processes before.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace medlarstall;
using namespace std::chrono_literals;

namespace {

using platform_standins::behaviour;

constexpr int rounds = 8;

/// A fleet with two backend servers of one service. The entry of the second one
/// is that of a process that has ended.
struct restarted_fleet : gateway_fixture
{
    int sent = 0;

    explicit restarted_fleet(std::size_t daemons = 1) : gateway_fixture{2}
    {
        has_own_contexts = true;
        has_own_store_addresses = true;
        list_server(0, "ready", 2);
        list_server(1, "ready", 2);
        write_configuration(1);
        add_gateways(daemons);
        for (std::size_t at = 0; at < daemons; ++at) {
            BOOST_REQUIRE(wait_until_ready(at));
        }
        run_for(1500ms);
    }

    void script_all(std::vector<behaviour> const& what)
    {
        for (auto const& server : servers) {
            server->clear_script();
            for (auto const& item : what) {
                server->script(item);
            }
        }
    }

    std::string next_id() { return "stream-" + std::to_string(++sent); }

    /// \return version of the backend server that has begun an attempt
    std::string version_that_began(std::string const& attempt) const
    {
        for (auto const& server : servers) {
            for (auto const& run : server->runs()) {
                auto const* const id = run.head.headers.find("X-Attempt-Id");
                if (id != nullptr && *id == attempt &&
                    !run.head.headers.contains("Last-Event-Id")) {
                    return server->version();
                }
            }
        }
        return "";
    }

    /// Takes a stream up after its second event at a gateway.
    caller_answer take_up(std::size_t gateway, std::string const& attempt)
    {
        script_all({{behaviour::kind::answer, 4, 4}});
        auto const answer =
            send_with_fields(gateway, "POST", "/resume/x", next_id(),
                             {{"Last-Event-Id", "2"}, {"Resumes", attempt}});
        BOOST_TEST(run_until([&answer] { return answer->ended(); }));
        script_all({});
        return *answer;
    }
};

bool has_event(caller_answer const& answer, int number)
{
    return answer.body.find("event " + std::to_string(number)) !=
           std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(process_of_stream_suite)

// The successor was chosen by an entry whose process had ended.
BOOST_AUTO_TEST_CASE(an_answer_goes_on_at_a_restarted_server_of_another_version)
{
    restarted_fleet world;
    world.servers[1]->restart("v2");
    for (int round = 0; round < rounds; ++round) {
        world.script_all({{behaviour::kind::cut, 2, 4}});
        auto const answer =
            world.send_and_wait(0, "POST", "/resume/x", world.next_id());
        BOOST_TEST(has_event(answer, 2));
        BOOST_TEST(!has_event(answer, 3));
    }
}

// The origin was recorded by an entry whose process had ended.
BOOST_AUTO_TEST_CASE(
    a_stream_of_a_restarted_server_is_joined_to_its_old_version)
{
    restarted_fleet world{2};
    world.servers[1]->restart("v2");
    for (int round = 0; round < rounds; ++round) {
        auto const id = world.next_id();
        world.script_all({});
        world.servers[0]->script({behaviour::kind::turn_away});
        world.servers[1]->script({behaviour::kind::cut, 2});
        BOOST_TEST(world.send_and_wait(0, "POST", "/resume/x", id).broken);
        BOOST_TEST(world.version_that_began(id) == "v2");
        BOOST_TEST(!has_event(world.take_up(1, id), 3));
    }
}

BOOST_AUTO_TEST_SUITE_END()
