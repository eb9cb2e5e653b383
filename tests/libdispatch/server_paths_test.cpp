// Tests how a daemon tells servers that are down from paths that are lost:
// single cases, and a fleet in virtual time with the truth as oracle.

#include <medlarstall/dispatch/server_paths.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr auto step = 20ms;
constexpr auto simulated_time = 60s;
/// A cut must be known after this time, and a healed path as well.
constexpr auto noticed_after = 3s;
/// A server that is down, or cut off, fails a request or probe after this time.
constexpr auto failure_delay = 700ms;
constexpr auto probe_interval = 1s;

/// What one simulation plays.
struct scenario
{
    std::size_t servers = 9;
    double requests_per_second = 4; ///< Of one daemon to the service.
    bool crashes = false;           ///< A fifth of the servers, now and then.
    bool silences = false;          ///< A sound server is silent for a second.
    bool cuts = false;              ///< The daemon loses all paths for 9 s.
    std::uint32_t seed = 1;
};

/// One daemon and the servers of a service.
class observed_service
{
public:
    explicit observed_service(scenario const& played)
        : played_{played}, random_{played.seed}, servers_(played.servers)
    {}

    void play()
    {
        for (now_ = start; now_ < start + simulated_time; now_ += step) {
            disrupt();
            send_requests();
            check_paths();
            settle();
        }
    }

    int asked_cut = 0;    ///< Requests while the paths were cut for long.
    int missed = 0;       ///< Of these, sent where nothing could arrive.
    int asked_sound = 0;  ///< Requests while no path was cut.
    int false_alarms = 0; ///< Of these, passed on to a peer.

private:
    struct server_state
    {
        time_point down_until;
        time_point silent_until;
        bool known_down = false;
        time_point probed_at;
    };
    struct pending
    {
        std::size_t server;
        time_point due;
        bool answered;
    };

    double draw() { return std::uniform_real_distribution<>{}(random_); }

    void disrupt()
    {
        auto const elapsed = (now_ - start) / step;
        auto const each = [&](auto span) {
            return elapsed > 0 && elapsed % (span / step) == 0;
        };
        for (auto& server : servers_) {
            if (played_.crashes && each(11s) && draw() < 0.2) {
                server.down_until = now_ + 2s;
            }
            if (played_.silences && each(7s) && draw() < 0.3) {
                server.silent_until = now_ + 1s;
            }
        }
        if (played_.cuts && each(20s)) {
            cut_from_ = now_;
            cut_until_ = now_ + 9s;
        }
    }

    bool is_cut() const { return now_ < cut_until_; }

    /// \return true if a server has been up for a second; if none is, peers
    ///     reach the service no better
    bool any_serves() const
    {
        return std::ranges::any_of(servers_, [this](auto const& server) {
            return now_ > server.down_until + 1s && now_ > server.silent_until;
        });
    }

    /// Counts a new request.
    /// \return true if it goes to a peer
    bool is_passed_on()
    {
        auto const lost = paths_.examine("s", now_).lost;
        if (is_cut() && now_ - cut_from_ > noticed_after) {
            ++asked_cut;
            missed += lost ? 0 : 1;
        } else if (!is_cut() && now_ - cut_until_ > noticed_after &&
                   any_serves()) {
            ++asked_sound;
            false_alarms += lost ? 1 : 0;
        }
        return lost;
    }

    void send_requests()
    {
        auto const expected = played_.requests_per_second *
                              std::chrono::duration<double>{step}.count();
        if (draw() < expected && !is_passed_on()) {
            send(static_cast<std::size_t>(
                draw() * 0.999 * static_cast<double>(servers_.size())));
        }
        for (std::size_t at = 0; at < servers_.size(); ++at) {
            auto& server = servers_[at];
            if (server.known_down && now_ - server.probed_at > probe_interval) {
                server.probed_at = now_;
                send(at);
            }
        }
    }

    /// Probes a server that has not failed, while the paths seem lost.
    void check_paths()
    {
        if (paths_.take_due_checks(now_).empty()) {
            return;
        }
        for (std::size_t tried = 0; tried < servers_.size(); ++tried) {
            auto const at = ++checks_ % servers_.size();
            if (!paths_.has_failed("s", std::to_string(at))) {
                send(at);
                return;
            }
        }
    }

    void send(std::size_t at)
    {
        auto const& server = servers_[at];
        if (is_cut() || now_ < server.down_until) {
            pending_.push_back({at, now_ + failure_delay, false});
        } else {
            auto const from = std::max(now_, server.silent_until);
            pending_.push_back({at, from + 40ms, true});
        }
    }

    void settle()
    {
        std::erase_if(pending_, [this](pending const& item) {
            if (now_ < item.due) {
                return false;
            }
            auto const arrives = item.answered && !is_cut();
            servers_[item.server].known_down = !arrives;
            if (arrives) {
                paths_.on_contact("s", now_);
            } else {
                paths_.on_failure("s", std::to_string(item.server), now_);
            }
            return true;
        });
    }

    scenario played_;
    std::mt19937 random_;
    time_point now_;
    server_paths paths_;
    std::size_t checks_ = 0;
    std::vector<server_state> servers_;
    std::vector<pending> pending_;
    time_point cut_from_;
    time_point cut_until_;
};

void check(scenario played)
{
    for (played.seed = 1; played.seed <= 12; ++played.seed) {
        BOOST_TEST_CONTEXT("servers " << played.servers << " rate "
                                      << played.requests_per_second << " seed "
                                      << played.seed)
        {
            observed_service service{played};
            service.play();
            // Two thirds are the target; a false alarm costs a detour.
            BOOST_TEST(service.missed * 3 <= service.asked_cut);
            BOOST_TEST(service.false_alarms * 20 <= service.asked_sound);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_paths_suite)

BOOST_AUTO_TEST_CASE(cuts_are_told_from_crashes)
{
    for (std::size_t const servers : {3, 9, 90, 326}) {
        for (double const rate : {4.0, 40.0}) {
            check({.servers = servers,
                   .requests_per_second = rate,
                   .cuts = true});
            check({.servers = servers,
                   .requests_per_second = rate,
                   .crashes = true,
                   .silences = true,
                   .cuts = true});
        }
    }
}

BOOST_AUTO_TEST_CASE(crashes_alone_are_no_lost_path)
{
    for (std::size_t const servers : {3, 9, 90}) {
        check({.servers = servers, .crashes = true, .silences = true});
    }
}

// One server that fails is taken to be down itself.
BOOST_AUTO_TEST_CASE(one_failed_server_is_no_lost_path)
{
    server_paths paths;
    paths.on_contact("s", start);
    paths.on_failure("s", "a", start);
    paths.on_failure("s", "a", start + 100ms);
    BOOST_TEST(!paths.examine("s", start + 100ms).lost);
    paths.on_failure("s", "b", start + 200ms);
    BOOST_TEST(paths.examine("s", start + 200ms).lost);
    paths.on_contact("s", start + 300ms);
    BOOST_TEST(!paths.examine("s", start + 300ms).lost);
}

// A cut seldom ends at one service.
BOOST_AUTO_TEST_CASE(a_second_service_needs_less_evidence)
{
    server_paths paths;
    paths.on_failure("s", "a", start);
    paths.on_failure("s", "b", start);
    BOOST_TEST(!paths.examine("t", start).lost);
    paths.on_failure("t", "c", start);
    BOOST_TEST(paths.examine("t", start).lost);
}

// Otherwise a daemon would pass everything on for ever, as nothing that it
// sends itself could show that the paths are back.
BOOST_AUTO_TEST_CASE(old_failures_are_forgotten)
{
    server_paths paths;
    paths.on_failure("s", "a", start);
    paths.on_failure("s", "b", start);
    BOOST_TEST(!paths.examine("s", start + 4s).lost);
    BOOST_TEST(paths.reached_services(start).empty());
}

BOOST_AUTO_TEST_SUITE_END()
