#include <medlarstall/standins/engine_standin.hpp>

#include "event_loop.hpp"

#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/standins/service_standin.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::standins;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr char const* first_attempt = "01930000-0000-7000-8000-000000000001";

/// What a client got.
struct answer
{
    int status = 0;
    std::string body;
    bool done = false;
    bool broken = false;

    [[nodiscard]] std::vector<json> frames() const
    {
        std::vector<json> found;
        std::istringstream lines{body};
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("data: {")) {
                found.push_back(json::parse(line.substr(6)));
            }
        }
        return found;
    }

    [[nodiscard]] std::string text() const
    {
        std::string joined;
        for (auto const& frame : frames()) {
            joined += frame["choices"][0]["delta"].value("content", "");
        }
        return joined;
    }

    [[nodiscard]] bool finished() const
    {
        return body.ends_with("data: [DONE]\n\n");
    }
};

struct engine_fixture
{
    asio::io_context context{1};
    engine_standin engine{context,
                          {.speed = {.slots = 2,
                                     .waiting_limit = 1,
                                     .between_tokens = 2ms,
                                     .prefill_per_token = 1us},
                           .known_models = {"loom", "other"},
                           .models = {"loom"},
                           .model_load_time = 1ms,
                           .load_lag = 0ms,
                           .cache_event_lag = 0ms}};
    backend::http_client http{context, {}};

    engine_fixture() { engine.start(); }

    std::shared_ptr<answer> send(std::string method, std::string const& path,
                                 std::string body = "",
                                 std::string const& attempt = "")
    {
        auto const got = std::make_shared<answer>();
        backend::outgoing_request request{
            .method = std::move(method),
            .url = "http://127.0.0.1:" + std::to_string(engine.port()) + path,
            .body = std::move(body),
            .repeatable = false};
        if (!attempt.empty()) {
            request.fields.emplace_back("X-Attempt-Id", attempt);
        }
        http.start(
            std::move(request),
            {.on_head = [got](auto const& head) { got->status = head.status; },
             .on_data = [got](auto data) { got->body += data; },
             .on_done =
                 [got](auto const* failure) {
                     got->done = true;
                     got->broken = failure != nullptr;
                 }});
        return got;
    }

    std::shared_ptr<answer> ask(std::string const& prompt,
                                std::string const& attempt = "")
    {
        json const body{
            {"model", "loom"},
            {"stream", true},
            {"messages", {{{"role", "user"}, {"content", prompt}}}}};
        return send("POST", "/v1/chat/completions", body.dump(), attempt);
    }

    void finish(std::shared_ptr<answer> const& got)
    {
        run_until(context, [&] { return got->done; });
    }

    void wait_for_tokens(std::shared_ptr<answer> const& got, std::size_t count)
    {
        run_until(context, [&] { return got->frames().size() >= count; });
    }
};

std::string stream_path(std::string const& rest)
{
    return std::string{"/streams/"} + first_attempt + rest;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(engine_standin_suite, engine_fixture)

BOOST_AUTO_TEST_CASE(streams_the_expected_answer)
{
    auto const got = ask("hello", first_attempt);
    finish(got);
    BOOST_TEST(got->text() == expected_answer("hello"));
    BOOST_TEST(got->finished());
    auto const frames = got->frames();
    for (std::size_t index = 0; index < frames.size(); ++index) {
        BOOST_TEST(frames[index]["id"] == first_attempt);
        BOOST_TEST(frames[index]["token_index"] == index);
    }
    BOOST_REQUIRE(engine.runs().size() == 1U);
    BOOST_TEST(engine.runs()[0].tokens == frames.size() - 1);
    BOOST_TEST((engine.runs()[0].state == stream_state::finished));
}

BOOST_AUTO_TEST_CASE(limits_and_whole_answers)
{
    json const body{{"model", "loom"},
                    {"max_tokens", 3},
                    {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
    auto const got = send("POST", "/v1/chat/completions", body.dump());
    finish(got);
    auto const whole = json::parse(got->body);
    BOOST_TEST(whole["choices"][0]["message"]["content"] ==
               expected_answer("hello", 3));
    BOOST_TEST(whole["choices"][0]["finish_reason"] == "length");
}

BOOST_AUTO_TEST_CASE(refuses_before_running)
{
    auto const full = ask("#tokens=1000");
    auto const also = ask("#tokens=1000");
    run_until(context, [&] { return engine.running() == 2; });
    auto const queued = ask("#tokens=1");
    run_until(context, [&] { return engine.waiting() == 1; });
    auto const refused = ask("#tokens=1");
    finish(refused);
    BOOST_TEST(refused->status == 429);
    json body{{"model", "nobody"}, {"messages", json::array()}};
    auto const path = "/v1/chat/completions";
    auto const unknown = send("POST", path, body.dump());
    body["model"] = "other";
    auto const unloaded = send("POST", path, body.dump());
    auto const malformed = send("POST", path, "{");
    finish(unknown);
    finish(unloaded);
    finish(malformed);
    BOOST_TEST(unknown->status == 404);
    BOOST_TEST(unloaded->status == 503);
    BOOST_TEST(malformed->status == 400);
    BOOST_TEST(engine.runs().size() == 3U);
}

BOOST_AUTO_TEST_CASE(resumes_and_cancels)
{
    auto const first = ask("long #tokens=40", first_attempt);
    wait_for_tokens(first, 3);
    engine.drop_connections();
    finish(first);
    BOOST_TEST(first->broken);
    auto const rest = send("GET", stream_path("?from=2"));
    finish(rest);
    BOOST_TEST(rest->finished());
    BOOST_TEST(rest->frames()[0]["token_index"] == 2);
    BOOST_TEST(rest->frames().size() == 39U);
    auto const second = ask("long #tokens=1000");
    wait_for_tokens(second, 1);
    auto const id = second->frames()[0]["id"].get<std::string>();
    auto const cancelled = send("DELETE", "/streams/" + id);
    finish(cancelled);
    BOOST_TEST(cancelled->status == 204);
    finish(second);
    BOOST_TEST(!second->finished());
    BOOST_TEST(engine.running() == 0U);
}

BOOST_AUTO_TEST_CASE(keeps_continues_and_moves_a_preempted_stream)
{
    std::string const prompt = "long #tokens=40";
    auto const first = ask(prompt, first_attempt);
    wait_for_tokens(first, 3);
    auto const kept = send("DELETE", stream_path("?keep=1"));
    finish(kept);
    finish(first);
    BOOST_TEST(engine.running() == 0U);
    BOOST_TEST(json::parse(kept->body)["tokens"] == first->frames().size());
    auto const state = send("GET", stream_path("/state"));
    finish(state);
    engine_standin other{context, {.speed = {.between_tokens = 1ms}}};
    other.start();
    auto const moved = std::make_shared<answer>();
    auto const base = "http://127.0.0.1:" + std::to_string(other.port());
    http.fetch({.method = "PUT",
                .url = base + stream_path("/state"),
                .body = state->body},
               1U << 20U, [&](auto const&) {
                   http.fetch({.method = "POST",
                               .url = base + stream_path("/continue?from=0")},
                              1U << 20U, [&](auto const& outcome) {
                                  auto const& response =
                                      std::get<backend::fetched_response>(
                                          outcome);
                                  moved->body = response.body;
                                  moved->done = true;
                              });
               });
    finish(moved);
    BOOST_TEST(moved->text() == expected_answer(prompt));
    auto const here = send("POST", stream_path("/continue?from=0&priority=1"));
    finish(here);
    BOOST_TEST(here->text() == expected_answer(prompt));
    BOOST_TEST(here->finished());
    auto const again = send("POST", stream_path("/continue?from=0"));
    finish(again);
    BOOST_TEST(again->status == 404);
}

BOOST_AUTO_TEST_CASE(crashes_on_the_marker_and_restarts)
{
    auto const port = engine.port();
    engine.set({.crash_marker = "fatal", .restart_after = 10ms});
    auto const bystander = ask("#tokens=1000");
    wait_for_tokens(bystander, 1);
    auto const culprit = ask("a fatal prompt");
    finish(culprit);
    finish(bystander);
    BOOST_TEST(culprit->broken);
    BOOST_TEST(bystander->broken);
    BOOST_TEST(engine.crashes() == 1U);
    auto healthy = send("GET", "/healthz");
    run_until(context, [&] {
        if (healthy->done && healthy->status != 200) {
            healthy = send("GET", "/healthz");
        }
        return healthy->status == 200;
    });
    BOOST_TEST(engine.port() == port);
    auto const got = ask("hello");
    finish(got);
    BOOST_TEST(got->text() == expected_answer("hello"));
}

BOOST_AUTO_TEST_CASE(goes_silent_on_open_connections_only)
{
    auto const got = ask("#tokens=50", first_attempt);
    wait_for_tokens(got, 3);
    engine.silence_open_connections();
    auto const rest = send("GET", stream_path("?from=0"));
    finish(rest);
    BOOST_TEST(rest->finished());
    BOOST_TEST(!got->done);
    BOOST_TEST(got->frames().size() < 51U);
}

BOOST_AUTO_TEST_CASE(spoils_frames)
{
    engine.set({.duplicate_every = 3,
                .delay_every = 4,
                .cross_every = 5,
                .lose_every = 7,
                .lose_finish = true});
    auto const spoilt = ask("#tokens=30", first_attempt);
    finish(spoilt);
    BOOST_TEST(!spoilt->finished());
    std::map<std::uint64_t, int> copies;
    int foreign = 0;
    int backwards = 0;
    std::uint64_t previous = 0;
    for (auto const& frame : spoilt->frames()) {
        if (frame["id"] != first_attempt) {
            ++foreign;
            continue;
        }
        auto const index = frame["token_index"].get<std::uint64_t>();
        ++copies[index];
        backwards += index < previous ? 1 : 0;
        previous = index;
    }
    BOOST_TEST(copies.count(6) == 0U);
    BOOST_TEST(copies[2] == 2);
    BOOST_TEST(foreign > 0);
    BOOST_TEST(backwards > 0);
    engine.set({});
    auto const rest = send("GET", stream_path("?from=0"));
    finish(rest);
    BOOST_TEST(rest->text() == expected_answer("#tokens=30"));
}

BOOST_AUTO_TEST_CASE(checks_fencing_and_reports)
{
    auto const order = [&](int fencing, std::string const& id) {
        json const body{{"order_id", id},
                        {"fencing", fencing},
                        {"kind", "load_model"},
                        {"model", "other"}};
        auto const got = send("POST", "/orders", body.dump());
        finish(got);
        return got->status;
    };
    BOOST_TEST(order(5, "a") == 202);
    BOOST_TEST(order(4, "b") == 409);
    BOOST_TEST(order(5, "a") == 202);
    BOOST_TEST(engine.orders().size() == 1U);
    run_until(context, [&] { return engine.models().size() == 2; });
    auto const prompt = std::string(600, 'x') + " #tokens=2";
    finish(ask(prompt));
    auto const events = send("GET", "/cache-events?from=0&wait_ms=1000");
    finish(events);
    BOOST_TEST(json::parse(events->body)["events"].size() == 2U);
    auto const load = send("GET", "/load");
    finish(load);
    BOOST_TEST(json::parse(load->body)["slots"] == 2);
    auto const again = ask(prompt);
    finish(again);
    BOOST_TEST(again->frames().back()["usage"]["cached_tokens"] == 128);
}

BOOST_AUTO_TEST_CASE(counts_executions_of_a_service)
{
    service_standin service{context};
    service.start();
    service.set({.cut_midway = 1, .die_before = 1});
    auto const call = [&] {
        std::optional<backend::fetch_result> told;
        http.fetch({.method = "POST",
                    .url = "http://127.0.0.1:" +
                           std::to_string(service.port()) + "/orders?x=1",
                    .fields = {{"Idempotency-Key", "k"}},
                    .body = "b",
                    .repeatable = false},
                   1U << 20U, [&](auto const& outcome) { told = outcome; });
        run_until(context, [&] { return told.has_value(); });
        return *told;
    };
    BOOST_TEST(std::holds_alternative<backend::transfer_failure>(call()));
    BOOST_TEST(service.executions().empty());
    auto const cut = call();
    BOOST_REQUIRE(std::holds_alternative<backend::transfer_failure>(cut));
    BOOST_TEST((std::get<backend::transfer_failure>(cut).stage ==
                backend::transfer_stage::receiving));
    BOOST_TEST(service.executions()["k"] == 1U);
    auto const whole = call();
    auto const& response = std::get<backend::fetched_response>(whole);
    BOOST_TEST(json::parse(response.body)["answer"] ==
               expected_service_answer("POST", "/orders?x=1", "b"));
    BOOST_TEST(service.executions()["k"] == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(engine_model_suite)

// Every accepted stream ends with its planned length, never more streams run
// than there are slots, and a higher priority never waits behind a lower one.
RC_BOOST_PROP(runs_every_stream_once, ())
{
    auto const slots = *rc::gen::inRange(1U, 4U);
    engine_model model{{.slots = slots, .waiting_limit = 5}};
    time_point now{};
    std::vector<engine_stream_ptr> streams;
    auto const steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        auto const length = *rc::gen::inRange(0, 6);
        auto stream = model.submit(std::to_string(step),
                                   "#tokens=" + std::to_string(length),
                                   std::nullopt, *rc::gen::inRange(0, 3), now);
        if (stream) {
            streams.push_back(stream);
        } else {
            RC_ASSERT(model.waiting() == 5U);
        }
        if (!streams.empty() && *rc::gen::inRange(0, 4) == 0) {
            auto const& picked =
                streams[*rc::gen::inRange<std::size_t>(0, streams.size())];
            if (picked->state == stream_state::kept) {
                bool const resumed = model.resume(picked, 0, now);
                RC_ASSERT(resumed == (picked->state == stream_state::running));
            } else {
                model.keep(picked->attempt, now);
            }
        }
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 50)};
        model.advance(now, [&](engine_stream const& made) {
            RC_ASSERT(made.made <= made.plan.length);
        });
        RC_ASSERT(model.running() <= slots);
        RC_ASSERT(model.waiting() == 0U || model.running() == slots);
    }
    for (auto const& stream : streams) {
        if (stream->state == stream_state::kept) {
            model.cancel(stream->attempt, now);
        }
    }
    while (auto const due = model.next_due()) {
        model.advance(*due, [](engine_stream const&) {});
    }
    for (auto const& stream : streams) {
        RC_ASSERT(idle(*stream));
        RC_ASSERT(stream->state == stream_state::cancelled ||
                  stream->made == stream->plan.length);
    }
    RC_ASSERT(model.running() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
