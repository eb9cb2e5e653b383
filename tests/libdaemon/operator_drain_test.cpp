#include "standalone_fixture.hpp"

using namespace medlarstall;
using namespace medlarstall::tests;

BOOST_FIXTURE_TEST_SUITE(operator_drain_suite, standalone_fixture)

// The process exits when a drain that an operator requested has ended, so the
// daemon must call the drained handler. The response that is being streamed
// must not be cut off.
BOOST_AUTO_TEST_CASE(calls_the_drained_handler_after_a_drain_by_an_operator)
{
    auto with_operator_key = settings();
    with_operator_key.bootstrap_key_digest = sha256_hex("operator");
    router = std::make_unique<daemon::daemon>(io, with_operator_key);
    auto const started = router->start();
    BOOST_REQUIRE(!failed(started));
    port = value_of(started).port;
    std::optional<bool> drained;
    router->set_drained_handler([&](bool clean) { drained = clean; });
    auto const response = chat("#tokens=30");
    run_until([&] { return !response->body.empty(); });
    auto const drain_response = test_caller.post(
        port, "operator", "/admin/v1/drain", nlohmann::json::object());
    run_until([&] { return drained.has_value(); });
    BOOST_TEST(drain_response->status == 200);
    BOOST_TEST(*drained);
    run_until([&] { return response->ended(); });
    BOOST_TEST(response->whole());
}

BOOST_AUTO_TEST_SUITE_END()
