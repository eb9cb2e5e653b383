// Whole gateways that order backend servers.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

using namespace medlarstall;
using namespace std::chrono_literals;

namespace {

/// A gateway that holds the duties, with one listed backend server, and a
/// platform that accepts all calls.
struct scaling_gateway : gateway_fixture
{
    scaling_gateway() : gateway_fixture{1}
    {
        duties = gateway::duty_settings{};
        duties->scales = true;
        duties->lease = 1500ms;
        call_duty = [this](duty::duty_call const& call,
                           gateway::duty_caller const& caller,
                           std::chrono::milliseconds,
                           std::function<void(gateway::duty_response)> done) {
            if (auto const* const order =
                    std::get_if<duty::scale_order>(&call)) {
                orders.push_back(*order);
                tokens.push_back(caller.token);
            }
            asio::post(context, [done = std::move(done)] {
                done(gateway::duty_response::accepted);
            });
        };
    }

    void write_scaled_configuration(std::string const& field)
    {
        store.put("keyed.op", "config",
                  R"({"version":1,"routes":[{"name":"safe",)"
                  R"("hostname":"h.example","pathPrefix":"/safe/",)"
                  R"("routeType":"safe","service":"s"}],"services":[)"
                  R"({"name":"s","healthCheckPath":"/healthz")" +
                      field + "}]}");
    }

    std::vector<duty::scale_order> orders;
    std::vector<duty::fencing_token> tokens;
};

} // namespace

BOOST_AUTO_TEST_SUITE(autoscaling_gateway_suite)

// Guards against decisions that are never stored or never sent: each data
// centre must have its lowest number of servers.
BOOST_FIXTURE_TEST_CASE(orders_reach_the_platform_with_a_token, scaling_gateway)
{
    write_scaled_configuration(
        R"(,"autoscale":{"minInstances":1,"maxInstances":4,"bootTimeS":1,)"
        R"("spotPrice":0.2,"zonePrices":{"z":1.0,"y":0.8}})");
    add_gateway();
    BOOST_REQUIRE(run_until([this] { return orders.size() >= 2; }));
    for (auto const& order : orders) {
        BOOST_TEST(order.service == "s");
        BOOST_TEST(order.count <= 4U);
    }
    BOOST_TEST(std::ranges::all_of(
        tokens, [](duty::fencing_token token) { return token > 0; }));
    // The same order is not sent twice.
    auto const has_repetition =
        std::ranges::any_of(orders, [this](duty::scale_order const& order) {
            return std::ranges::count(orders, order) > 1;
        });
    BOOST_TEST(!has_repetition);
}

// Guards against orders for a service that has no limits for its servers.
BOOST_FIXTURE_TEST_CASE(nothing_is_ordered_without_limits, scaling_gateway)
{
    write_scaled_configuration("");
    add_gateway();
    run_for(6s);
    BOOST_TEST(orders.empty());
}

BOOST_AUTO_TEST_SUITE_END()
