#include <medlarstall/claim/claim_engine.hpp>
#include <medlarstall/claim/record_codec.hpp>

#include "model_log.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <tuple>

using namespace medlarstall;
using namespace medlarstall::claim;
using std::chrono::milliseconds;

namespace {

constexpr wall_time day_start{std::chrono::hours{480'000}};

uuid key_at(wall_time time, std::uint64_t number = 1)
{
    return make_uuid_v7(time, number, number);
}

/// One engine over one stream, without faults unless a test makes them.
struct bench
{
    explicit bench(std::string name = "a", std::size_t max_keys = 100)
        : writer{std::move(name)},
          engine{{.writer = writer, .streams = 1, .max_keys = max_keys}}
    {
        take(engine.start(now));
        read();
    }

    void take(actions const& todo)
    {
        for (auto const& one : todo) {
            if (auto const* found = std::get_if<append_action>(&one)) {
                appends.push_back(*found);
            } else if (auto const* run = std::get_if<dispatch_action>(&one)) {
                runs.push_back(*run);
            } else if (auto const* told = std::get_if<answer_action>(&one)) {
                answers.push_back(*told);
            }
        }
    }

    void call_key(uuid const& key, char const* body = "body")
    {
        call_text(to_string(key), body);
    }

    void call_text(std::string const& key, char const* body = "body")
    {
        take(engine.request({.id = ++calls,
                             .key = key,
                             .digest = digest_of("a", "POST /", body),
                             .deadline = now.steady + milliseconds{100}},
                            now));
    }

    void wait(milliseconds time)
    {
        now.steady += time;
        now.wall += time;
        take(engine.tick(now));
    }

    /// Appends what was sent without a reply to the engine.
    void append()
    {
        for (auto const& sent : appends) {
            log->append(writer, sent.sequence, *sent.records, now.wall);
        }
        appends.clear();
    }

    void read()
    {
        auto const batch = log->read(0, position, 1'000);
        position = batch.end;
        take(engine.records(batch, now));
    }

    void settle()
    {
        wait(milliseconds{5});
        append();
        read();
    }

    std::shared_ptr<model_log> log = std::make_shared<model_log>();
    std::string writer;
    moment now{.steady = time_point{std::chrono::hours{1}}, .wall = day_start};
    claim_engine engine;
    std::uint64_t position = 0;
    call_id calls = 0;
    std::vector<append_action> appends;
    std::vector<dispatch_action> runs;
    std::vector<answer_action> answers;
};

std::string told(bench const& from)
{
    if (from.answers.empty()) {
        return "nothing";
    }
    auto const& last = from.answers.back();
    static constexpr char const* kinds[] = {"stored", "unknown", "mismatch",
                                            "not_run"};
    return std::string{kinds[int(last.kind)]} + " " +
           std::string{code_of(last.reason)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim_engine_suite)

BOOST_AUTO_TEST_CASE(runs_once_and_keeps_the_outcome)
{
    bench one;
    auto const key = key_at(day_start);
    one.call_key(key);
    one.settle();
    BOOST_TEST_REQUIRE(one.runs.size() == 1U);
    auto const attempt = one.runs[0].attempt;
    BOOST_TEST(one.engine.dispatched(attempt));
    BOOST_TEST(!one.engine.dispatched(attempt));
    one.call_key(key);
    BOOST_TEST(told(one) == "nothing");
    one.call_key(key, "other");
    BOOST_TEST(told(one) == "mismatch none");
    one.take(one.engine.finished(
        attempt, {.known = true, .status = 201, .body = "done"}, one.now));
    BOOST_TEST(told(one) == "stored none");
    one.settle();
    one.call_key(key);
    BOOST_TEST(one.answers.back().result->body == "done");
    BOOST_TEST(one.runs.size() == 1U);
    BOOST_TEST(one.engine.figures().attempts == 0U);
}

/// Another daemon's run becomes known while the own claim is under way.
BOOST_AUTO_TEST_CASE(answers_from_a_run_read_before_the_own_claim)
{
    bench one;
    auto const key = key_at(day_start);
    one.call_key(key);
    claim_record const claim{.key = key,
                             .digest = digest_of("a", "POST /", "body"),
                             .attempt = key_at(day_start, 7),
                             .writer = "b"};
    outcome_record const done{
        .key = key,
        .attempt = claim.attempt,
        .result = std::make_shared<outcome const>(outcome{.known = true})};
    one.log->append("b", 1, {claim, done}, one.now.wall);
    one.read();
    BOOST_TEST(told(one) == "stored none");
    BOOST_TEST(one.engine.figures().attempts == 0U);
}

BOOST_AUTO_TEST_CASE(drops_a_body_that_is_too_large)
{
    bench one;
    one.call_key(key_at(day_start));
    one.settle();
    one.take(one.engine.finished(
        one.runs.at(0).attempt,
        {.known = true, .status = 200, .body = std::string(5'000, 'x')},
        one.now));
    one.settle();
    one.call_key(key_at(day_start));
    BOOST_TEST(!one.answers.back().result->whole);
    BOOST_TEST(one.answers.back().result->body.empty());
}

BOOST_AUTO_TEST_CASE(refuses_keys_that_cannot_be_claimed)
{
    bench one;
    one.call_text("42");
    BOOST_TEST(told(one) == "not_run malformed_key");
    one.call_text("0190a3b0-7b1c-4000-8000-000000000000");
    BOOST_TEST(told(one) == "not_run wrong_key_version");
    one.call_key(key_at(day_start - std::chrono::minutes{11}));
    BOOST_TEST(told(one) == "not_run key_expired");
    one.call_key(key_at(day_start + std::chrono::seconds{6}));
    BOOST_TEST(told(one) == "not_run key_in_future");
    BOOST_TEST(one.appends.empty());
}

BOOST_AUTO_TEST_CASE(releases_a_claim_that_lands_after_the_deadline)
{
    bench one;
    one.call_key(key_at(day_start));
    one.wait(milliseconds{5});
    BOOST_TEST(one.appends.size() == 1U);
    one.take(one.engine.append_unknown(0, 1, one.now));
    one.wait(milliseconds{100});
    BOOST_TEST(told(one) == "not_run log_unavailable");
    one.append();
    one.read();
    BOOST_TEST(one.runs.empty());
    one.settle();
    BOOST_TEST(one.engine.figures().released == 1U);
    BOOST_TEST(one.engine.figures().attempts == 0U);
    one.call_key(key_at(day_start));
    one.settle();
    BOOST_TEST(one.runs.size() == 1U);
}

/// The deadline passed while nothing ran in the daemon, not even its timer.
BOOST_AUTO_TEST_CASE(offers_nothing_after_the_deadline)
{
    bench one;
    one.call_key(key_at(day_start));
    one.wait(milliseconds{5});
    one.append();
    one.now.steady += milliseconds{100};
    one.read();
    BOOST_TEST(one.runs.empty());
}

BOOST_AUTO_TEST_CASE(takes_back_a_claim_that_was_not_sent)
{
    bench one;
    one.call_key(key_at(day_start));
    one.wait(milliseconds{5});
    one.wait(milliseconds{100});
    BOOST_TEST(told(one) == "not_run deadline");
    one.take(one.engine.append_failed(0, 1, one.now));
    one.appends.clear();
    one.wait(milliseconds{2'000});
    BOOST_TEST(one.appends.empty());
    BOOST_TEST(one.engine.figures().attempts == 0U);
}

BOOST_AUTO_TEST_CASE(sends_an_uncertain_append_again_unchanged)
{
    bench one;
    one.call_key(key_at(day_start));
    one.wait(milliseconds{5});
    auto const first = one.appends.at(0);
    one.take(one.engine.append_unknown(0, first.sequence, one.now));
    one.wait(milliseconds{50});
    one.take(one.engine.append_failed(0, first.sequence, one.now));
    one.call_key(key_at(day_start, 2));
    one.wait(milliseconds{49});
    for (auto const& again : one.appends) {
        BOOST_TEST(again.sequence == first.sequence);
        BOOST_TEST(again.records == first.records);
    }
    BOOST_TEST(one.appends.size() == 3U);
}

/// The claim and its outcome have expired, the key is still accepted.
BOOST_AUTO_TEST_CASE(tells_unknown_where_records_were_lost)
{
    bench one;
    one.call_key(key_at(day_start));
    one.settle();
    one.take(
        one.engine.finished(one.runs.at(0).attempt, {.known = true}, one.now));
    one.settle();
    one.wait(std::chrono::seconds{20});
    one.log->expire(one.now.wall);

    bench other{"b"};
    other.log = one.log;
    other.now = one.now;
    other.engine = claim_engine{{.writer = "b", .streams = 1}};
    other.position = 0;
    other.take(other.engine.start(other.now));
    other.read();
    BOOST_TEST(!other.engine.ready());
    other.call_key(key_at(day_start));
    BOOST_TEST(told(other) == "nothing");
    other.settle();
    BOOST_TEST(other.engine.ready());
    BOOST_TEST(told(other) == "unknown key_expired");
    BOOST_TEST(other.runs.empty());
}

/// The log lost records that it should still have.
BOOST_AUTO_TEST_CASE(tells_unknown_after_a_hole_in_the_offsets)
{
    bench one;
    one.take(one.engine.records(
        {.stream = 0,
         .end = 6,
         .entries = {{.offset = 5, .time = one.now.wall, .writer = "b"}}},
        one.now));
    one.call_key(key_at(day_start));
    BOOST_TEST(told(one) == "unknown key_expired");
}

BOOST_AUTO_TEST_CASE(tells_unknown_below_the_keys_that_it_dropped)
{
    bench one{"a", 2};
    for (std::uint64_t i = 1; i <= 4; ++i) {
        one.call_key(key_at(day_start + milliseconds{i}, i));
        one.settle();
        one.take(one.engine.finished(one.runs.back().attempt, {.known = true},
                                     one.now));
        one.settle();
    }
    BOOST_TEST(one.engine.figures().keys == 2U);
    BOOST_TEST(one.engine.figures().evicted == 2U);
    one.call_key(key_at(day_start + milliseconds{1}, 1));
    BOOST_TEST(told(one) == "unknown key_expired");
    one.call_key(key_at(day_start + milliseconds{4}, 4));
    BOOST_TEST(told(one) == "stored none");
}

BOOST_AUTO_TEST_CASE(ignores_a_claim_that_was_released_before)
{
    claim_table table{{}};
    auto const key = key_at(day_start);
    claim_record const first{.key = key, .attempt = key_at(day_start, 8)};
    claim_record const second{.key = key, .attempt = key_at(day_start, 9)};
    BOOST_CHECK(table.apply(first, day_start) == applied::won);
    BOOST_CHECK(table.apply(second, day_start) == applied::lost);
    release_record const release{.key = key, .attempt = first.attempt};
    BOOST_CHECK(table.apply(release, day_start) == applied::released);
    BOOST_CHECK(table.apply(first, day_start) == applied::repeated);
    BOOST_CHECK(table.apply(second, day_start) == applied::won);
}

RC_BOOST_PROP(records_survive_their_encoding,
              (std::uint64_t number, std::string const& text, bool known))
{
    auto const id = key_at(day_start, number);
    outcome result{.known = known};
    if (known) {
        result.status = int(number % 600);
        result.content_type = "text/plain";
        result.body = text;
        result.whole = number % 2 == 0;
    }
    record const values[] = {
        mark_record{},
        claim_record{.key = id,
                     .digest = digest_of("a", "b", text),
                     .attempt = id,
                     .writer = "daemon/" + std::to_string(number)},
        release_record{.key = id, .attempt = id},
    };
    for (auto const& value : values) {
        RC_ASSERT(value_of(parse_record(to_json(value))).index() ==
                  value.index());
        RC_ASSERT(to_json(value_of(parse_record(to_json(value)))) ==
                  to_json(value));
    }
    record const done =
        outcome_record{.key = id,
                       .attempt = id,
                       .result = std::make_shared<outcome const>(result)};
    auto const text_form = to_json(done).dump();
    auto const parsed = record_or_mark(nlohmann::json::parse(text_form));
    RC_ASSERT(*std::get<outcome_record>(parsed).result == result);
}

BOOST_AUTO_TEST_CASE(names_the_field_of_a_bad_record)
{
    auto const field = [](char const* text) {
        auto const parsed = parse_record(nlohmann::json::parse(text));
        return failed(parsed) ? error_of(parsed).field : std::string{};
    };
    BOOST_TEST(field("3") == "record");
    BOOST_TEST(field(R"({"kind":"steal"})") == "kind");
    BOOST_TEST(field(R"({"kind":"release","key":"x"})") == "key");
    BOOST_TEST(field(R"({"kind":"claim","key":
        "0190a3b0-7b1c-7000-8000-000000000000","digest":"zz"})") == "digest");
    BOOST_TEST(field(R"({"kind":"outcome","status":"200"})") == "status");
}

BOOST_AUTO_TEST_CASE(the_first_read_of_a_stream_does_not_wait_for_records)
{
    // With an empty stream, no call was decided until the read's wait of 5 s
    // was over; one that had 5 s in all was told that its outcome is unknown.
    claim_engine engine{{.writer = "a", .streams = 1}};
    moment now{time_point{std::chrono::hours{1}}, day_start};
    auto const is_waiting_read = [](actions const& todo) {
        for (auto const& one : todo) {
            if (auto const* read = std::get_if<read_action>(&one)) {
                return read->waits;
            }
        }
        BOOST_FAIL("nothing is read");
        return false;
    };
    BOOST_TEST(!is_waiting_read(engine.start(now)));
    std::ignore = engine.read_failed(0, now);
    now.steady += std::chrono::seconds{30};
    BOOST_TEST(!is_waiting_read(engine.tick(now)));
    BOOST_TEST(is_waiting_read(engine.records({.stream = 0}, now)));
}

BOOST_AUTO_TEST_SUITE_END()
