// Simulates a fleet that counts requests and reports them, without a network:
// daemons are killed and restarted, the holder changes, updates are lost, late
// and repeated, clocks jump, and the store and the platform fail.

#include <medlarstall/duty/usage_reporter.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::duty;
using namespace std::chrono_literals;

namespace {

using std::chrono::milliseconds;

constexpr auto step = 100ms;
/// Between two steps, so that a few milliseconds move no request to another
/// window.
constexpr wall_time start{1'700'000'000'050ms};
const std::string busy_organisation = "busy";
const std::string other_organisation = "other";

struct usage_world
{
    /// A daemon; it is not running if it has no reporter.
    struct daemon
    {
        std::uint64_t incarnation = 0;
        std::unique_ptr<usage_reporter> reporter;
        milliseconds clock_error{0};
    };
    /// An update under way.
    struct datagram
    {
        std::size_t from;
        std::size_t to;
        std::uint64_t incarnation;
        wall_time wall;
        usage_note note;
        time_point arrives_at;
    };
    /// A call whose outcome the holder does not know yet.
    struct pending_call
    {
        usage_report report;
        std::size_t holder;
        std::uint64_t incarnation;
        time_point ends_at;
        call_outcome outcome;
    };

    std::mt19937 random;
    usage_settings settings;
    time_point now{1000s};
    wall_time wall = start;
    std::vector<daemon> daemons;
    std::vector<datagram> underway;
    std::optional<std::size_t> holder;
    std::string stored;
    /// Set while what is stored may be an older state.
    std::optional<time_point> lost_until;
    time_point next_renewal;
    time_point retry_renewal;
    std::uint64_t stored_revision = 0; ///< As acknowledged.
    std::vector<pending_call> calls;
    std::map<std::uint64_t, organisation_counts> reported;
    std::map<std::uint64_t, milliseconds> reported_after; ///< Its end.
    std::map<std::uint64_t, organisation_counts> truth;
    int changed_contents = 0;
    bool store_up = true;
    bool platform_up = true;
    bool load = true;
    double loss = 0.05;

    usage_world(unsigned seed, std::size_t count) : random{seed}, daemons(count)
    {
        for (std::size_t at = 0; at < count; ++at) {
            launch(at);
        }
        take(0);
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<>{}(random) < share;
    }

    void launch(std::size_t at)
    {
        auto& item = daemons[at];
        item.reporter = std::make_unique<usage_reporter>(
            std::to_string(at), ++item.incarnation, settings);
        item.reporter->tick(wall + item.clock_error, now);
    }

    void kill(std::size_t at)
    {
        daemons[at].reporter.reset();
        if (holder == at) {
            holder.reset();
        }
    }

    void take(std::size_t at)
    {
        holder = at;
        daemons[at].reporter->duty().on_taken({stored, lost_until}, now);
    }

    void hand_over(std::size_t to)
    {
        daemons[*holder].reporter->duty().on_lost();
        take(to);
    }

    void count_requests(std::size_t at)
    {
        auto const begin = [this, at](std::string const& organisation) {
            daemons[at].reporter->count(organisation, now);
            ++truth[settings.window_at(wall)][organisation];
        };
        for (int number = 0; number < 10; ++number) {
            begin(busy_organisation);
        }
        if (chance(0.5)) {
            begin(other_organisation);
        }
    }

    /// Sends an update to all others. Some are lost, late or repeated.
    void send_note(std::size_t from)
    {
        auto const& item = daemons[from];
        auto const note = item.reporter->take_note(false, now);
        for (std::size_t to = 0; to < daemons.size(); ++to) {
            if (to == from || chance(loss)) {
                continue;
            }
            for (int copies = chance(0.05) ? 2 : 1; copies > 0; --copies) {
                auto const delay = random() % (chance(0.1) ? 300 : 20);
                underway.push_back({from, to, item.incarnation,
                                    wall + item.clock_error, note,
                                    now + milliseconds{delay}});
            }
        }
    }

    void deliver()
    {
        auto const arrived = std::partition(
            underway.begin(), underway.end(),
            [this](auto const& item) { return item.arrives_at > now; });
        for (auto at = arrived; at != underway.end(); ++at) {
            auto& reporter = daemons[at->to].reporter;
            if (reporter) {
                auto const name = std::to_string(at->from);
                reporter->on_peer_clock(name, at->wall, at->arrives_at);
                reporter->on_peer_note(name, at->incarnation, at->note, now);
            }
        }
        underway.erase(arrived, underway.end());
    }

    /// The platform executes a call.
    void execute(usage_report const& report)
    {
        auto const [known, is_new] =
            reported.emplace(report.window, report.counts);
        changed_contents += known->second != report.counts ? 1 : 0;
        if (is_new) {
            reported_after[report.window] =
                wall.time_since_epoch() -
                settings.window * static_cast<int>(report.window + 1);
        }
    }

    void act_as_holder()
    {
        auto& duty = daemons[*holder].reporter->duty();
        for (auto const& call : duty.due_calls(now)) {
            auto const& report = std::get<usage_report>(call);
            auto outcome = call_outcome::unknown;
            if (platform_up && chance(0.9)) {
                outcome = call_outcome::accepted;
            } else if (platform_up && chance(0.5)) {
                outcome = call_outcome::rejected;
            }
            calls.push_back({report, *holder, daemons[*holder].incarnation,
                             now + milliseconds{random() % 600}, outcome});
        }
        // A change that must be stored before it takes effect is not left
        // waiting.
        auto const revision = duty.revision();
        auto const urgent = revision != stored_revision && now >= retry_renewal;
        if ((urgent || now >= next_renewal) && store_up) {
            next_renewal = now + 1s;
            retry_renewal = now + 500ms;
            stored = duty.state();
            lost_until.reset();
            if (chance(0.9)) { // Otherwise the response is lost.
                duty.on_stored(revision);
                stored_revision = revision;
            }
        }
    }

    /// Calls without a response are executed late, or not at all.
    void end_calls()
    {
        std::erase_if(calls, [this](auto const& call) {
            if (call.ends_at > now) {
                return false;
            }
            auto const executed =
                call.outcome == call_outcome::accepted ||
                (call.outcome == call_outcome::unknown && chance(0.5));
            if (executed) {
                execute(call.report);
            }
            auto const& sender = daemons[call.holder];
            if (sender.reporter && sender.incarnation == call.incarnation) {
                sender.reporter->duty().on_result(call.report, call.outcome,
                                                  now);
            }
            return true;
        });
    }

    void run(milliseconds span)
    {
        for (auto left = span; left > 0ms; left -= step) {
            now += step;
            wall += step;
            deliver();
            for (std::size_t at = 0; at < daemons.size(); ++at) {
                if (!daemons[at].reporter) {
                    continue;
                }
                daemons[at].reporter->tick(wall + daemons[at].clock_error, now);
                if (load) {
                    count_requests(at);
                }
                if ((now.time_since_epoch() / step + at) % 2 == 0) {
                    send_note(at);
                }
            }
            if (holder) {
                act_as_holder();
            }
            end_calls();
        }
    }

    /// Compares the reports with what has begun to run in truth.
    /// \param allowed share by which a count may be wrong
    /// \param latest time from the end of a window to its report
    /// \param lost requests that may be missing from a window besides
    void check(double allowed, milliseconds latest = 10s, double lost = 0)
    {
        BOOST_TEST(changed_contents == 0);
        auto const end = settings.window_at(wall - 10s);
        for (auto window = settings.window_at(start); window < end; ++window) {
            BOOST_TEST_CONTEXT("window " << window)
            {
                BOOST_REQUIRE(reported.contains(window));
                BOOST_TEST(reported_after.at(window).count() <= latest.count());
                for (auto const& [organisation, count] : truth[window]) {
                    auto const found = reported[window][organisation];
                    auto const wrong =
                        static_cast<double>(found) - static_cast<double>(count);
                    BOOST_TEST(std::abs(wrong) <=
                               allowed * static_cast<double>(count) + lost);
                }
            }
        }
    }
};

constexpr double usage_off = 0.05;

} // namespace

BOOST_AUTO_TEST_SUITE(usage_simulation_suite)

BOOST_AUTO_TEST_CASE(all_requests_are_counted_in_calm_times)
{
    for (std::size_t const count : {1U, 2U, 5U, 33U}) {
        usage_world world{1, count};
        world.run(60s);
        world.check(0);
    }
}

// The counts of daemons that have ended were lost, or counted twice when the
// next run of the daemon told its own.
BOOST_AUTO_TEST_CASE(daemons_are_killed_and_restarted)
{
    for (unsigned seed = 0; seed < 5; ++seed) {
        usage_world world{seed, 12};
        for (int round = 0; round < 12; ++round) {
            auto const at = 1 + world.random() % 11;
            world.kill(at);
            world.run(milliseconds{world.random() % 4000});
            world.launch(at);
            world.run(milliseconds{world.random() % 4000});
        }
        world.run(25s);
        world.check(usage_off);
    }
}

// A holder is killed with a window fixed or half sent. The next one sends the
// same content, and knows the counts of the killed one.
BOOST_AUTO_TEST_CASE(holders_are_killed)
{
    for (unsigned seed = 0; seed < 8; ++seed) {
        usage_world world{seed, 9};
        for (int round = 0; round < 6; ++round) {
            world.run(milliseconds{6000 + world.random() % 5000});
            auto const killed = *world.holder;
            world.kill(killed);
            world.run(4500ms);
            world.take((killed + 1) % 9);
            world.launch(killed);
        }
        world.run(25s);
        world.check(usage_off);
    }
}

// The next holder has the stored rows, and hears the same rows again.
BOOST_AUTO_TEST_CASE(the_holder_changes_in_the_middle_of_a_window)
{
    for (unsigned seed = 0; seed < 8; ++seed) {
        usage_world world{seed, 5};
        for (int round = 0; round < 12; ++round) {
            world.run(milliseconds{1500 + world.random() % 4000});
            world.hand_over(world.random() % 5);
        }
        world.run(25s);
        world.check(0);
    }
}

// Only the stored rows are left of the counts of the open window.
BOOST_AUTO_TEST_CASE(all_daemons_are_killed_at_once)
{
    for (unsigned seed = 0; seed < 8; ++seed) {
        usage_world world{seed, 7};
        world.run(milliseconds{20000 + world.random() % 5000});
        for (std::size_t at = 0; at < 7; ++at) {
            world.kill(at);
        }
        world.run(3s);
        for (std::size_t at = 0; at < 7; ++at) {
            world.launch(at);
        }
        world.run(1500ms);
        world.take(3);
        world.run(30s);
        // The requests of one interval of renewals, and of the updates before.
        constexpr double requests_per_s = 7 * 100;
        world.check(0, 10s, 1.3 * requests_per_s);
        auto const end = world.settings.window_at(world.wall - 10s);
        std::size_t exact = 0;
        for (auto window = world.settings.window_at(start); window < end;
             ++window) {
            exact += world.reported[window] == world.truth[window] ? 1 : 0;
        }
        BOOST_TEST(exact + 2 >= end - world.settings.window_at(start));
    }
}

// Requests of some daemons were counted in other windows, and a holder with a
// wrong clock fixed windows before they had ended.
BOOST_AUTO_TEST_CASE(the_clocks_of_some_daemons_jump)
{
    for (unsigned seed = 0; seed < 4; ++seed) {
        usage_world world{seed, 11};
        for (int round = 0; round < 4; ++round) {
            world.run(7s);
            for (std::size_t at = 0; at < 3; ++at) {
                world.daemons[(at + world.random()) % 11].clock_error =
                    at % 2 == 0 ? 2400ms : -1150ms;
            }
            world.run(7s);
            for (auto& item : world.daemons) {
                item.clock_error = 0ms;
            }
        }
        world.run(25s);
        world.check(usage_off);
    }
}

// Windows are fixed while nothing can be stored: nothing may be sent before.
BOOST_AUTO_TEST_CASE(the_store_and_the_platform_fail)
{
    usage_world world{3, 5};
    world.run(12s);
    world.store_up = false;
    auto const before = world.reported.size();
    world.run(9s);
    BOOST_TEST(world.reported.size() <= before + 1);
    world.hand_over(2);
    world.store_up = true;
    world.run(20s);
    world.platform_up = false;
    world.run(4500ms);
    world.hand_over(4);
    world.platform_up = true;
    world.run(30s);
    world.check(0, 30s);
}

// A copy of the store holds windows as open that were fixed and reported after
// it was made.
BOOST_AUTO_TEST_CASE(windows_of_a_restored_state_are_reported_again)
{
    enum class trouble
    {
        all_killed,
        holder_killed,
        none
    };
    constexpr std::size_t count = 5;
    constexpr std::size_t max_left_out = 3;
    for (auto const what :
         {trouble::all_killed, trouble::holder_killed, trouble::none}) {
        for (unsigned seed = 0; seed < 12; ++seed) {
            usage_world world{seed, count};
            world.daemons[seed % count].clock_error = 400ms;
            world.run(milliseconds{20000 + world.random() % 5000});
            auto const copy = world.stored;
            world.run(milliseconds{500 + world.random() % 6000});
            auto const before = *world.holder;
            for (std::size_t at = 0; at < count; ++at) {
                if (what == trouble::all_killed ||
                    (what == trouble::holder_killed && at == before)) {
                    world.kill(at);
                    world.launch(at);
                }
            }
            if (what == trouble::all_killed) {
                world.underway.clear(); // Nobody was there to receive them.
            }
            if (world.holder) {
                world.daemons[before].reporter->duty().on_lost();
                world.holder.reset();
            }
            world.stored = copy;
            world.lost_until = world.now;
            world.run(3500ms);
            world.take((before + seed) % count);
            world.run(20s);
            BOOST_TEST(world.changed_contents == 0);
            auto const end = world.settings.window_at(world.wall - 10s);
            auto const all = end - world.settings.window_at(start);
            BOOST_TEST(world.reported.size() + max_left_out >= all);
        }
    }
}

// Rows of a window that is fixed change nothing that was or will be sent.
BOOST_AUTO_TEST_CASE(late_rows_do_not_change_a_fixed_window)
{
    usage_world world{4, 2};
    world.platform_up = false;
    world.run(20s);
    auto& reporter = *world.daemons[0].reporter;
    auto const state = reporter.duty().state();
    auto const window = reporter.duty().known_closed_before() - 1;
    reporter.on_peer_note("1", 1, {0, {{window, {{"busy", 9999}}}}}, world.now);
    BOOST_TEST(reporter.duty().state() == state);
    auto const late = reporter.counters().late;
    reporter.count("busy", world.now - 12s);
    BOOST_TEST(reporter.counters().late == late + 1);
}

// A new holder that has heard nothing of the other cells fixed a window without
// their rows.
BOOST_AUTO_TEST_CASE(a_new_holder_waits_for_the_rows_of_other_cells)
{
    time_point now{1000s};
    usage_reporter counting{"a", 1, {}};
    usage_reporter holder{"b", 1, {}};
    counting.tick(start, now);
    counting.count("busy", now);
    now += 7200ms; // The window may be fixed.
    counting.tick(start + 7200ms, now);
    holder.tick(start + 7200ms, now);
    holder.duty().on_taken({}, now);
    BOOST_TEST(holder.duty().due_calls(now).empty());
    BOOST_TEST(holder.duty().revision() == 0U);
    holder.on_collected_rows(counting.collected_rows(now));
    now += 1300ms;
    BOOST_TEST(holder.duty().due_calls(now).empty()); // It is not stored.
    holder.duty().on_stored(holder.duty().revision());
    auto const calls = holder.duty().due_calls(now);
    BOOST_REQUIRE(calls.size() == 1U);
    BOOST_TEST((std::get<usage_report>(calls.at(0)).counts ==
                organisation_counts{{"busy", 1}}));
}

// Without a stored state, a window that peers know to be fixed would get a
// second content.
BOOST_AUTO_TEST_CASE(the_stored_state_is_lost)
{
    usage_world world{5, 3};
    world.run(31s);
    for (std::string const lost : {"", "unreadable"}) {
        world.stored = lost;
        world.hand_over(1);
        world.run(10s);
        world.hand_over(2);
        world.run(10s);
    }
    BOOST_TEST(world.changed_contents == 0);
}

// A stream of reports would follow an outage, and old ones be sent for ever.
BOOST_AUTO_TEST_CASE(old_reports_are_given_up)
{
    usage_world world{6, 1};
    world.platform_up = false;
    world.run(200s);
    auto& duty = world.daemons[0].reporter->duty();
    BOOST_TEST(duty.waiting() <= 25U);
    BOOST_TEST(duty.counters().given_up >= 10U);
    BOOST_TEST(world.calls.size() <= 4U);
    world.platform_up = true;
    world.run(20s);
    BOOST_TEST(duty.waiting() <= 2U);
    BOOST_TEST(world.changed_contents == 0);
}

BOOST_AUTO_TEST_SUITE_END()
