// Tests what daemons conclude from what they tell each other of servers: single
// cases, and replays of a fleet in which many servers crash at once, with the
// truth as oracle.

#include <medlarstall/dispatch/server_paths.hpp>
#include <medlarstall/dispatch/server_reports.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr auto step = 5ms;
constexpr auto crash_from = start + 1s;
constexpr auto crash_until = start + 3s;
constexpr auto replay_end = start + 5s;
constexpr auto answer_time = 20ms;
constexpr auto update_interval = 200ms;
constexpr std::size_t servers = 140;
/// Requests of all daemons a second.
constexpr double fleet_rate = 1400;

/// What one replay plays.
struct replayed_crash
{
    std::size_t daemons = 88;
    double crashed_share = 1.0 / 3;
    std::size_t cut_daemons = 0; ///< Lose all paths while the servers are down.
    std::uint32_t seed = 1;
};

/// One daemon as far as it chooses servers and tells of them.
struct observer
{
    server_paths paths;
    std::vector<server_reports> reports{servers};
    std::vector<bool> down = std::vector<bool>(servers);
    std::vector<time_point> next_probe{servers};
    time_point next_update;
    bool urgent = false;
    bool told_reach = false; ///< It has told that it reaches the service.
    std::size_t checks = 0;
};

/// A fleet whose daemons all hear each other, with a loss of 2%.
class replayed_fleet
{
public:
    explicit replayed_fleet(replayed_crash const& played)
        : played_{played}, random_{played.seed}, fleet_(played.daemons)
    {
        for (auto& daemon : fleet_) {
            daemon.next_update = start + draw_below(200) * 1ms;
        }
    }

    void play()
    {
        for (now_ = start; now_ < replay_end; now_ += step) {
            deliver_answers();
            for (std::size_t at = 0; at < fleet_.size(); ++at) {
                update(at);
                probe(at);
                check_paths(at);
                send_requests(at);
            }
        }
    }

    std::size_t requests = 0;      ///< During the crash, at daemons with paths.
    std::size_t forwarded = 0;     ///< Of these.
    std::size_t refused = 0;       ///< Connections for these that were refused.
    std::size_t unserved = 0;      ///< Of these, refused too often.
    std::size_t cut_requests = 0;  ///< At cut daemons, half a second after.
    std::size_t cut_forwarded = 0; ///< Of these.
    std::size_t late_unused = 0;   ///< Servers unused 1 s after the crash.

private:
    struct answer
    {
        time_point due;
        std::size_t daemon;
        std::size_t server;
    };

    double draw() { return std::uniform_real_distribution<>{}(random_); }
    std::size_t draw_below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>{0,
                                                          bound - 1}(random_);
    }
    bool in_crash() const { return now_ >= crash_from && now_ < crash_until; }
    bool is_cut(std::size_t at) const
    {
        return in_crash() && at < played_.cut_daemons;
    }
    bool is_reached(std::size_t at, std::size_t server) const
    {
        auto const crashed =
            static_cast<double>(server) < played_.crashed_share * servers;
        return !(in_crash() && crashed) && !is_cut(at);
    }

    void deliver_answers()
    {
        std::erase_if(answers_, [this](answer const& item) {
            if (item.due > now_) {
                return false;
            }
            if (is_reached(item.daemon, item.server)) {
                auto& daemon = fleet_[item.daemon];
                daemon.paths.on_contact("s", now_);
                if (!daemon.reports[item.server].empty()) {
                    daemon.reports[item.server].on_answer(0, now_);
                }
            }
            return true;
        });
    }

    void note_refused(observer& daemon, std::size_t server)
    {
        auto& reports = daemon.reports[server];
        daemon.urgent |= !reports.own_report(now_) && !reports.is_doubted(now_);
        reports.on_failure(0, report_kind::refused, now_);
        daemon.paths.on_failure("s", std::to_string(server), now_);
        daemon.down[server] = true;
        daemon.next_probe[server] =
            std::max(daemon.next_probe[server], now_ + 250ms);
    }

    /// Sends updates and takes in what the others have told.
    void update(std::size_t at)
    {
        auto& daemon = fleet_[at];
        auto const tick = (now_ - start) % 100ms == duration{0};
        if (tick) {
            note_failed_elsewhere(daemon);
        }
        if (now_ < daemon.next_update && !(tick && daemon.urgent)) {
            return;
        }
        daemon.next_update = now_ + update_interval;
        daemon.urgent = false;
        daemon.told_reach = !daemon.paths.reached_services(now_).empty();
        auto const lost = daemon.paths.examine("s", now_).lost;
        for (std::size_t server = 0; server < servers; ++server) {
            auto const told = daemon.reports[server].own_report(now_);
            if (told && !(lost && told->kind != report_kind::back)) {
                tell(at, server, *told);
            }
        }
    }

    void tell(std::size_t from, std::size_t server, server_report const& told)
    {
        for (std::size_t at = 0; at < fleet_.size(); ++at) {
            if (at == from || draw() < 0.02) {
                continue;
            }
            auto& daemon = fleet_[at];
            auto& reports = daemon.reports[server];
            if (told.kind != report_kind::back) {
                reports.on_failure(from + 1, told.kind, now_ - told.age);
                continue;
            }
            reports.on_answer(from + 1, now_ - told.age);
            if (daemon.down[server] && reports.take_return(now_)) {
                daemon.down[server] = false;
            }
        }
    }

    void note_failed_elsewhere(observer& daemon) const
    {
        std::vector<std::string> failed;
        for (std::size_t server = 0; server < servers; ++server) {
            if (daemon.reports[server].failed_elsewhere(now_)) {
                failed.push_back(std::to_string(server));
            }
        }
        std::ranges::sort(failed);
        daemon.paths.set_failed_elsewhere("s", failed, servers);
    }

    /// Checks paths that are taken for lost, by a server that has not failed.
    void check_paths(std::size_t at)
    {
        auto& daemon = fleet_[at];
        if (daemon.paths.take_due_checks(now_).empty()) {
            return;
        }
        for (std::size_t tried = 0; tried < servers; ++tried) {
            auto const server = (++daemon.checks * 37) % servers;
            if (daemon.paths.has_failed("s", std::to_string(server))) {
                continue;
            }
            if (is_reached(at, server)) {
                daemon.paths.on_contact("s", now_);
            } else {
                daemon.paths.on_failure("s", std::to_string(server), now_);
            }
            return;
        }
    }

    void probe(std::size_t at)
    {
        auto& daemon = fleet_[at];
        for (std::size_t server = 0; server < servers; ++server) {
            if (!daemon.down[server] || now_ < daemon.next_probe[server]) {
                continue;
            }
            daemon.next_probe[server] = now_ + 500ms;
            if (is_reached(at, server)) {
                daemon.down[server] = false;
                daemon.reports[server].on_answer(0, now_);
                daemon.paths.on_contact("s", now_);
            } else {
                note_refused(daemon, server);
            }
        }
    }

    void send_requests(std::size_t at)
    {
        auto const expected = fleet_rate /
                              static_cast<double>(played_.daemons) *
                              std::chrono::duration<double>{step}.count();
        auto const count = std::poisson_distribution<int>{expected}(random_);
        for (int sent = 0; sent < count; ++sent) {
            send_request(at);
        }
        auto const& daemon = fleet_[at];
        if (now_ == crash_until + 1s) {
            for (std::size_t server = 0; server < servers; ++server) {
                late_unused += is_last(daemon, server) ? 1 : 0;
            }
        }
    }

    bool is_last(observer const& daemon, std::size_t server) const
    {
        return daemon.down[server] || daemon.reports[server].is_doubted(now_);
    }

    /// \return true if another daemon has told that it reaches the service
    bool has_helper(std::size_t at) const
    {
        for (std::size_t other = 0; other < fleet_.size(); ++other) {
            if (other != at && fleet_[other].told_reach) {
                return true;
            }
        }
        return false;
    }

    std::optional<std::size_t> choose(observer const& daemon,
                                      std::vector<std::size_t> const& tried)
    {
        for (auto const last : {false, true}) {
            std::vector<std::size_t> open;
            for (std::size_t server = 0; server < servers; ++server) {
                if (is_last(daemon, server) == last &&
                    std::ranges::find(tried, server) == tried.end()) {
                    open.push_back(server);
                }
            }
            if (!open.empty()) {
                return open[draw_below(open.size())];
            }
        }
        return std::nullopt;
    }

    /// Sends a request as the gateway does: refused connections are followed
    /// by the next server at once.
    void send_request(std::size_t at)
    {
        constexpr std::uint32_t max_refused = 16;
        auto& daemon = fleet_[at];
        auto const counted = in_crash() && at >= played_.cut_daemons;
        auto const cut = is_cut(at) && now_ > crash_from + 500ms;
        requests += counted ? 1 : 0;
        cut_requests += cut ? 1 : 0;
        std::vector<std::size_t> tried;
        for (connection_failures failures; failures.refused < max_refused;) {
            auto const evidence = daemon.paths.examine("s", now_);
            if (has_helper(at) &&
                daemon.paths.reason_to_forward(evidence, failures) != nullptr) {
                forwarded += counted ? 1 : 0;
                cut_forwarded += cut ? 1 : 0;
                return;
            }
            auto const server = choose(daemon, tried);
            if (!server) {
                break;
            }
            if (is_reached(at, *server)) {
                answers_.push_back({now_ + answer_time, at, *server});
                return;
            }
            tried.push_back(*server);
            ++failures.refused;
            refused += counted ? 1 : 0;
            note_refused(daemon, *server);
        }
        unserved += counted ? 1 : 0;
    }

    replayed_crash played_;
    std::mt19937 random_;
    time_point now_;
    std::vector<observer> fleet_;
    std::vector<answer> answers_;
};

/// Plays a crash and prints what was counted.
replayed_fleet play(replayed_crash const& played)
{
    replayed_fleet fleet{played};
    fleet.play();
    BOOST_TEST_MESSAGE("daemons "
                       << played.daemons << " crashed " << played.crashed_share
                       << " cut " << played.cut_daemons << ": requests "
                       << fleet.requests << " forwarded " << fleet.forwarded
                       << " refused " << fleet.refused << " unserved "
                       << fleet.unserved << " cut requests "
                       << fleet.cut_requests << " cut forwarded "
                       << fleet.cut_forwarded << " late " << fleet.late_unused);
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_reports_suite)

// One request in eight was forwarded, and each daemon found each server down by
// itself: 1,963 connections of 88 daemons to 53 servers were refused.
BOOST_AUTO_TEST_CASE(many_crashed_servers_are_taken_for_lost_paths)
{
    for (std::size_t const daemons : {4, 88, 350}) {
        for (double const share : {0.1, 1.0 / 3}) {
            auto const fleet = play({daemons, share, 0});
            auto const crashed = static_cast<std::size_t>(share * servers) + 1;
            BOOST_TEST(fleet.forwarded * 100 <= fleet.requests);
            BOOST_TEST(fleet.refused <= 4 * crashed);
            BOOST_TEST(fleet.unserved == 0U);
            BOOST_TEST(fleet.late_unused == 0U);
        }
    }
}

// With nine tenths down, a run of failures is likely whatever is known. Nobody
// may be refused for long, and nearly all requests stay where they are.
BOOST_AUTO_TEST_CASE(nine_tenths_of_the_servers_crash_and_requests_wander)
{
    for (std::size_t const daemons : {4, 88, 350}) {
        auto const fleet = play({daemons, 0.9, 0});
        BOOST_TEST(fleet.forwarded * 20 <= fleet.requests);
        BOOST_TEST(fleet.unserved * 100 <= fleet.requests);
        BOOST_TEST(fleet.refused * 2 <= fleet.requests);
        BOOST_TEST(fleet.late_unused == 0U);
    }
}

// A daemon that has lost its paths beside a crash still finds helpers, and what
// it sees does not mislead the others.
BOOST_AUTO_TEST_CASE(lost_paths_are_hidden_by_a_crash_beside_them)
{
    for (std::size_t const daemons : {4, 88, 350}) {
        for (double const share : {0.0, 0.1, 1.0 / 3, 0.9}) {
            for (std::size_t const cut : {1, 2}) {
                auto const fleet = play({daemons, share, cut});
                BOOST_TEST(fleet.cut_forwarded * 10 >= fleet.cut_requests * 9);
                auto const divisor = share < 0.5 ? 100U : 8U;
                BOOST_TEST(fleet.forwarded * divisor <= fleet.requests);
                BOOST_TEST(fleet.late_unused == 0U);
            }
        }
    }
}

// A daemon alone may have lost its path, and an answer outweighs failures.
BOOST_AUTO_TEST_CASE(one_daemon_makes_the_others_avoid_a_server)
{
    server_reports reports;
    reports.on_failure(1, report_kind::refused, start);
    BOOST_TEST(!reports.is_doubted(start));
    BOOST_TEST(reports.failed_elsewhere(start));
    reports.on_failure(2, report_kind::refused, start + 10ms);
    BOOST_TEST(reports.is_doubted(start + 10ms));
    BOOST_TEST(!reports.is_doubted(start + 3100ms)); // Nobody repeats it.
    reports.on_answer(3, start + 20ms);
    BOOST_TEST(!reports.is_doubted(start + 20ms));
    reports.on_failure(1, report_kind::refused, start + 5ms); // Heard late.
    reports.on_failure(2, report_kind::refused, start + 5ms);
    BOOST_TEST(!reports.is_doubted(start + 1100ms));
    // Two daemons whose paths are lost do not outweigh one that is answered.
    reports.on_failure(1, report_kind::silent, start + 500ms);
    reports.on_failure(2, report_kind::silent, start + 500ms);
    BOOST_TEST(!reports.is_doubted(start + 600ms));
}

// A server that is back was not used until each daemon had probed it.
BOOST_AUTO_TEST_CASE(a_server_that_is_back_is_not_used)
{
    server_reports reports;
    reports.on_failure(0, report_kind::refused, start);
    BOOST_TEST(!reports.take_return(start));
    reports.on_answer(1, start + 400ms);
    BOOST_TEST(reports.take_return(start + 450ms));
    // The path of this daemon may be lost: it is not tried for ever.
    reports.on_failure(0, report_kind::refused, start + 460ms);
    reports.on_answer(1, start + 500ms);
    BOOST_TEST(!reports.take_return(start + 500ms));
    server_reports silent;
    silent.on_failure(0, report_kind::silent, start);
    silent.on_answer(1, start + 400ms);
    BOOST_TEST(!silent.take_return(start + 450ms));
}

// What a daemon tells is the newest that it has observed, for a bounded time.
BOOST_AUTO_TEST_CASE(old_or_foreign_observations_are_told)
{
    server_reports reports;
    BOOST_TEST(!reports.own_report(start));
    reports.on_failure(1, report_kind::refused, start);
    BOOST_TEST(!reports.own_report(start));
    reports.on_failure(0, report_kind::refused, start + 1s);
    reports.on_failure(0, report_kind::silent, start + 2s); // By a probe.
    BOOST_TEST(
        (reports.own_report(start + 2100ms)->kind == report_kind::refused));
    BOOST_TEST((reports.own_report(start + 2100ms)->age == 100ms));
    reports.on_answer(0, start + 3s);
    BOOST_TEST((reports.own_report(start + 3s)->kind == report_kind::back));
    BOOST_TEST(!reports.own_report(start + 6100ms));
}

// One request in eight met two refusals in a row 5 to 20 ms after a contact.
BOOST_AUTO_TEST_CASE(failures_that_are_likely_are_taken_for_lost_paths)
{
    server_paths paths;
    paths.on_contact("s", start);
    paths.on_failure("s", "a", start + 20ms);
    paths.on_failure("s", "b", start + 20ms);
    BOOST_TEST(!paths.examine("s", start + 20ms).lost);
    BOOST_TEST(paths.examine("s", start + 170ms).lost);
    // What others cannot reach either is no evidence.
    paths.set_failed_elsewhere("s", {"a", "b"}, 6);
    BOOST_TEST(!paths.examine("s", start + 170ms).lost);
    paths.on_failure("s", "c", start + 140ms);
    paths.on_failure("s", "d", start + 140ms);
    BOOST_TEST(!paths.examine("s", start + 170ms).lost);
    paths.on_failure("s", "e", start + 140ms);
    paths.on_failure("s", "f", start + 140ms);
    BOOST_TEST(paths.examine("s", start + 170ms).lost);
    paths.clear_failed_elsewhere();
    BOOST_TEST((paths.examine("s", start + 150ms).down_share == 0));
}

BOOST_AUTO_TEST_CASE(requests_are_forwarded_after_two_refusals)
{
    server_paths const paths;
    path_evidence evidence;
    auto const reason = [&](connection_failures const& failures) {
        auto const* const text = paths.reason_to_forward(evidence, failures);
        return std::string{text != nullptr ? text : ""};
    };
    BOOST_TEST(reason({2, 0}) == "");
    BOOST_TEST(reason({14, 0}) == "");
    BOOST_TEST(reason({15, 0}) == "connections_refused");
    BOOST_TEST(reason({2, 0, true}) == "no_server_left");
    BOOST_TEST(reason({1, 0, true}) == "");
    BOOST_TEST(reason({0, 2}) == "connections_refused");
    evidence.down_share = 0.4;
    BOOST_TEST(reason({15, 2}) == "");
    evidence.lost = true;
    BOOST_TEST(reason({}) == "paths_lost");
}

BOOST_AUTO_TEST_SUITE_END()
