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

    /// Writes the next entry of the second server, as it does repeatedly, and
    /// waits until the gateways have read it.
    void write_next_entry()
    {
        list_server(1, "ready", 3);
        run_for(1000ms);
    }

    /// Begins a stream at the second server, which crashes at once. The first
    /// one can go on with it.
    caller_answer begin_and_crash(std::string const& id)
    {
        script_all({});
        auto const before = servers[1]->runs().size();
        servers[0]->script({behaviour::kind::turn_away});
        servers[1]->script({behaviour::kind::cut, 2});
        auto const answer = send(0, "POST", "/resume/x", id);
        BOOST_REQUIRE(
            run_until([&] { return servers[1]->runs().size() > before; }));
        servers[1]->crash();
        script_all({{behaviour::kind::answer, 4, 4}});
        BOOST_REQUIRE(run_until([&] { return answer->ended(); }));
        return *answer;
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

// A server that crashed before its process was identified could not be asked
// any more, and its streams were refused although one version was in service.
BOOST_AUTO_TEST_CASE(a_stream_is_lost_with_a_server_that_crashes_at_its_start)
{
    restarted_fleet world{2};
    world.write_next_entry();
    auto const id = world.next_id();
    auto const answer = world.begin_and_crash(id);
    auto const whole = answer.broken ? world.take_up(1, id) : answer;
    BOOST_TEST(has_event(whole, 3));
}

// The server was known to have started again when the stream began, but not
// with which version.
BOOST_AUTO_TEST_CASE(a_stream_of_a_restarted_server_that_crashes_is_joined)
{
    restarted_fleet world{2};
    world.write_next_entry();
    world.servers[1]->restart("v2");
    world.script_all({});
    world.servers[0]->script({behaviour::kind::turn_away});
    world.servers[1]->script({behaviour::kind::cut, 2});
    world.send_and_wait(0, "POST", "/resume/x", world.next_id());
    world.run_for(300ms);
    auto const id = world.next_id();
    BOOST_TEST(!has_event(world.begin_and_crash(id), 3));
    BOOST_TEST(!has_event(world.take_up(1, id), 3));
}

BOOST_AUTO_TEST_SUITE_END()
