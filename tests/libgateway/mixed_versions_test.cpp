// Tests whole gateways with backend servers of two software versions in one
// service. What two versions write does not fit together in one stream.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>

using namespace medlarstall;
using namespace std::chrono_literals;

namespace {

using platform_standins::behaviour;

/// Time in which a daemon has written what it must not forget.
constexpr auto recorded_after = 1500ms;

/// A fleet whose backend servers "i-0", "i-1" and so on run the given versions.
struct mixed_fleet : gateway_fixture
{
    int sent = 0;

    explicit mixed_fleet(std::vector<std::string> const& versions,
                         std::size_t daemons = 1)
        : gateway_fixture{versions.size()}
    {
        has_own_contexts = true;
        has_own_store_addresses = true;
        for (std::size_t at = 0; at < versions.size(); ++at) {
            servers[at]->run_version(versions[at]);
            list_server(at, "ready", 2);
        }
        write_configuration(1);
        start(daemons);
    }

    void start(std::size_t daemons)
    {
        add_gateways(daemons);
        for (std::size_t at = 0; at < daemons; ++at) {
            BOOST_REQUIRE(wait_until_ready(at));
        }
        run_for(recorded_after);
    }

    /// Ends all daemons at once and starts as many new ones.
    void restart()
    {
        auto const daemons = gateways.size();
        kill_gateways();
        first_start = false;
        start(daemons);
    }

    /// Starts a stream that breaks off after two events and is not continued
    /// within the answer.
    /// \return id of the attempt
    std::string begin_stream(std::size_t gateway = 0)
    {
        auto const id = "begun-" + std::to_string(++sent);
        behaviour const cut{behaviour::kind::cut, 2};
        for (auto const& server : servers) {
            server->script(cut);
            server->script(cut);
        }
        auto const answer = send_and_wait(gateway, "POST", "/resume/x", id);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.broken);
        for (auto const& server : servers) {
            server->clear_script();
        }
        return id;
    }

    /// Begins streams that break off until some have begun at a version.
    /// \return ids of their attempts
    std::vector<std::string> begin_streams_of(std::string const& version,
                                              std::size_t count,
                                              std::size_t gateway = 0)
    {
        constexpr int max_tries = 60;
        std::vector<std::string> begun;
        for (int tried = 0; tried < max_tries && begun.size() < count;
             ++tried) {
            auto const id = begin_stream(gateway);
            if (version_of(id) == version) {
                begun.push_back(id);
            }
        }
        BOOST_REQUIRE(begun.size() == count);
        return begun;
    }

    /// Starts and lists another backend server.
    void add_server(std::string const& version)
    {
        auto const at = servers.size();
        servers.push_back(std::make_unique<platform_standins::server_standin>(
            context, "i-" + std::to_string(at)));
        servers.back()->run_version(version);
        list_server(at, "ready", 1);
    }

    /// Starts to take a stream up after its second event.
    std::shared_ptr<caller_answer> start_take_up(std::size_t gateway,
                                                 std::string const& attempt)
    {
        for (auto const& server : servers) {
            server->script({behaviour::kind::answer, 4, 4});
        }
        auto const id = "taken-up-" + std::to_string(++sent);
        return send_with_fields(gateway, "POST", "/resume/x", id,
                                {{"Last-Event-Id", "2"}, {"Resumes", attempt}});
    }

    /// Takes a stream up after its second event.
    caller_answer take_up(std::size_t gateway, std::string const& attempt)
    {
        auto const answer = start_take_up(gateway, attempt);
        BOOST_TEST(run_until([&answer] { return answer->ended(); }));
        for (auto const& server : servers) {
            server->clear_script();
        }
        return *answer;
    }

    /// \return version that began to run an attempt; empty if none did
    std::string version_of(std::string const& attempt) const
    {
        for (auto const& server : servers) {
            for (auto const& run : server->runs()) {
                auto const* const id = run.head.headers.find("X-Attempt-Id");
                if (id != nullptr && *id == attempt) {
                    return server->version();
                }
            }
        }
        return "";
    }

    std::string last_sent() const { return "taken-up-" + std::to_string(sent); }

    void remove_servers(std::string const& version)
    {
        for (std::size_t at = 0; at < servers.size(); ++at) {
            if (servers[at]->version() == version) {
                store.put("keyed.servers", servers[at]->id(), std::nullopt);
            }
        }
        run_for(recorded_after);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(mixed_versions_suite)

// A daemon went on within an answer at whatever backend server it chose.
BOOST_AUTO_TEST_CASE(an_answer_is_joined_from_two_versions)
{
    mixed_fleet world{{"v1", "v2"}};
    for (int round = 0; round < 6; ++round) {
        for (auto const& server : world.servers) {
            server->script({behaviour::kind::cut, 2, 4});
        }
        auto const answer = world.send_and_wait(
            0, "POST", "/resume/x", "joined-" + std::to_string(round));
        BOOST_TEST(answer.broken);
        BOOST_TEST(answer.body.find("event 3") == std::string::npos);
        for (auto const& server : world.servers) {
            server->clear_script();
        }
    }
}

// The rule must not cost the streams that another server can continue.
BOOST_AUTO_TEST_CASE(an_answer_goes_on_at_another_server_of_its_version)
{
    mixed_fleet world{{"v1", "v1", "v2", "v2"}};
    for (int round = 0; round < 4; ++round) {
        for (auto const& server : world.servers) {
            server->script({behaviour::kind::cut, 2, 4});
            server->script({behaviour::kind::cut, 2, 4});
        }
        auto const id = "went-on-" + std::to_string(round);
        auto const answer = world.send_and_wait(0, "POST", "/resume/x", id);
        BOOST_TEST(answer.complete);
        BOOST_TEST(answer.body.find("event 4") != std::string::npos);
        std::string version;
        for (auto const& server : world.servers) {
            server->clear_script();
            for (auto const& run : server->runs()) {
                if (*run.head.headers.find("X-Attempt-Id") != id) {
                    continue;
                }
                BOOST_TEST((version.empty() || version == server->version()));
                version = server->version();
            }
        }
    }
}

// A stream that its caller took up again was sent to whatever was free.
BOOST_AUTO_TEST_CASE(a_stream_is_taken_up_at_another_version)
{
    mixed_fleet world{{"v1", "v1", "v2", "v2"}, 2};
    for (int round = 0; round < 8; ++round) {
        auto const begun = world.begin_stream(0);
        auto const answer = world.take_up(1, begun);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(world.version_of(world.last_sent()) ==
                   world.version_of(begun));
    }
}

// After all daemons were killed, nobody knew any more what had begun where.
BOOST_AUTO_TEST_CASE(streams_are_joined_after_all_daemons_were_killed)
{
    mixed_fleet world{{"v1", "v1", "v2", "v2"}, 2};
    constexpr std::size_t streams = 8;
    std::vector<std::string> begun;
    begun.reserve(streams);
    for (std::size_t round = 0; round < streams; ++round) {
        begun.push_back(world.begin_stream(round % 2));
    }
    world.run_for(recorded_after);
    world.restart();
    for (auto const& stream : begun) {
        auto const answer = world.take_up(0, stream);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(world.version_of(world.last_sent()) ==
                   world.version_of(stream));
    }
}

// "Only one version is listed now" was taken for "only one has served".
BOOST_AUTO_TEST_CASE(a_stream_is_joined_as_its_version_has_just_left)
{
    mixed_fleet world{{"v1", "v1"}, 2};
    constexpr std::size_t streams = 3;
    std::vector<std::string> begun;
    begun.reserve(streams);
    for (std::size_t round = 0; round < streams; ++round) {
        begun.push_back(world.begin_stream());
    }
    world.add_server("v2");
    world.add_server("v2");
    world.run_for(recorded_after);
    world.remove_servers("v1");
    auto const refused_everywhere = [&] {
        for (std::size_t gateway = 0; gateway < 2; ++gateway) {
            for (auto const& stream : begun) {
                auto const answer = world.take_up(gateway, stream);
                BOOST_TEST(answer.status == 503);
                BOOST_TEST(world.version_of(world.last_sent()).empty());
            }
        }
    };
    refused_everywhere();
    world.restart();
    refused_everywhere();
}

// With one version in service nothing is refused, not even after a kill.
BOOST_AUTO_TEST_CASE(a_stream_of_the_only_version_is_taken_up)
{
    mixed_fleet world{{"v1", "v1", "v1"}, 2};
    auto const begun = world.begin_stream(0);
    BOOST_TEST(world.take_up(1, begun).status == 200);
    world.restart();
    BOOST_TEST(world.take_up(0, begun).status == 200);
    BOOST_TEST(world.take_up(1, "unheard-of").status == 200);
}

// An unknown stream is refused, not guessed, while two versions serve.
BOOST_AUTO_TEST_CASE(an_unknown_stream_is_sent_to_any_version)
{
    mixed_fleet world{{"v1", "v2"}};
    for (int round = 0; round < 3; ++round) {
        auto const answer = world.take_up(0, "unheard-of");
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(world.version_of(world.last_sent()).empty());
    }
}

/// Freezes a daemon while another one starts and a version joins, and lets
/// callers take streams of that version up there as it wakes.
/// \param store_answers whether the store answers the daemon that wakes
/// \param expected_status status of the answers
void check_woken_daemon(bool store_answers, int expected_status)
{
    mixed_fleet world{{"v1", "v1"}, 1};
    // After a record the next read begins a little later.
    world.list_server(0, "ready", 3);
    world.run_for(100ms);
    world.frozen.insert(0);
    world.add_gateway();
    BOOST_REQUIRE(world.wait_until_ready(1));
    world.add_server("v2");
    world.run_for(recorded_after);
    std::map<std::string, std::shared_ptr<caller_answer>> taken_up;
    for (auto const& begun : world.begin_streams_of("v2", 4, 1)) {
        auto const answer = world.start_take_up(0, begun);
        taken_up.emplace(world.last_sent(), answer);
    }
    world.run_for(100ms);
    if (!store_answers) {
        world.store.silence(world.store_addresses[0]);
    }
    world.frozen.clear();
    for (auto const& [id, answer] : taken_up) {
        BOOST_TEST(world.run_until([&answer] { return answer->ended(); }));
        BOOST_TEST(answer->status == expected_status);
        BOOST_TEST(world.version_of(id) != "v1");
    }
}

// A daemon that wakes took the list of before its suspension for the current
// one, and continued a version that had joined meanwhile at another.
BOOST_AUTO_TEST_CASE(a_woken_daemon_joins_a_version_that_it_has_not_seen)
{
    check_woken_daemon(false, 503);
}

// The streams that a woken daemon can know of must not be lost.
BOOST_AUTO_TEST_CASE(a_woken_daemon_continues_what_the_store_knows)
{
    check_woken_daemon(true, 200);
}

/// Longer than a daemon waits for the answer to a long poll.
constexpr auto store_missed_after = 4s;

// A daemon that is cut off from the store and knows of no other daemon took its
// old list for current, and continued a version that had joined at another.
BOOST_AUTO_TEST_CASE(a_daemon_without_members_takes_an_old_list_for_current)
{
    mixed_fleet world{{"v1", "v1"}, 1};
    world.store.silence(world.store_addresses[0]);
    world.run_for(store_missed_after);
    world.add_gateway();
    BOOST_REQUIRE(world.wait_until_ready(1));
    world.add_server("v2");
    world.run_for(recorded_after);
    for (auto const& begun : world.begin_streams_of("v2", 4, 1)) {
        auto const before = std::chrono::steady_clock::now();
        auto const answer = world.take_up(0, begun);
        auto const took = std::chrono::steady_clock::now() - before;
        BOOST_TEST(answer.status == 503);
        BOOST_TEST((took < 500ms)); // Waiting for the store serves nobody.
        BOOST_TEST(world.version_of(world.last_sent()).empty());
    }
}

// A version that came and went while a daemon was cut off is not in the list
// that the daemon gets from a peer afterwards.
BOOST_AUTO_TEST_CASE(a_daemon_is_not_told_of_a_version_that_came_and_went)
{
    mixed_fleet world{{"v1", "v1"}, 2};
    world.store.silence(world.store_addresses[1]);
    world.frozen.insert(1);
    world.add_server("v2");
    world.run_for(recorded_after);
    auto const begun = world.begin_streams_of("v2", 3);
    world.remove_servers("v2");
    world.frozen.clear();
    world.run_for(1s); // The daemon gets the list from its peer.
    world.store.answer_again(world.store_addresses[1]);
    world.run_for(store_missed_after);
    for (auto const& stream : begun) {
        std::ignore = world.take_up(1, stream);
        BOOST_TEST(world.version_of(world.last_sent()) != "v1");
    }
}

BOOST_AUTO_TEST_SUITE_END()
