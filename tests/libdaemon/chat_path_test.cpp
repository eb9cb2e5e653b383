#include "standalone_fixture.hpp"

#include <medlarstall/standins/text_model.hpp>

using namespace medlarstall;
using namespace medlarstall::tests;

namespace {

/// Engine settings with a short delay between tokens, to keep tests short.
standins::engine_settings fast_engine_settings()
{
    standins::engine_settings settings;
    settings.speed.between_tokens = std::chrono::milliseconds{2};
    return settings;
}

struct chat_fixture : standalone_fixture
{
    chat_fixture() : standalone_fixture{fast_engine_settings()} {}
};

/// The engine generates tokens faster than the client reads them.
struct fast_engine_fixture : standalone_fixture
{
    fast_engine_fixture()
        : standalone_fixture{[] {
              standins::engine_settings settings;
              settings.speed.between_tokens = std::chrono::microseconds{10};
              return settings;
          }()}
    {}
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(chat_path_suite, chat_fixture)

BOOST_AUTO_TEST_CASE(streams_the_whole_answer)
{
    auto const response = chat("pole history #tokens=40");
    run_until([&] { return response->ended(); });
    BOOST_TEST(response->status == 200);
    BOOST_TEST(response->complete);
    BOOST_TEST(response->text() ==
               standins::expected_answer("pole history #tokens=40"));
    BOOST_TEST(response->body.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(response->field("Medlarstall-Backend-Server") == "writer-1");
}

BOOST_AUTO_TEST_CASE(returns_an_unstreamed_answer_in_one_response)
{
    auto const response = chat("note #tokens=12", false);
    run_until([&] { return response->ended(); });
    BOOST_TEST(response->status == 200);
    auto const body = response->json();
    BOOST_TEST(body["choices"][0]["message"]["content"] ==
               standins::expected_answer("note #tokens=12"));
    BOOST_TEST(body["usage"]["completion_tokens"] == 12);
}

BOOST_AUTO_TEST_CASE(survives_duplicated_late_reordered_and_lost_frames)
{
    engine.set({.duplicate_every = 3,
                .delay_every = 5,
                .cross_every = 4,
                .lose_every = 7});
    std::vector<std::pair<std::string, answer_pointer>> sent;
    for (int i = 0; i < 6; ++i) {
        auto const prompt = "draft " + std::to_string(i) + " #tokens=50";
        sent.emplace_back(prompt, chat(prompt));
    }
    for (auto const& [prompt, response] : sent) {
        run_until([&] { return response->ended(); });
        BOOST_TEST(response->text() == standins::expected_answer(prompt));
    }
}

BOOST_AUTO_TEST_CASE(resumes_a_stream_when_its_connection_breaks)
{
    auto const response = chat("long #tokens=100");
    run_until([&] { return response->body.size() > 2'000; });
    engine.drop_connections();
    run_until([&] { return response->ended(); });
    BOOST_TEST(response->text() ==
               standins::expected_answer("long #tokens=100"));
    BOOST_TEST(engine.runs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(resumes_a_stream_when_its_connection_goes_silent)
{
    auto const response = chat("long #tokens=100");
    run_until([&] { return response->body.size() > 2'000; });
    engine.silence_open_connections();
    run_until([&] { return response->ended(); });
    BOOST_TEST(response->text() ==
               standins::expected_answer("long #tokens=100"));
    BOOST_TEST(engine.runs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(cancels_the_run_when_the_caller_disconnects)
{
    auto const response = chat("gone #tokens=2000");
    run_until([&] { return response->body.size() > 500; });
    test_caller.leave(*response);
    auto const disconnected_at = std::chrono::steady_clock::now();
    run_until([&] { return engine.running() == 0; });
    BOOST_TEST(engine.runs().front().tokens < 2000U);
    // The run should be cancelled within one second; the limit is longer
    // because the machine that runs the test may be busy.
    BOOST_TEST(
        (std::chrono::steady_clock::now() - disconnected_at < wait_timeout));
}

BOOST_FIXTURE_TEST_CASE(buffers_for_a_slow_reader_are_bounded,
                        fast_engine_fixture)
{
    auto const response = chat("slow #tokens=100000");
    run_until([&] { return response->body.size() > 500; });
    test_caller.set_reading(*response, false);
    std::uint64_t previous_tokens = 0;
    // Flow control stops the engine once every buffer between it and the caller
    // is full.
    run_until([&] {
        for (int i = 0; i < 50; ++i) {
            io.run_for(std::chrono::milliseconds{10});
        }
        auto const tokens = engine.runs().front().tokens;
        bool const stalled = tokens == previous_tokens;
        previous_tokens = tokens;
        return stalled;
    });
    BOOST_TEST(response->body.size() < 1'000'000U);
    test_caller.set_reading(*response, true);
    run_until([&] { return response->ended(); });
    BOOST_TEST(response->text() ==
               standins::expected_answer("slow #tokens=100000"));
}

BOOST_AUTO_TEST_CASE(forwards_calls_of_a_repeatable_service)
{
    backend::outgoing_request request;
    request.method = "POST";
    request.url = url("/services/shop-desk/lookup?pole=7");
    request.fields = {{"Authorization", "Bearer key"}};
    request.body = "x";
    auto const response = test_caller.send(std::move(request));
    run_until([&] { return response->ended(); });
    BOOST_TEST(response->status == 200);
    BOOST_TEST(
        response->json()["answer"] ==
        standins::expected_service_answer("POST", "/lookup?pole=7", "x"));
}

BOOST_AUTO_TEST_CASE(drains_without_interrupting_a_stream)
{
    auto const response = chat("long #tokens=200");
    run_until([&] { return response->body.size() > 500; });
    std::optional<bool> nothing_interrupted;
    router->drain([&](bool result) { nothing_interrupted = result; });
    run_until([&] { return nothing_interrupted.has_value(); });
    BOOST_TEST(*nothing_interrupted);
    run_until([&] { return response->ended(); });
    BOOST_TEST(response->text() ==
               standins::expected_answer("long #tokens=200"));
}

BOOST_AUTO_TEST_SUITE_END()
