// Tests whole gateways with requests that share a part of their prompts which
// crashes each backend server that runs them.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace medlarstall;
using namespace std::chrono_literals;

namespace {

using std::chrono::steady_clock;

/// The daemons may need this long to be told of a crash.
constexpr auto told_margin = 3s;
/// A backend server that has crashed is back after this time, under a new id.
constexpr auto restart_time = 800ms;
constexpr std::size_t server_count = 6;

/// Gateways that know each other, and backend servers that crash on a part.
struct fleet_with_crashing_part : gateway_fixture
{
    std::vector<steady_clock::time_point> crashes;
    std::vector<std::string> restarted;
    int sent = 0;

    fleet_with_crashing_part() : gateway_fixture{server_count}
    {
        for (auto const& server : servers) {
            server->crash_on("bad");
        }
        write_configuration(1);
        add_gateways(3);
        for (std::size_t at = 0; at < gateways.size(); ++at) {
            BOOST_REQUIRE(wait_until_ready(at));
        }
        run_for(1500ms); // Until the daemons know each other.
    }

    /// Sends a request with three parts, the last of which is its own.
    std::shared_ptr<caller_answer> send_prompt(std::string const& first,
                                               std::string const& second)
    {
        auto const number = std::to_string(++sent);
        return send(static_cast<std::size_t>(sent) % gateways.size(), "POST",
                    "/safe/a", "prompt-" + number, "key-small", "180,20",
                    first + ":100," + second + ":50," + number + "f:30");
    }

    /// Lists a new backend server in place of each that has crashed.
    void replace_crashed()
    {
        auto const present = servers.size();
        for (std::size_t at = 0; at < present; ++at) {
            auto const crashed = servers[at]->crashed_at();
            auto const& id = servers[at]->id();
            if (!crashed || steady_clock::now() - *crashed < restart_time ||
                std::ranges::find(restarted, id) != restarted.end()) {
                continue;
            }
            restarted.push_back(id);
            store.put("keyed.servers", id, "");
            servers.push_back(
                std::make_unique<platform_standins::server_standin>(
                    context, "i-" + std::to_string(servers.size())));
            servers.back()->crash_on("bad");
            list_server(servers.size() - 1, "ready", 1);
        }
    }

    /// Sends bad and sound requests in turn, and replaces what crashes.
    /// \return number of sound requests that succeeded
    int play(std::chrono::milliseconds span)
    {
        constexpr auto interval = 60ms;
        std::vector<std::shared_ptr<caller_answer>> sound;
        auto const end = steady_clock::now() + span;
        while (steady_clock::now() < end) {
            std::ignore = send_prompt("a1", "bad");
            sound.push_back(send_prompt("a1", "b" + std::to_string(sent % 3)));
            run_for(interval);
            replace_crashed();
        }
        return static_cast<int>(
            std::ranges::count_if(sound, [](auto const& answer) {
                return answer->complete && answer->status == 200;
            }));
    }

    /// \return times of all crashes, in order
    std::vector<steady_clock::time_point> crash_times() const
    {
        std::vector<steady_clock::time_point> times;
        for (auto const& server : servers) {
            if (auto const crashed = server->crashed_at()) {
                times.push_back(*crashed);
            }
        }
        std::ranges::sort(times);
        return times;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_part_suite)

// No two of the requests were alike, so that each was taken for a new one.
BOOST_AUTO_TEST_CASE(requests_that_share_a_part_crash_server_after_server)
{
    constexpr std::size_t noticed_crashes = 5;
    constexpr std::ptrdiff_t allowed_later = 3;
    fleet_with_crashing_part world;
    BOOST_TEST(world.play(7s) > 0);
    auto const crashes = world.crash_times();
    BOOST_REQUIRE(!crashes.empty());
    auto const last_excused =
        crashes[std::min(noticed_crashes, crashes.size()) - 1] + told_margin;
    auto const later =
        crashes.end() - std::ranges::upper_bound(crashes, last_excused);
    BOOST_TEST(later <= allowed_later);
    BOOST_TEST(crashes.size() <= noticed_crashes + 2);
}

BOOST_AUTO_TEST_SUITE_END()
