// Tests the calls of the exclusive duties as the platform sees them.

#include <platform/cloud_client.hpp>

#include <medlarstall/http/http_listener.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace medlarstall;
using namespace std::chrono_literals;
using gateway::duty_response;

namespace {

/// The interface of the platform; responds with a status, or not at all.
struct cloud_standin
{
    asio::io_context context{1};
    int status = 200; ///< 0: no response.
    std::vector<std::pair<http::request_head, std::string>> requests;
    std::vector<std::unique_ptr<http::exchange>> unanswered;
    http::http_listener listener{
        context,
        {[this](auto caller) { on_request(std::move(caller)); }, {}},
        8};
    std::shared_ptr<platform::cloud_client> client;

    cloud_standin()
    {
        BOOST_REQUIRE(
            !failed(listener.listen({asio::ip::make_address("127.0.0.1"), 0})));
        client = std::make_shared<platform::cloud_client>(context,
                                                          listener.address());
    }

    void on_request(std::unique_ptr<http::exchange> caller)
    {
        requests.emplace_back(caller->head(), caller->body());
        if (status == 0) {
            unanswered.push_back(std::move(caller));
        } else {
            caller->respond({{status, {}, {}}, ""});
        }
    }

    duty_response call(duty::duty_call const& what)
    {
        std::optional<duty_response> response;
        client->call(what, {"edge-1", 7}, 200ms, [&](duty_response result) {
            response = result;
            context.stop();
        });
        context.restart();
        context.run_for(2s);
        BOOST_REQUIRE(response.has_value());
        return *response;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(cloud_client_suite)

// Guards against calls that the platform does not understand or cannot fence.
BOOST_AUTO_TEST_CASE(calls_carry_holder_token_and_content)
{
    cloud_standin cloud;
    BOOST_TEST((cloud.call(duty::usage_report{41, {{"a", 3}, {"b", 0}}}) ==
                duty_response::accepted));
    BOOST_TEST((cloud.call(duty::scale_order{"s", "z-1", false, 12}) ==
                duty_response::accepted));
    BOOST_TEST((cloud.call(duty::scale_order{"s", "z-1", true, 0}) ==
                duty_response::accepted));
    BOOST_REQUIRE(cloud.requests.size() == 3U);
    auto const& [head, body] = cloud.requests[0];
    BOOST_TEST(head.method == "POST");
    BOOST_TEST(head.target == "/usage");
    BOOST_TEST(*head.headers.find("X-Duty-Holder") == "edge-1");
    BOOST_TEST(*head.headers.find("X-Fencing-Token") == "7");
    BOOST_TEST(body == R"({"counts":{"a":3,"b":0},"windowId":41})");
    BOOST_TEST(cloud.requests[1].first.target == "/scale");
    BOOST_TEST(cloud.requests[1].second ==
               R"({"desiredCount":12,"service":"s","zone":"z-1"})");
    BOOST_TEST(
        cloud.requests[2].second ==
        R"({"desiredCount":0,"service":"s","spotEnabled":true,"zone":"z-1"})");
    BOOST_TEST(cloud.listener.size() == 1U); // One connection for all calls.
}

// Guards against a call that may have been executed and is taken for one that
// was not, and the other way round.
BOOST_AUTO_TEST_CASE(outcomes_are_told_apart)
{
    cloud_standin cloud;
    duty::duty_call const call = duty::usage_report{1, {}};
    for (auto const& [status, expected] :
         std::vector<std::pair<int, duty_response>>{
             {200, duty_response::accepted},
             {409, duty_response::conflict},
             {429, duty_response::rejected},
             {503, duty_response::rejected},
             {400, duty_response::rejected},
             {500, duty_response::unanswered},
             {0, duty_response::unanswered},
             {200, duty_response::accepted}}) {
        cloud.status = status;
        BOOST_TEST_CONTEXT("status " << status)
        {
            BOOST_TEST((cloud.call(call) == expected));
        }
    }
    cloud.unanswered.clear();
    cloud.listener.close();
    cloud.client = std::make_shared<platform::cloud_client>(
        cloud.context,
        asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 1});
    BOOST_TEST((cloud.call(call) == duty_response::not_sent));
}

BOOST_AUTO_TEST_SUITE_END()
