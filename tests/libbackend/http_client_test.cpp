#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/standins/service_standin.hpp>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace medlarstall;
using namespace medlarstall::backend;

namespace {

/// Longest time that a test waits for a condition.
constexpr std::chrono::seconds wait_timeout{15};

/// A client and a service to which it sends requests.
struct fixture
{
    fixture() { service.start(); }

    [[nodiscard]] outgoing_request request(std::string const& key,
                                           bool repeatable) const
    {
        outgoing_request new_request;
        new_request.method = "POST";
        new_request.url =
            "http://127.0.0.1:" + std::to_string(service.port()) + "/x";
        new_request.fields = {{"Idempotency-Key", key}};
        new_request.body = "order";
        new_request.repeatable = repeatable;
        return new_request;
    }

    template<class Condition>
    void run_until(Condition condition)
    {
        auto const deadline = std::chrono::steady_clock::now() + wait_timeout;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            io.run_one_for(std::chrono::milliseconds{20});
        }
        BOOST_REQUIRE(condition());
    }

    fetch_result fetch(outgoing_request new_request)
    {
        std::optional<fetch_result> received;
        client.fetch(std::move(new_request), 1'000, [&](fetch_result outcome) {
            received = std::move(outcome);
        });
        run_until([&] { return received.has_value(); });
        return *std::move(received);
    }

    asio::io_context io{1};
    standins::service_standin service{io};
    http_client client{io, {}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_client_suite, fixture)

BOOST_AUTO_TEST_CASE(handlers_may_cancel_other_transfers_during_destruction)
{
    // Guards against a use after free at shutdown: while the client destroyed
    // the handlers of one transfer, they cancelled the next transfer, and the
    // daemon wrote to memory that was already released.
    struct canceller
    {
        http_client* client;
        std::vector<transfer_id> const* transfer_ids;
        ~canceller()
        {
            for (auto const id : *transfer_ids) {
                client->cancel(id);
            }
        }
    };
    std::vector<transfer_id> transfer_ids;
    std::optional<http_client> closing{std::in_place, io,
                                       http_client_settings{}};
    for (char key = 'a'; key < 'q'; ++key) {
        auto captured = std::make_shared<canceller>(&*closing, &transfer_ids);
        transfer_handlers handlers;
        handlers.on_data = [captured](std::string_view) {
        };
        auto const id = closing->start(request({key}, true), handlers);
        transfer_ids.push_back(id);
    }
    closing.reset();
    BOOST_TEST(transfer_ids.size() == 16U);
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

BOOST_AUTO_TEST_CASE(does_not_repeat_a_request_that_is_not_repeatable)
{
    // The first request leaves an idle connection behind.
    BOOST_TEST(fetch(request("a", true)).index() == 0U);
    service.set({.die_after = 1});
    auto const outcome = fetch(request("b", false));
    auto const* failure = std::get_if<transfer_failure>(&outcome);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST((failure->stage == transfer_stage::sent));
    BOOST_TEST(service.executions().at("b") == 1U);
}

BOOST_AUTO_TEST_CASE(reports_that_nothing_was_sent)
{
    service.stop();
    auto const outcome = fetch(request("a", false));
    auto const* failure = std::get_if<transfer_failure>(&outcome);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST((failure->stage == transfer_stage::nothing_sent));
}

BOOST_AUTO_TEST_CASE(times_out_if_the_server_sends_nothing)
{
    service.set({.no_answer = 1});
    auto new_request = request("a", false);
    new_request.receive_timeout = std::chrono::milliseconds{100};
    auto const outcome = fetch(std::move(new_request));
    auto const* failure = std::get_if<transfer_failure>(&outcome);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST(failure->timed_out);
    BOOST_TEST((failure->stage == transfer_stage::sent));
}

BOOST_AUTO_TEST_SUITE_END()
