#include <medlarstall/gateway/event_splitter.hpp>
#include <medlarstall/gateway/fetch_scheduler.hpp>
#include <medlarstall/gateway/member_table.hpp>
#include <medlarstall/gateway/peer_update.hpp>
#include <medlarstall/gateway/shared_read.hpp>
#include <medlarstall/gateway/structured_log.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>

using namespace medlarstall;
using namespace medlarstall::gateway;

namespace {

using namespace std::chrono_literals;

constexpr time_point start{std::chrono::hours{1}};

/// A non-blocking pipe, whose ends are closed by the destructor.
struct test_pipe
{
    std::array<int, 2> ends{};

    test_pipe() { BOOST_REQUIRE(::pipe2(ends.data(), O_NONBLOCK) == 0); }
    ~test_pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    test_pipe(test_pipe const&) = delete;
    test_pipe& operator=(test_pipe const&) = delete;

    [[nodiscard]] std::string read_all() const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        for (auto count = ::read(ends[0], buffer.data(), buffer.size());
             count > 0; count = ::read(ends[0], buffer.data(), buffer.size())) {
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }
};

peer_update make_update(std::uint64_t incarnation, std::uint64_t sequence)
{
    peer_update update;
    update.daemon = "d";
    update.incarnation = incarnation;
    update.sequence = sequence;
    update.entry_address = "10.0.0.2:80";
    update.ready = true;
    return update;
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_splitter_suite)

RC_BOOST_PROP(events_are_complete_whatever_the_chunk_size, ())
{
    std::string const text = "id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\n"
                             "\nid:3\r\ndata: c\r\n\r\nid: 4\ndata";
    auto const size = *rc::gen::inRange<std::size_t>(1, text.size());
    event_splitter splitter;
    std::vector<stream_event> events;
    std::string joined;
    for (std::size_t at = 0; at < text.size(); at += size) {
        for (auto& event : splitter.feed(text.substr(at, size))) {
            joined += event.bytes;
            events.push_back(std::move(event));
        }
    }
    RC_ASSERT(events.size() == 3U);
    for (std::size_t at = 0; at < events.size(); ++at) {
        RC_ASSERT(events[at].id == at + 1);
    }
    RC_ASSERT(text.starts_with(joined));
    RC_ASSERT(splitter.has_partial_event());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(peer_update_suite)

BOOST_AUTO_TEST_CASE(update_survives_encoding_and_decoding)
{
    auto update = make_update(5, 9);
    update.loads = {{"s", {3, 1000, 2000, 1.5, 0.25}}};
    update.prompts = {{"s", {{0xffffffffffffffffULL, 13}, {2, 4}}}};
    update.crashes = {{42, "s", 7}};
    auto const read = decode_peer_update(encode(update));
    BOOST_REQUIRE(!failed(read));
    auto const& decoded = value_of(read);
    BOOST_TEST(decoded.daemon == "d");
    BOOST_TEST(decoded.loads.at(0).load.pause_sensitivity_sum == 1.5);
    BOOST_TEST(decoded.prompts.at(0).parts.at(0).id == 0xffffffffffffffffULL);
    BOOST_TEST(decoded.crashes.at(0).crash_id == 7U);
}

BOOST_AUTO_TEST_CASE(kept_parts_survive_encoding_and_decoding)
{
    std::vector<medlarstall::dispatch::server_prompt_parts> const kept = {
        {"s", {{7, 100}, {8, 200}}, 1700000000000}, {"t", {}}};
    auto const read = decode_kept_parts(encode(kept));
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST(value_of(read).size() == 2U);
    BOOST_TEST(value_of(read).at(0).backend_server == "s");
    BOOST_TEST(value_of(read).at(0).parts.at(1).tokens == 200U);
    BOOST_TEST(value_of(read).at(0).started_unix_ms.value_or(0) ==
               1700000000000);
    BOOST_TEST(!value_of(read).at(1).started_unix_ms);
    BOOST_TEST(failed(decode_kept_parts("no CBOR")));
}

// Daemons of an older version read the first two values of each item, and send
// no others.
BOOST_AUTO_TEST_CASE(kept_parts_of_another_version_cannot_be_read)
{
    using json = nlohmann::json;
    std::vector<medlarstall::dispatch::server_prompt_parts> const kept = {
        {"s", {{7, 100}}, 1700000000000}};
    auto sent = json::from_cbor(encode(kept));
    BOOST_TEST(sent.at(0).at(0).get<std::string>() == "s");
    BOOST_TEST((sent.at(0).at(1) == json::array({7, 100})));
    sent.at(0).erase(2);
    std::string bytes;
    json::to_cbor(sent, bytes);
    auto const read = decode_kept_parts(bytes);
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST(value_of(read).at(0).parts.at(0).tokens == 100U);
    BOOST_TEST(!value_of(read).at(0).started_unix_ms);
}

// Daemons of an older version state neither a lifetime nor an era, and ignore
// them. What they have written must not count as whole after a restore.
BOOST_AUTO_TEST_CASE(a_stream_record_of_another_version_is_read_as_unknown)
{
    using json = nlohmann::json;
    using namespace std::chrono_literals;
    medlarstall::dispatch::stream_origin_record record{
        {{"s", "v1"}}, {{7, 0}}, 24s, 3, true};
    auto const read = decode_stream_origins(encode(record));
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST((value_of(read).lifetime == record.lifetime));
    BOOST_TEST(value_of(read).era.value_or(0) == 3U);
    BOOST_TEST(value_of(read).is_whole);
    auto sent = json::from_cbor(encode(record));
    BOOST_TEST((sent.at("releases").at(0) == json::array({"s", "v1"})));
    BOOST_TEST((sent.at("streams") == json::array({7, 0})));
    for (auto const* const name : {"lifetime", "era", "whole"}) {
        sent.erase(name);
    }
    std::string bytes;
    json::to_cbor(sent, bytes);
    auto const old = decode_stream_origins(bytes);
    BOOST_REQUIRE(!failed(old));
    BOOST_TEST(value_of(old).streams.size() == 1U);
    BOOST_TEST(!value_of(old).lifetime);
    BOOST_TEST(!value_of(old).era);
    BOOST_TEST(!value_of(old).is_whole);
}

RC_BOOST_PROP(any_datagram_is_decoded_or_rejected, (std::string const& bytes))
{
    std::ignore = decode_peer_update(bytes);
    RC_SUCCEED("was decoded or rejected");
}

BOOST_AUTO_TEST_CASE(a_datagram_that_declares_a_huge_array_is_rejected)
{
    // Found by RapidCheck with the seed 10026352615265404132.
    BOOST_TEST(failed(decode_peer_update("\x9B"
                                         "aaaaaaaa")));
}

// Daemons of an older version send no observations of servers and ignore
// those that they get; kinds of a newer version are left out.
BOOST_AUTO_TEST_CASE(observations_of_servers_confuse_other_versions)
{
    using json = nlohmann::json;
    auto update = make_update(5, 9);
    BOOST_TEST(!json::from_cbor(encode(update)).contains("rs"));
    BOOST_TEST(
        value_of(decode_peer_update(encode(update))).server_reports.empty());
    update.server_reports = {
        {"s", 1700000000000, dispatch::report_kind::refused, 40ms}};
    auto sent = json::from_cbor(encode(update));
    sent["rs"].push_back(json::array({"t", 1, 9, 5}));
    sent["rs"].push_back(json::array({"u", 1, 2, -5}));
    std::string bytes;
    json::to_cbor(sent, bytes);
    auto const read = decode_peer_update(bytes);
    BOOST_REQUIRE(!failed(read));
    auto const& reports = value_of(read).server_reports;
    BOOST_REQUIRE(reports.size() == 2U);
    BOOST_TEST(reports.at(0).backend_server == "s");
    BOOST_TEST(reports.at(0).started_unix_ms == 1700000000000);
    BOOST_TEST((reports.at(0).kind == dispatch::report_kind::refused));
    BOOST_TEST((reports.at(0).age == 40ms));
    BOOST_TEST((reports.at(1).age == 0ms));
    sent["rs"] = json::array({json::array({"s"})});
    bytes.clear();
    json::to_cbor(sent, bytes);
    BOOST_TEST(failed(decode_peer_update(bytes)));
}

BOOST_AUTO_TEST_CASE(a_deeply_nested_datagram_is_rejected)
{
    constexpr std::size_t most_bytes = 65000;
    BOOST_TEST(failed(decode_peer_update(std::string(most_bytes, '\x81'))));
}

RC_BOOST_PROP(a_corrupt_datagram_does_not_crash_the_daemon, ())
{
    auto bytes = encode(make_update(1, 1));
    auto const at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    std::ignore = decode_peer_update(bytes);
    RC_SUCCEED("was decoded or rejected");
}

BOOST_AUTO_TEST_CASE(removals_survive_encoding_and_decoding)
{
    record_page page;
    page.next_offset = 8;
    page.records = {{"gone", std::nullopt, 6}, {"kept", "v", 7}};
    auto const read = decode_record_page(encode(page));
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST(!value_of(read).is_snapshot);
    BOOST_TEST(!value_of(read).records.at(0).value.has_value());
    BOOST_TEST(value_of(read).records.at(1).value.value() == "v");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(member_table_suite)

BOOST_AUTO_TEST_CASE(only_ready_and_live_daemons_are_entry_addresses)
{
    member_table members;
    members.add("10.0.0.2:7000", start);
    BOOST_TEST(members.entry_candidates(start).empty());
    members.merge("10.0.0.2:7000", make_update(1, 1), start);
    BOOST_TEST(members.entry_candidates(start).size() == 1U);
    BOOST_TEST(members.entry_candidates(start + 3s).empty());
    auto stopping = make_update(1, 2);
    stopping.ready = false;
    members.merge("10.0.0.2:7000", stopping, start);
    BOOST_TEST(members.entry_candidates(start).empty());
}

BOOST_AUTO_TEST_CASE(older_updates_are_rejected)
{
    member_table members;
    BOOST_TEST(members.merge("a", make_update(2, 1), start));
    BOOST_TEST(!members.merge("a", make_update(1, 9), start));
    BOOST_TEST(!members.merge("a", make_update(2, 1), start));
    BOOST_TEST(members.merge("a", make_update(2, 2), start));
}

// Each part of a fleet that was cut in two used the whole slack of the budget.
BOOST_AUTO_TEST_CASE(a_daemon_that_hears_few_others_takes_their_share)
{
    member_table members;
    members.add("a", start);
    members.add("b", start);
    members.add("c", start);
    BOOST_TEST(members.limit_sharers(start).size() == 3U);
    BOOST_TEST(members.limit_sharers(start + 31s).size() == 3U);
    members.merge("a", make_update(1, 1), start + 20s);
    BOOST_TEST(members.limit_sharers(start + 31s).size() == 3U);
    members.merge("b", make_update(1, 1), start + 20s);
    BOOST_TEST(members.limit_sharers(start + 31s).size() == 2U);
    BOOST_TEST(members.limit_sharers(start + 29s).size() == 3U);
}

BOOST_AUTO_TEST_CASE(silent_daemons_are_found)
{
    member_table members;
    members.add("a", start);
    members.add("b", start);
    members.merge("b", make_update(1, 1), start + 5min);
    auto const all = members.addresses();
    BOOST_TEST(members.lost_members(all, start + 9min).empty());
    auto const lost = members.lost_members(all, start + 11min);
    BOOST_REQUIRE(lost.size() == 1U);
    BOOST_TEST(lost.front() == "a");
}

BOOST_AUTO_TEST_CASE(fetches_of_a_large_record_are_spread_over_peers)
{
    // When 17 daemons requested a configuration of 1,746 routes from the same
    // one of the 8 daemons that had it, every 250 ms over a link of 24 Mbit/s,
    // none of them received it for 6 s.
    std::vector<std::size_t> fetches(8);
    for (int daemon = 0; daemon < 17; ++daemon) {
        auto const name = "edge-" + std::to_string(daemon);
        fetch_scheduler scheduler{std::hash<std::string>{}(name), 250ms};
        auto const first = scheduler.try_start(fetches.size(), start);
        BOOST_REQUIRE(first.has_value());
        ++fetches[*first];
        // The next fetch waits until this one has ended, however long that
        // takes, and goes to another daemon.
        BOOST_TEST(
            !scheduler.try_start(fetches.size(), start + 5s).has_value());
        scheduler.note_finished();
        auto const second = scheduler.try_start(fetches.size(), start + 6s);
        BOOST_REQUIRE(second.has_value());
        BOOST_TEST(*second != *first);
    }
    BOOST_TEST(std::ranges::max(fetches) <= 5U);
}

BOOST_AUTO_TEST_CASE(fetches_do_not_start_within_the_least_interval)
{
    fetch_scheduler scheduler{1, 250ms};
    BOOST_TEST(!scheduler.try_start(0, start).has_value());
    BOOST_TEST(scheduler.try_start(1, start).has_value());
    scheduler.note_finished();
    BOOST_TEST(!scheduler.try_start(1, start + 100ms).has_value());
    BOOST_TEST(scheduler.try_start(1, start + 250ms).has_value());
}

BOOST_AUTO_TEST_CASE(adding_or_removing_a_daemon_changes_the_revision)
{
    member_table members;
    members.add("a", start);
    auto const before = members.revision();
    members.add("a", start + 1s);
    BOOST_TEST(members.revision() == before);
    members.merge("b", make_update(1, 1), start);
    BOOST_TEST(members.revision() > before);
    auto const after_merge = members.revision();
    members.remove("a");
    BOOST_TEST(members.revision() > after_merge);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(structured_log_suite)

BOOST_AUTO_TEST_CASE(lines_are_structured_and_quoted)
{
    test_pipe const pipe;
    structured_log log{pipe.ends[1]};
    log_entry{log, log_category::failure, "answer"}
        .with("id", "a b\n\"c\"")
        .with("status", 503)
        .with("left", 1500ms);
    log.tick(start);
    auto const text = pipe.read_all();
    BOOST_TEST(text.find(" event=answer id=\"a b \\\"c\\\"\" status=503 "
                         "left_ms=1500\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_blocked_reader_loses_lines_but_does_not_block_the_log)
{
    test_pipe const pipe;
    log_limits limits;
    limits.failures_per_second = 1000000;
    structured_log log{pipe.ends[1], limits};
    std::string const filler(200, 'x');
    for (int line = 0; line < 5000; ++line) {
        log_entry{log, log_category::failure, "answer"}.with("x", filler);
    }
    BOOST_TEST(log.dropped() > 0U);
    std::ignore = pipe.read_all();
    log.tick(start + 5s);
    BOOST_TEST(pipe.read_all().size() > 0U);
}

BOOST_AUTO_TEST_CASE(successes_are_sampled_but_failures_are_not)
{
    test_pipe const pipe;
    structured_log log{pipe.ends[1], {.successes_per_second = 2}};
    for (int line = 0; line < 10; ++line) {
        log_entry{log, log_category::success, "send"}.with("line", line);
    }
    log_entry{log, log_category::failure, "answer"}.with("status", 503);
    log.tick(start + 1s);
    auto const text = pipe.read_all();
    BOOST_TEST(text.find("event=answer") != std::string::npos);
    BOOST_TEST(text.find("event=log_lines_dropped count=8") !=
               std::string::npos);
}

// The line that a server had lapsed was missing among those of 80 others.
BOOST_AUTO_TEST_CASE(what_is_believed_is_logged_however_much_it_is)
{
    constexpr int lines = 500;
    test_pipe const pipe;
    structured_log log{pipe.ends[1]};
    for (int line = 0; line < lines; ++line) {
        log_entry{log, log_category::belief, "backend_server"}.with("s", line);
    }
    BOOST_TEST(log.dropped() == 0U);
}

// A read that had begun before a question was taken for an answer to it.
BOOST_AUTO_TEST_CASE(a_read_answers_a_question_of_after_its_beginning)
{
    constexpr int steps = 1000;
    constexpr auto min_interval = 150ms;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random{seed};
        auto const chance = [&random](unsigned in) {
            return random() % in == 0;
        };
        time_point now{1h};
        int wrong_answers = 0;
        shared_read reads;
        std::optional<shared_read::number> running;
        int running_since = 0;
        int last_complete_since = -1;
        time_point last_begun_at;
        std::map<int, shared_read::number> questions;
        for (int step = 0; step < steps; ++step) {
            if (chance(3)) {
                questions.emplace(step, reads.last_begun());
            }
            if (auto const begun = reads.try_begin(now, min_interval)) {
                BOOST_TEST(!running.has_value());
                BOOST_TEST((now - last_begun_at >= min_interval));
                last_begun_at = now;
                running = begun;
                running_since = step;
            } else if (running && chance(4)) {
                if (chance(5)) {
                    reads.on_failure(*running);
                } else {
                    reads.on_success(*running);
                    last_complete_since = running_since;
                }
                running.reset();
            }
            for (auto const& [asked_at, asked] : questions) {
                auto const answered = last_complete_since >= asked_at;
                wrong_answers +=
                    reads.succeeded_after(asked) == answered ? 0 : 1;
            }
            std::erase_if(questions, [&](auto const& question) {
                return reads.succeeded_after(question.second);
            });
            now += chance(20) ? 0ms : 40ms; // The clock may stand.
        }
        BOOST_TEST(wrong_answers == 0);
        BOOST_TEST(questions.size() < steps / 10);
    }
}

BOOST_AUTO_TEST_SUITE_END()
