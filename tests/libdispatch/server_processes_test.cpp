#include <medlarstall/dispatch/server_processes.hpp>

#include <boost/test/unit_test.hpp>

#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::dispatch;
using namespace std::chrono_literals;

namespace {

time_point at(std::chrono::milliseconds since)
{
    return time_point{} + 1h + since;
}

backend_server_entry entry_of(std::int64_t started, std::string version)
{
    backend_server_entry entry;
    entry.id = "i-0";
    entry.started_unix_ms = started;
    entry.software_version = std::move(version);
    return entry;
}

std::string version_of(std::optional<server_process> const& process)
{
    return process ? process->software_version : "unknown";
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_processes_suite)

// An entry may be older than the process that answers.
BOOST_AUTO_TEST_CASE(an_entry_alone_identifies_no_later_connection)
{
    server_processes processes;
    processes.on_entry(entry_of(1, "v1"), std::nullopt, at(0ms));
    BOOST_TEST(!processes.find("i-0", {at(10ms), at(20ms)}));
    BOOST_TEST(!processes.find("i-1", {at(10ms), at(20ms)}));
}

BOOST_AUTO_TEST_CASE(a_stated_start_identifies_a_connection_opened_before)
{
    server_processes processes;
    processes.on_entry(entry_of(1, "v1"), std::nullopt, at(0ms));
    processes.on_stated("i-0", 1, at(30ms), at(33ms));
    BOOST_TEST(version_of(processes.find("i-0", {at(10ms), at(20ms)})) == "v1");
    BOOST_TEST(!processes.find("i-0", {at(31ms), at(40ms)}));
}

BOOST_AUTO_TEST_CASE(a_start_without_an_entry_has_no_version)
{
    server_processes processes;
    processes.on_entry(entry_of(1, "v1"), std::nullopt, at(0ms));
    processes.on_stated("i-0", 2, at(30ms), at(33ms));
    BOOST_TEST(!processes.find("i-0", {at(10ms), at(40ms)}));
    BOOST_TEST(processes.may_have_restarted("i-0"));
    processes.on_entry(entry_of(2, "v2"), std::nullopt, at(900ms));
    BOOST_TEST(version_of(processes.find("i-0", {at(10ms), at(40ms)})) == "v2");
}

// A connection that ended before a process was known may be of the one before.
BOOST_AUTO_TEST_CASE(a_later_process_is_not_that_of_an_ended_connection)
{
    server_processes processes;
    processes.on_entry(entry_of(1, "v1"), std::nullopt, at(0ms));
    processes.on_entry(entry_of(2, "v2"), at(25ms), at(30ms));
    processes.on_stated("i-0", 2, at(50ms), at(51ms));
    BOOST_TEST(!processes.find("i-0", {at(10ms), at(20ms)}));
    BOOST_TEST(version_of(processes.find("i-0", {at(40ms), at(45ms)})) == "v2");
}

BOOST_AUTO_TEST_CASE(a_connection_stays_identified_after_a_restart)
{
    server_processes processes;
    processes.on_entry(entry_of(1, "v1"), std::nullopt, at(0ms));
    processes.on_stated("i-0", 1, at(30ms), at(31ms));
    processes.on_entry(entry_of(2, "v2"), at(90ms), at(100ms));
    BOOST_TEST(version_of(processes.find("i-0", {at(10ms), at(80ms)})) == "v1");
}

BOOST_AUTO_TEST_CASE(bytes_of_an_identified_connection_identify_another)
{
    server_processes processes;
    processes.on_entry(entry_of(1, "v1"), at(5ms), at(10ms));
    connection_span const later{at(20ms), at(40ms)};
    BOOST_TEST(!processes.find("i-0", later));
    processes.on_received("i-0", {1, "v1"}, at(15ms));
    BOOST_TEST(!processes.find("i-0", later));
    processes.on_received("i-0", {1, "v1"}, at(25ms));
    BOOST_TEST(version_of(processes.find("i-0", later)) == "v1");
}

BOOST_AUTO_TEST_CASE(an_entry_of_an_earlier_start_that_comes_late_is_ignored)
{
    server_processes processes;
    processes.on_entry(entry_of(2, "v2"), at(10ms), at(20ms));
    BOOST_TEST(!processes.on_entry(entry_of(1, "v1"), at(30ms), at(40ms)));
    BOOST_TEST(!processes.find("i-0", {at(25ms), at(50ms)}));
}

BOOST_AUTO_TEST_CASE(a_lost_connection_is_a_reason_to_avoid_a_server)
{
    server_processes processes;
    processes.on_entry(entry_of(1, "v1"), at(0ms), at(10ms));
    BOOST_TEST(!processes.may_have_restarted("i-0"));
    processes.on_connection_lost("i-0", at(20ms));
    BOOST_TEST(processes.may_have_restarted("i-0"));
    processes.on_stated("i-0", 1, at(30ms), at(31ms));
    BOOST_TEST(processes.possibly_restarted().empty());
}

// A crashed process that nobody identified in time is the one of the last
// entry, unless another one may have begun in between.
BOOST_AUTO_TEST_CASE(a_later_process_is_presumed_to_be_the_one_of_the_entry)
{
    connection_span const span{at(1000ms), at(1020ms)};
    auto const presumed = [&](auto change, connection_span const& wanted) {
        server_processes processes;
        processes.on_entry(entry_of(1, "v1"), std::nullopt, at(0ms));
        processes.on_entry(entry_of(1, "v1"), at(500ms), at(510ms));
        change(processes);
        return version_of(processes.presume("i-0", wanted).process);
    };
    auto const nothing = [](auto&) {
    };
    BOOST_TEST(presumed(nothing, span) == "v1");
    BOOST_TEST(
        presumed(
            [](auto& known) { known.on_connection_lost("i-0", at(700ms)); },
            span) == "unknown");
    BOOST_TEST(
        presumed([](auto& known) { known.on_idle_closed("i-0", at(700ms)); },
                 span) == "unknown");
    BOOST_TEST(presumed(
                   [](auto& known) {
                       known.on_idle_closed("i-0", at(300ms));
                       known.on_entry(entry_of(1, "v1"), at(600ms), at(610ms));
                       known.on_connection_lost("i-0", at(1020ms));
                   },
                   span) == "v1");
    BOOST_TEST(presumed(
                   [](auto& known) {
                       known.on_stated("i-0", 2, at(900ms), at(905ms));
                   },
                   span) == "unknown");
    BOOST_TEST(presumed(
                   [](auto& known) {
                       known.on_entry(entry_of(2, "v2"), at(1015ms),
                                      at(1100ms));
                   },
                   span) == "unknown");
    server_processes late;
    BOOST_TEST(!late.presume("i-0", span).process);
    late.on_entry(entry_of(1, "v1"), at(500ms), at(1030ms));
    BOOST_TEST(!late.presume("i-0", span).process);
}

// The store executed a write of the earlier process after the later had begun.
BOOST_AUTO_TEST_CASE(a_late_write_makes_an_earlier_process_run_on)
{
    server_processes processes;
    processes.on_entry(entry_of(1, "v1"), std::nullopt, at(0ms));
    processes.on_stated("i-0", 2, at(20ms), at(21ms));
    processes.on_entry(entry_of(1, "v1"), at(40ms), at(50ms));
    BOOST_TEST(!processes.find("i-0", {at(30ms), at(60ms)}));
}

BOOST_AUTO_TEST_CASE(a_server_whose_clock_was_set_back_stays_unidentified)
{
    server_processes processes;
    processes.on_entry(entry_of(9, "v1"), at(0ms), at(10ms));
    processes.on_stated("i-0", 5, at(30ms), at(31ms));
    processes.on_entry(entry_of(5, "v2"), std::nullopt, at(40ms));
    BOOST_TEST(version_of(processes.find("i-0", {at(25ms), at(35ms)})) == "v2");
}

BOOST_AUTO_TEST_CASE(entries_without_a_start_are_taken_for_one_process)
{
    server_processes processes;
    processes.on_entry(entry_of(0, "v1"), at(0ms), at(10ms));
    processes.on_entry(entry_of(0, "v2"), at(20ms), at(30ms));
    BOOST_TEST(!processes.find("i-0", {at(5ms), at(15ms)}));
}

// Restarts, entries, answers and connections in any order: whatever find()
// says must be what the connection has really reached.
BOOST_AUTO_TEST_CASE(no_connection_is_ever_identified_wrongly)
{
    std::size_t identified = 0;
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random{seed};
        auto const draw = [&random](int most) {
            return std::uniform_int_distribution{0, most}(random);
        };
        struct connection
        {
            std::int64_t process;
            connection_span span;
            bool open = true;
        };
        server_processes processes;
        std::vector<connection> connections;
        std::int64_t running = 1;
        std::int64_t listed = 1; // The last entry that was written.
        time_point last_read = at(0ms);
        time_point read_before = last_read;
        auto const version = [](std::int64_t start) {
            return "v" + std::to_string(start % 3);
        };
        for (auto now = at(1ms); now < at(600ms); now += 1ms) {
            switch (draw(60)) {
            case 0: // It starts again; its entry may come late.
                ++running;
                for (auto& item : connections) {
                    item.open = false;
                }
                break;
            case 1:
            case 2:
                listed = running;
                processes.on_entry(entry_of(running, version(running)),
                                   read_before, now);
                break;
            case 3: // A read that returns what is there.
                processes.on_entry(entry_of(listed, version(listed)),
                                   std::nullopt, now);
                read_before = std::exchange(last_read, now);
                break;
            case 4:
                processes.on_stated("i-0", running, now - 1ms, now);
                break;
            case 5:
            case 6:
                connections.push_back({running, {now, now}});
                break;
            default:
                for (auto& item : connections) {
                    if (!item.open || draw(9) > 0) {
                        continue;
                    }
                    auto const previous = item.span.last_received_at;
                    item.span.last_received_at = now;
                    if (auto const found = processes.find("i-0", item.span)) {
                        processes.on_received("i-0", *found, previous);
                    }
                }
            }
            for (auto const& item : connections) {
                auto const found = processes.find("i-0", item.span);
                if (found) {
                    ++identified;
                    BOOST_REQUIRE_MESSAGE(found->started_unix_ms ==
                                              item.process,
                                          "seed " << seed);
                }
            }
        }
    }
    constexpr std::size_t enough = 100000;
    BOOST_TEST(identified > enough);
}

BOOST_AUTO_TEST_SUITE_END()
