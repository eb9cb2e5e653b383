#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/standins/service_standin.hpp>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace medlarstall;
using namespace medlarstall::backend;

namespace {

/// Longest time that a test waits for what must happen.
constexpr std::chrono::seconds patience{15};

struct fixture
{
    fixture() { service.start(); }

    [[nodiscard]] outgoing_request request(std::string const& key,
                                           bool repeatable) const
    {
        outgoing_request made;
        made.method = "POST";
        made.url = "http://127.0.0.1:" + std::to_string(service.port()) + "/x";
        made.fields = {{"Idempotency-Key", key}};
        made.body = "order";
        made.repeatable = repeatable;
        return made;
    }

    template<class Condition>
    void run_until(Condition condition)
    {
        auto const limit = std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            io.run_one_for(std::chrono::milliseconds{20});
        }
        BOOST_REQUIRE(condition());
    }

    fetch_result fetch(outgoing_request made)
    {
        std::optional<fetch_result> got;
        client.fetch(std::move(made), 1'000,
                     [&](fetch_result outcome) { got = std::move(outcome); });
        run_until([&] { return got.has_value(); });
        return *std::move(got);
    }

    asio::io_context io{1};
    standins::service_standin service{io};
    http_client client{io, {}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_client_suite, fixture)

BOOST_AUTO_TEST_CASE(handlers_may_cancel_others_when_the_client_goes)
{
    // A daemon that ended with open orders wrote to memory that it had given
    // back: the end of one order cancelled the transfer of the next.
    struct canceller
    {
        http_client* client;
        std::vector<transfer_id> const* all;
        ~canceller()
        {
            for (auto const id : *all) {
                client->cancel(id);
            }
        }
    };
    std::vector<transfer_id> all;
    std::optional<http_client> closing{std::in_place, io,
                                       http_client_settings{}};
    for (char key = 'a'; key < 'q'; ++key) {
        auto held = std::make_shared<canceller>(&*closing, &all);
        transfer_handlers handlers;
        handlers.on_data = [held](std::string_view) {
        };
        auto const id = closing->start(request({key}, true), handlers);
        all.push_back(id);
    }
    closing.reset();
    BOOST_TEST(all.size() == 16U);
}

BOOST_AUTO_TEST_CASE(starts_a_transfer_from_within_a_handler)
{
    bool second_done = false;
    transfer_handlers handlers;
    handlers.on_data = [&](std::string_view) {
        client.fetch(request("b", true), 1'000,
                     [&](fetch_result const& outcome) {
                         BOOST_TEST(outcome.index() == 0U);
                         second_done = true;
                     });
    };
    client.start(request("a", true), handlers);
    run_until([&] { return second_done; });
}

BOOST_AUTO_TEST_CASE(never_sends_a_call_twice_that_may_not_be_repeated)
{
    // The first call leaves an idle connection behind.
    BOOST_TEST(fetch(request("a", true)).index() == 0U);
    service.set({.die_after = 1});
    auto const outcome = fetch(request("b", false));
    auto const* failure = std::get_if<transfer_failure>(&outcome);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST((failure->stage == transfer_stage::sent));
    BOOST_TEST(service.executions().at("b") == 1U);
}

BOOST_AUTO_TEST_CASE(tells_that_nothing_was_sent)
{
    service.stop();
    auto const outcome = fetch(request("a", false));
    auto const* failure = std::get_if<transfer_failure>(&outcome);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST((failure->stage == transfer_stage::nothing_sent));
}

BOOST_AUTO_TEST_CASE(notices_a_silent_server)
{
    service.set({.no_answer = 1});
    auto made = request("a", false);
    made.silence_timeout = std::chrono::milliseconds{100};
    auto const outcome = fetch(std::move(made));
    auto const* failure = std::get_if<transfer_failure>(&outcome);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST(failure->timed_out);
    BOOST_TEST((failure->stage == transfer_stage::sent));
}

BOOST_AUTO_TEST_SUITE_END()
