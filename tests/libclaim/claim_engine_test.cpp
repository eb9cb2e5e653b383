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

constexpr wall_time start_time{std::chrono::hours{480'000}};

uuid key_at(wall_time time, std::uint64_t number = 1)
{
    return make_uuid_v7(time, number, number);
}

/// An engine that reads and writes one stream of a model of the log. Nothing
/// fails unless the test causes it.
struct engine_fixture
{
    explicit engine_fixture(std::string writer_id = "a",
                            std::size_t max_keys = 100)
        : writer{std::move(writer_id)},
          engine{{.writer_id = writer, .stream_count = 1, .max_keys = max_keys}}
    {
        perform(engine.start(now));
        read();
    }

    void perform(actions const& due)
    {
        for (auto const& next : due) {
            if (auto const* append = std::get_if<append_action>(&next)) {
                sent_appends.push_back(*append);
            } else if (auto const* dispatch =
                           std::get_if<dispatch_action>(&next)) {
                dispatches.push_back(*dispatch);
            } else if (auto const* answer = std::get_if<answer_action>(&next)) {
                answers.push_back(*answer);
            }
        }
    }

    void submit_key(uuid const& key, char const* body = "body")
    {
        submit_text(to_string(key), body);
    }

    void submit_text(std::string const& key, char const* body = "body")
    {
        perform(engine.submit_call(
            {.id = ++last_call,
             .key = key,
             .digest = compute_call_digest("a", "POST /", body),
             .deadline = now.steady + milliseconds{100}},
            now));
    }

    void advance(milliseconds span)
    {
        now.steady += span;
        now.wall += span;
        perform(engine.tick(now));
    }

    /// Appends the records that the engine sent, without replying to it.
    void append_sent()
    {
        for (auto const& sent : sent_appends) {
            log->append(writer, sent.sequence, *sent.records, now.wall);
        }
        sent_appends.clear();
    }

    /// Passes the records that were not read yet to the engine.
    void read()
    {
        auto const batch = log->read(0, next_offset, 1'000);
        next_offset = batch.end_offset;
        perform(engine.on_records_read(batch, now));
    }

    /// Waits until queued records are due, then appends and reads them.
    void complete_appends()
    {
        advance(milliseconds{5});
        append_sent();
        read();
    }

    std::shared_ptr<model_log> log = std::make_shared<model_log>();
    std::string writer;
    event_time now{.steady = time_point{std::chrono::hours{1}},
                   .wall = start_time};
    claim_engine engine;
    std::uint64_t next_offset = 0;
    call_id last_call = 0;
    std::vector<append_action> sent_appends;
    std::vector<dispatch_action> dispatches;
    std::vector<answer_action> answers;
};

/// \return kind and reason of the last answer, or "nothing" without one
std::string last_answer(engine_fixture const& fixture)
{
    if (fixture.answers.empty()) {
        return "nothing";
    }
    auto const& last = fixture.answers.back();
    static constexpr char const* kinds[] = {"stored", "unknown", "mismatch",
                                            "not_run"};
    return std::string{kinds[int(last.kind)]} + " " +
           std::string{code_of(last.reason)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim_engine_suite)

BOOST_AUTO_TEST_CASE(runs_once_and_keeps_the_outcome)
{
    engine_fixture fixture;
    auto const key = key_at(start_time);
    fixture.submit_key(key);
    fixture.complete_appends();
    BOOST_TEST_REQUIRE(fixture.dispatches.size() == 1U);
    auto const attempt = fixture.dispatches[0].attempt;
    BOOST_TEST(fixture.engine.begin_dispatch(attempt));
    BOOST_TEST(!fixture.engine.begin_dispatch(attempt));
    fixture.submit_key(key);
    BOOST_TEST(last_answer(fixture) == "nothing");
    fixture.submit_key(key, "other");
    BOOST_TEST(last_answer(fixture) == "mismatch none");
    fixture.perform(fixture.engine.on_finished(
        attempt, {.known = true, .status = 201, .body = "done"}, fixture.now));
    BOOST_TEST(last_answer(fixture) == "stored none");
    fixture.complete_appends();
    fixture.submit_key(key);
    BOOST_TEST(fixture.answers.back().result->body == "done");
    BOOST_TEST(fixture.dispatches.size() == 1U);
    BOOST_TEST(fixture.engine.statistics().unsettled_attempts == 0U);
}

/// The outcome of another daemon's run is read while the claim of this daemon
/// is still in flight.
BOOST_AUTO_TEST_CASE(answers_from_a_run_that_was_read_before_the_own_claim)
{
    engine_fixture fixture;
    auto const key = key_at(start_time);
    fixture.submit_key(key);
    claim_record const claim{.key = key,
                             .digest =
                                 compute_call_digest("a", "POST /", "body"),
                             .attempt = key_at(start_time, 7),
                             .writer = "b"};
    outcome_record const done{
        .key = key,
        .attempt = claim.attempt,
        .result = std::make_shared<outcome const>(outcome{.known = true})};
    fixture.log->append("b", 1, {claim, done}, fixture.now.wall);
    fixture.read();
    BOOST_TEST(last_answer(fixture) == "stored none");
    BOOST_TEST(fixture.engine.statistics().unsettled_attempts == 0U);
}

BOOST_AUTO_TEST_CASE(drops_a_body_that_is_too_large)
{
    engine_fixture fixture;
    fixture.submit_key(key_at(start_time));
    fixture.complete_appends();
    fixture.perform(fixture.engine.on_finished(
        fixture.dispatches.at(0).attempt,
        {.known = true, .status = 200, .body = std::string(5'000, 'x')},
        fixture.now));
    fixture.complete_appends();
    fixture.submit_key(key_at(start_time));
    BOOST_TEST(!fixture.answers.back().result->body_kept);
    BOOST_TEST(fixture.answers.back().result->body.empty());
}

BOOST_AUTO_TEST_CASE(refuses_keys_that_cannot_be_claimed)
{
    engine_fixture fixture;
    fixture.submit_text("42");
    BOOST_TEST(last_answer(fixture) == "not_run malformed_key");
    fixture.submit_text("0190a3b0-7b1c-4000-8000-000000000000");
    BOOST_TEST(last_answer(fixture) == "not_run wrong_key_version");
    fixture.submit_key(key_at(start_time - std::chrono::minutes{11}));
    BOOST_TEST(last_answer(fixture) == "not_run key_expired");
    fixture.submit_key(key_at(start_time + std::chrono::seconds{6}));
    BOOST_TEST(last_answer(fixture) == "not_run key_in_future");
    BOOST_TEST(fixture.sent_appends.empty());
}

BOOST_AUTO_TEST_CASE(releases_a_claim_that_takes_effect_after_the_deadline)
{
    engine_fixture fixture;
    fixture.submit_key(key_at(start_time));
    fixture.advance(milliseconds{5});
    BOOST_TEST(fixture.sent_appends.size() == 1U);
    fixture.perform(fixture.engine.on_append_unknown(0, 1, fixture.now));
    fixture.advance(milliseconds{100});
    BOOST_TEST(last_answer(fixture) == "not_run log_unavailable");
    fixture.append_sent();
    fixture.read();
    BOOST_TEST(fixture.dispatches.empty());
    fixture.complete_appends();
    BOOST_TEST(fixture.engine.statistics().claims_released == 1U);
    BOOST_TEST(fixture.engine.statistics().unsettled_attempts == 0U);
    fixture.submit_key(key_at(start_time));
    fixture.complete_appends();
    BOOST_TEST(fixture.dispatches.size() == 1U);
}

/// The deadline passes while the process is suspended, so the timer for it has
/// not fired when the claim is read back.
BOOST_AUTO_TEST_CASE(dispatches_nothing_after_the_deadline)
{
    engine_fixture fixture;
    fixture.submit_key(key_at(start_time));
    fixture.advance(milliseconds{5});
    fixture.append_sent();
    fixture.now.steady += milliseconds{100};
    fixture.read();
    BOOST_TEST(fixture.dispatches.empty());
}

BOOST_AUTO_TEST_CASE(drops_an_abandoned_claim_after_a_failed_append)
{
    engine_fixture fixture;
    fixture.submit_key(key_at(start_time));
    fixture.advance(milliseconds{5});
    fixture.advance(milliseconds{100});
    BOOST_TEST(last_answer(fixture) == "not_run deadline");
    fixture.perform(fixture.engine.on_append_failed(0, 1, fixture.now));
    fixture.sent_appends.clear();
    fixture.advance(milliseconds{2'000});
    BOOST_TEST(fixture.sent_appends.empty());
    BOOST_TEST(fixture.engine.statistics().unsettled_attempts == 0U);
}

BOOST_AUTO_TEST_CASE(repeats_an_append_with_unknown_effect_unchanged)
{
    engine_fixture fixture;
    fixture.submit_key(key_at(start_time));
    fixture.advance(milliseconds{5});
    auto const first = fixture.sent_appends.at(0);
    fixture.perform(
        fixture.engine.on_append_unknown(0, first.sequence, fixture.now));
    fixture.advance(milliseconds{50});
    fixture.perform(
        fixture.engine.on_append_failed(0, first.sequence, fixture.now));
    fixture.submit_key(key_at(start_time, 2));
    fixture.advance(milliseconds{49});
    for (auto const& repeated : fixture.sent_appends) {
        BOOST_TEST(repeated.sequence == first.sequence);
        BOOST_TEST(repeated.records == first.records);
    }
    BOOST_TEST(fixture.sent_appends.size() == 3U);
}

/// The claim and its outcome have expired from the log, but the key is still
/// young enough to be accepted. It must not be run a second time.
BOOST_AUTO_TEST_CASE(answers_unknown_if_records_have_expired)
{
    engine_fixture fixture;
    fixture.submit_key(key_at(start_time));
    fixture.complete_appends();
    fixture.perform(fixture.engine.on_finished(fixture.dispatches.at(0).attempt,
                                               {.known = true}, fixture.now));
    fixture.complete_appends();
    fixture.advance(std::chrono::seconds{20});
    fixture.log->expire(fixture.now.wall);

    engine_fixture other{"b"};
    other.log = fixture.log;
    other.now = fixture.now;
    other.engine = claim_engine{{.writer_id = "b", .stream_count = 1}};
    other.next_offset = 0;
    other.perform(other.engine.start(other.now));
    other.read();
    BOOST_TEST(!other.engine.ready());
    other.submit_key(key_at(start_time));
    BOOST_TEST(last_answer(other) == "nothing");
    other.complete_appends();
    BOOST_TEST(other.engine.ready());
    BOOST_TEST(last_answer(other) == "unknown key_expired");
    BOOST_TEST(other.dispatches.empty());
}

/// The offsets show that the log has lost records which it should still have.
BOOST_AUTO_TEST_CASE(answers_unknown_after_a_gap_in_the_offsets)
{
    engine_fixture fixture;
    fixture.perform(fixture.engine.on_records_read(
        {.stream = 0,
         .end_offset = 6,
         .entries = {{.offset = 5, .time = fixture.now.wall, .writer = "b"}}},
        fixture.now));
    fixture.submit_key(key_at(start_time));
    BOOST_TEST(last_answer(fixture) == "unknown key_expired");
}

BOOST_AUTO_TEST_CASE(answers_unknown_for_evicted_keys)
{
    engine_fixture fixture{"a", 2};
    for (std::uint64_t i = 1; i <= 4; ++i) {
        fixture.submit_key(key_at(start_time + milliseconds{i}, i));
        fixture.complete_appends();
        fixture.perform(fixture.engine.on_finished(
            fixture.dispatches.back().attempt, {.known = true}, fixture.now));
        fixture.complete_appends();
    }
    BOOST_TEST(fixture.engine.statistics().kept_keys == 2U);
    BOOST_TEST(fixture.engine.statistics().evicted_keys == 2U);
    fixture.submit_key(key_at(start_time + milliseconds{1}, 1));
    BOOST_TEST(last_answer(fixture) == "unknown key_expired");
    fixture.submit_key(key_at(start_time + milliseconds{4}, 4));
    BOOST_TEST(last_answer(fixture) == "stored none");
}

BOOST_AUTO_TEST_CASE(ignores_a_claim_that_was_released_before)
{
    claim_table table{{}};
    auto const key = key_at(start_time);
    claim_record const first{.key = key, .attempt = key_at(start_time, 8)};
    claim_record const second{.key = key, .attempt = key_at(start_time, 9)};
    BOOST_CHECK(table.apply(first, start_time) == apply_result::won);
    BOOST_CHECK(table.apply(second, start_time) == apply_result::lost);
    release_record const release{.key = key, .attempt = first.attempt};
    BOOST_CHECK(table.apply(release, start_time) == apply_result::released);
    BOOST_CHECK(table.apply(first, start_time) == apply_result::repeated);
    BOOST_CHECK(table.apply(second, start_time) == apply_result::won);
}

RC_BOOST_PROP(records_survive_a_json_round_trip,
              (std::uint64_t number, std::string const& text, bool known))
{
    auto const id = key_at(start_time, number);
    outcome result{.known = known};
    if (known) {
        result.status = int(number % 600);
        result.content_type = "text/plain";
        result.body = text;
        result.body_kept = number % 2 == 0;
    }
    record const values[] = {
        mark_record{},
        claim_record{.key = id,
                     .digest = compute_call_digest("a", "b", text),
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
    auto const encoded = to_json(done).dump();
    auto const parsed = parse_record_or_mark(nlohmann::json::parse(encoded));
    RC_ASSERT(*std::get<outcome_record>(parsed).result == result);
}

BOOST_AUTO_TEST_CASE(reports_the_field_of_an_invalid_record)
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
    // If the first read of an empty stream waited for records, no call could
    // be decided until that wait of 5 s was over, and a call with a deadline of
    // 5 s would be told that its outcome is unknown.
    claim_engine engine{{.writer_id = "a", .stream_count = 1}};
    event_time now{time_point{std::chrono::hours{1}}, start_time};
    auto const read_waits = [](actions const& due) {
        for (auto const& next : due) {
            if (auto const* read = std::get_if<read_action>(&next)) {
                return read->wait_for_records;
            }
        }
        BOOST_FAIL("no read was requested");
        return false;
    };
    BOOST_TEST(!read_waits(engine.start(now)));
    std::ignore = engine.on_read_failed(0, now);
    now.steady += std::chrono::seconds{30};
    BOOST_TEST(!read_waits(engine.tick(now)));
    BOOST_TEST(read_waits(engine.on_records_read({.stream = 0}, now)));
}

BOOST_AUTO_TEST_SUITE_END()
