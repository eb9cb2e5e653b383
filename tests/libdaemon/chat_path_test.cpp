#include "standalone_fixture.hpp"

#include <medlarstall/standins/text_model.hpp>

using namespace medlarstall;
using namespace medlarstall::tests;

namespace {

/// Tokens come quickly, so that tests are short.
standins::engine_settings quick()
{
    standins::engine_settings settings;
    settings.speed.between_tokens = std::chrono::milliseconds{2};
    return settings;
}

struct fixture : standalone_fixture
{
    fixture() : standalone_fixture{quick()} {}
};

/// Faster than any caller reads.
struct flooding_fixture : standalone_fixture
{
    flooding_fixture()
        : standalone_fixture{[] {
              standins::engine_settings settings;
              settings.speed.between_tokens = std::chrono::microseconds{10};
              return settings;
          }()}
    {}
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(chat_path_suite, fixture)

BOOST_AUTO_TEST_CASE(streams_the_whole_answer)
{
    auto const got = chat("pole history #tokens=40");
    run_until([&] { return got->ended(); });
    BOOST_TEST(got->status == 200);
    BOOST_TEST(got->complete);
    BOOST_TEST(got->text() ==
               standins::expected_answer("pole history #tokens=40"));
    BOOST_TEST(got->body.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(got->field("Medlarstall-Backend-Server") == "writer-1");
}

BOOST_AUTO_TEST_CASE(gives_the_whole_answer_at_once)
{
    auto const got = chat("note #tokens=12", false);
    run_until([&] { return got->ended(); });
    BOOST_TEST(got->status == 200);
    auto const body = got->json();
    BOOST_TEST(body["choices"][0]["message"]["content"] ==
               standins::expected_answer("note #tokens=12"));
    BOOST_TEST(body["usage"]["completion_tokens"] == 12);
}

BOOST_AUTO_TEST_CASE(survives_duplicated_late_crossed_and_lost_frames)
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
    for (auto const& [prompt, got] : sent) {
        run_until([&] { return got->ended(); });
        BOOST_TEST(got->text() == standins::expected_answer(prompt));
    }
}

BOOST_AUTO_TEST_CASE(takes_a_stream_up_again_when_its_connection_breaks)
{
    auto const got = chat("long #tokens=100");
    run_until([&] { return got->body.size() > 2'000; });
    engine.drop_connections();
    run_until([&] { return got->ended(); });
    BOOST_TEST(got->text() == standins::expected_answer("long #tokens=100"));
    BOOST_TEST(engine.runs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(takes_a_stream_up_again_when_its_connection_goes_silent)
{
    auto const got = chat("long #tokens=100");
    run_until([&] { return got->body.size() > 2'000; });
    engine.silence_open_connections();
    run_until([&] { return got->ended(); });
    BOOST_TEST(got->text() == standins::expected_answer("long #tokens=100"));
    BOOST_TEST(engine.runs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(cancels_the_work_of_a_caller_who_leaves)
{
    auto const got = chat("gone #tokens=2000");
    run_until([&] { return got->body.size() > 500; });
    from.leave(*got);
    auto const left = std::chrono::steady_clock::now();
    run_until([&] { return engine.running() == 0; });
    BOOST_TEST(engine.runs().front().tokens < 2000U);
    // The promise is one second; the test allows for a busy machine.
    BOOST_TEST((std::chrono::steady_clock::now() - left < patience));
}

BOOST_FIXTURE_TEST_CASE(a_slow_reader_does_not_grow_memory, flooding_fixture)
{
    auto const got = chat("slow #tokens=100000");
    run_until([&] { return got->body.size() > 500; });
    from.set_reading(*got, false);
    std::uint64_t before = 0;
    // The engine stops making progress once every buffer on the way is full.
    run_until([&] {
        for (int i = 0; i < 50; ++i) {
            io.run_for(std::chrono::milliseconds{10});
        }
        auto const made = engine.runs().front().tokens;
        bool const stalled = made == before;
        before = made;
        return stalled;
    });
    BOOST_TEST(got->body.size() < 1'000'000U);
    from.set_reading(*got, true);
    run_until([&] { return got->ended(); });
    BOOST_TEST(got->text() == standins::expected_answer("slow #tokens=100000"));
}

BOOST_AUTO_TEST_CASE(passes_calls_of_a_repeatable_service)
{
    backend::outgoing_request request;
    request.method = "POST";
    request.url = url("/services/shop-desk/lookup?pole=7");
    request.fields = {{"Authorization", "Bearer key"}};
    request.body = "x";
    auto const got = from.send(std::move(request));
    run_until([&] { return got->ended(); });
    BOOST_TEST(got->status == 200);
    BOOST_TEST(got->json()["answer"] == standins::expected_service_answer(
                                            "POST", "/lookup?pole=7", "x"));
}

BOOST_AUTO_TEST_CASE(drains_without_cutting_off_a_stream)
{
    auto const got = chat("long #tokens=200");
    run_until([&] { return got->body.size() > 500; });
    std::optional<bool> clean;
    router->drain([&](bool nothing_cut) { clean = nothing_cut; });
    run_until([&] { return clean.has_value(); });
    BOOST_TEST(*clean);
    run_until([&] { return got->ended(); });
    BOOST_TEST(got->text() == standins::expected_answer("long #tokens=200"));
}

BOOST_AUTO_TEST_SUITE_END()
