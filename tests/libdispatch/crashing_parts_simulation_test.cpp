// Simulates fleets of daemons whose requests share prompt parts, one of which
// may crash each backend server that runs it, and checks what is sent and what
// is refused.

#include <medlarstall/dispatch/crash_tracker.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr auto step = 10ms;
constexpr auto simulated_time = 40s;
constexpr auto bad_from = 8s;
constexpr auto run_time = 300ms;
constexpr auto crash_time = 50ms; ///< From the start of a run.
constexpr auto restart_time = 2s;
constexpr auto told_margin = 3s;
constexpr std::size_t noticed_crashes = 5;
constexpr std::uint64_t bad_part = 666;
constexpr std::size_t max_sends = 2;

struct scenario
{
    std::size_t daemons = 5;
    std::size_t servers = 9;
    double requests_per_second = 60;
    double bad_per_second = 8;     ///< From bad_from on.
    double bad_position = 1;       ///< Index of the bad part in its prompt.
    double crashes_per_second = 0; ///< For other reasons.
    bool crashes_together = false; ///< A third of the servers at a time.
    bool restarts = false;         ///< Of daemons.
    double datagram_loss = 0.1;
    std::uint32_t seed = 1;
};

struct run
{
    time_point began_at;
    std::size_t daemon = 0;
    std::size_t server = 0;
    std::uint64_t server_start = 0;
    crash_suspect request;
    std::size_t sends = 1;
    bool bad = false;
};

class fleet
{
public:
    explicit fleet(scenario const& played)
        : played_{played}, random_{played.seed}, trackers_(played.daemons),
          up_since_(played.daemons, start - 1h),
          server_up_at_(played.servers, start),
          server_starts_(played.servers, 1)
    {}

    void play()
    {
        for (now_ = start; now_ < start + simulated_time; now_ += step) {
            disturb();
            deliver();
            make_requests();
            end_runs();
            if ((now_ - start) % 200ms == 0ms) {
                gossip();
            }
        }
    }

    /// \return bad requests sent later than the rule excuses, by daemons that
    ///     have run for long enough
    std::size_t late_bad_sends() const
    {
        if (bad_crashes_.size() < noticed_crashes) {
            return 0;
        }
        auto const excused = bad_crashes_[noticed_crashes - 1] + told_margin;
        return static_cast<std::size_t>(std::ranges::count_if(
            bad_sends_, [&](auto at) { return at > excused; }));
    }

    /// \return share of the sound requests of a time span that were sent
    double sent_share(time_point from, time_point to) const
    {
        double sent = 0;
        double all = 0;
        for (auto const& [at, admitted] : sound_) {
            if (at >= from && at < to) {
                ++all;
                sent += admitted ? 1 : 0;
            }
        }
        return all > 0 ? sent / all : 1;
    }

    std::size_t bad_crashes() const { return bad_crashes_.size(); }

private:
    struct notice
    {
        time_point at;
        std::size_t to = 0;
        std::vector<crash_report> crashes;
        std::vector<part_blame> blamed;
        std::vector<sound_part> sound;
    };

    double fraction()
    {
        return std::uniform_real_distribution<>{0, 1}(random_);
    }

    std::uint64_t number(std::uint64_t below)
    {
        return std::uniform_int_distribution<std::uint64_t>{0,
                                                            below - 1}(random_);
    }

    void send_notice(std::size_t from, notice content)
    {
        for (std::size_t to = 0; to < trackers_.size(); ++to) {
            if (to != from && fraction() >= played_.datagram_loss) {
                content.to = to;
                content.at = now_ + std::chrono::milliseconds{number(40)};
                notices_.push_back(content);
            }
        }
    }

    void gossip()
    {
        for (std::size_t at = 0; at < trackers_.size(); ++at) {
            auto& parts = trackers_[at].parts();
            send_notice(at, {{},
                             0,
                             {},
                             parts.blamed(now_),
                             parts.sound_since(now_ - 3s, now_)});
        }
    }

    void deliver()
    {
        for (auto const& item : notices_) {
            if (item.at > now_) {
                continue;
            }
            auto& tracker = trackers_[item.to];
            for (auto const& report : item.crashes) {
                tracker.merge(report, now_);
            }
            for (auto const& told : item.sound) {
                tracker.parts().merge_sound(told, now_);
            }
            for (auto const& told : item.blamed) {
                tracker.parts().merge_blame(told, now_);
            }
        }
        std::erase_if(notices_,
                      [this](notice const& item) { return item.at <= now_; });
    }

    void disturb()
    {
        auto const second = std::chrono::duration<double>{step}.count();
        if (fraction() < played_.crashes_per_second * second) {
            auto const count =
                played_.crashes_together ? played_.servers / 3 : 1;
            for (std::size_t made = 0; made < count; ++made) {
                crash(number(played_.servers));
            }
        }
        if (played_.restarts && (now_ - start) % 3s == 0ms) {
            auto const which = number(trackers_.size());
            trackers_[which] = crash_tracker{};
            up_since_[which] = now_;
            std::erase_if(runs_, [which](run const& item) {
                return item.daemon == which;
            });
        }
    }

    void make_requests()
    {
        auto const second = std::chrono::duration<double>{step}.count();
        std::poisson_distribution<int> sound{played_.requests_per_second *
                                             second};
        for (auto left = sound(random_); left > 0; --left) {
            // A popular part, one of a few, and one of many.
            request({1 + number(2), 10 + number(4), 100 + number(400)}, false);
        }
        std::poisson_distribution<int> bad{played_.bad_per_second * second};
        for (auto left = bad(random_); left > 0; --left) {
            if (now_ - start >= bad_from) {
                part_ids parts{1 + number(2), 10 + number(4),
                               100 + number(400)};
                parts[static_cast<std::size_t>(played_.bad_position)] =
                    bad_part;
                request(parts, true);
            }
        }
    }

    void request(part_ids parts, bool bad)
    {
        auto const daemon = static_cast<std::size_t>(number(trackers_.size()));
        send({now_, daemon, 0, 0, {++last_request_, std::move(parts)}, 1, bad});
    }

    void send(run sent)
    {
        auto& tracker = trackers_[sent.daemon];
        tracker.parts().update(now_);
        auto const refused =
            tracker.parts().find_blamed(sent.request.parts, now_).has_value();
        if (!sent.bad && sent.sends == 1) {
            sound_.emplace_back(now_, !refused);
        }
        std::vector<std::size_t> up;
        for (std::size_t at = 0; at < played_.servers; ++at) {
            if (server_up_at_[at] <= now_) {
                up.push_back(at);
            }
        }
        if (refused || up.empty()) {
            return;
        }
        sent.server = up[number(up.size())];
        sent.server_start = server_starts_[sent.server];
        sent.began_at = now_;
        if (sent.bad && now_ - up_since_[sent.daemon] >= told_margin) {
            bad_sends_.push_back(now_);
        }
        runs_.push_back(std::move(sent));
    }

    /// Ends a backend server and breaks off what it runs.
    void crash(std::size_t server)
    {
        if (server_up_at_[server] > now_) {
            return;
        }
        server_up_at_[server] = now_ + restart_time;
        auto const id = "i-" + std::to_string(server) + "-" +
                        std::to_string(server_starts_[server]);
        ++server_starts_[server];
        std::vector<run> lost;
        std::ranges::copy_if(
            runs_, std::back_inserter(lost),
            [server](run const& item) { return item.server == server; });
        std::erase_if(
            runs_, [server](run const& item) { return item.server == server; });
        for (auto const& item : lost) {
            trackers_[item.daemon].on_connection_lost(item.request, id, 1,
                                                      now_);
        }
        for (std::size_t at = 0; at < trackers_.size(); ++at) {
            auto const reports = trackers_[at].on_server_down(id, 1, now_);
            for (auto repeat = 0; !reports.empty() && repeat < 3; ++repeat) {
                send_notice(at, {{}, 0, reports, {}, {}});
            }
        }
        for (auto& item : lost) {
            if (++item.sends <= max_sends) {
                send(std::move(item));
            }
        }
    }

    void end_runs()
    {
        std::vector<std::size_t> crashed;
        for (auto const& item : runs_) {
            if (item.bad && now_ - item.began_at >= crash_time) {
                crashed.push_back(item.server);
            }
        }
        std::ranges::sort(crashed);
        auto const repeated = std::ranges::unique(crashed);
        crashed.erase(repeated.begin(), repeated.end());
        for (auto const server : crashed) {
            bad_crashes_.push_back(now_);
            crash(server);
        }
        for (auto const& item : runs_) {
            if (!item.bad && now_ - item.began_at >= run_time) {
                trackers_[item.daemon].on_success(item.request, now_);
            }
        }
        std::erase_if(runs_, [this](run const& item) {
            return !item.bad && now_ - item.began_at >= run_time;
        });
    }

    scenario played_;
    std::mt19937 random_;
    std::vector<crash_tracker> trackers_;
    std::vector<time_point> up_since_;
    std::vector<time_point> server_up_at_;
    std::vector<std::uint64_t> server_starts_;
    std::vector<run> runs_;
    std::vector<notice> notices_;
    std::vector<time_point> bad_crashes_;
    std::vector<time_point> bad_sends_;
    std::vector<std::pair<time_point, bool>> sound_; ///< And whether sent.
    std::uint64_t last_request_ = 0;
    time_point now_ = start;
};

void check(scenario played, std::string const& name)
{
    constexpr std::uint32_t seeds = 2;
    constexpr std::size_t allowed_late = 3;
    for (played.seed = 1; played.seed <= seeds; ++played.seed) {
        fleet world{played};
        world.play();
        BOOST_TEST_CONTEXT(name << ", " << played.daemons << " daemons, seed "
                                << played.seed << ", " << world.bad_crashes()
                                << " crashes")
        {
            BOOST_TEST(world.late_bad_sends() <= allowed_late);
            BOOST_TEST(world.sent_share(start + bad_from + 6s,
                                        start + simulated_time) >= 0.95);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_parts_simulation_suite)

// Parts that sound requests share were refused, or the bad one was not.
BOOST_AUTO_TEST_CASE(the_crashing_part_is_not_told_from_its_neighbours)
{
    for (std::size_t const daemons : {1U, 5U, 30U}) {
        for (double const position : {0.0, 1.0, 2.0}) {
            scenario played;
            played.daemons = daemons;
            played.bad_position = position;
            check(played, "alone");
            played.crashes_per_second = 0.5;
            check(played, "beside other crashes");
            played.crashes_together = true;
            check(played, "beside crashes of a third of the servers");
        }
    }
}

BOOST_AUTO_TEST_CASE(a_daemon_that_has_just_started_sends_the_crashing_part)
{
    scenario played;
    played.restarts = true;
    check(played, "restarted daemons");
    played.datagram_loss = 0.5;
    check(played, "restarted daemons and lost datagrams");
}

BOOST_AUTO_TEST_CASE(the_crashing_part_is_found_only_under_high_load)
{
    scenario played;
    played.requests_per_second = 2;
    played.bad_per_second = 1;
    check(played, "few requests");
    played.servers = 60;
    played.daemons = 30;
    played.requests_per_second = 300;
    played.bad_per_second = 20;
    check(played, "many servers");
}

BOOST_AUTO_TEST_CASE(sound_parts_are_blamed_for_other_crashes)
{
    for (bool const together : {false, true}) {
        scenario played;
        played.bad_per_second = 0;
        played.crashes_per_second = 1;
        played.crashes_together = together;
        check(played, "no crashing part");
        played.requests_per_second = 4;
        check(played, "no crashing part, few requests");
    }
}

// The table of blamed parts was full of parts that had not crashed for long.
BOOST_AUTO_TEST_CASE(old_blames_keep_a_new_part_from_being_blamed)
{
    constexpr std::uint64_t told_parts = 80;
    constexpr std::uint64_t crashes = 3;
    crashing_parts tracked;
    auto now = start;
    for (std::uint64_t part = 1; part <= told_parts; ++part) {
        tracked.merge_blame({part, crashes, 0ms}, now);
    }
    now += 11min;
    for (std::uint64_t crash = 1; crash <= crashes; ++crash) {
        now += 1s;
        tracked.on_crash(crash, {bad_part}, now, now);
    }
    tracked.update(now);
    BOOST_TEST(tracked.find_blamed({bad_part}, now).has_value());
    BOOST_TEST(tracked.blamed(now).size() == 1U);
}

// A part was released once the crashes that it explains were forgotten.
BOOST_AUTO_TEST_CASE(many_other_crashes_release_the_crashing_part)
{
    constexpr std::uint64_t crashes = 3;
    constexpr std::uint64_t other_crashes = 200;
    crashing_parts tracked;
    auto now = start;
    for (std::uint64_t crash = 1; crash <= crashes + other_crashes; ++crash) {
        now += 1s;
        auto const part = crash <= crashes ? bad_part : 1000 + crash;
        tracked.on_crash(crash, {part}, now, now);
        tracked.update(now);
    }
    BOOST_TEST(tracked.find_blamed({bad_part}, now).has_value());
    BOOST_TEST(tracked.blamed(now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
