#include "standalone_fixture.hpp"

using namespace medlarstall;
using namespace medlarstall::tests;

BOOST_FIXTURE_TEST_SUITE(operator_drain_suite, standalone_fixture)

// The program ends once an operator's drain has ended, so the daemon must say
// so; the answer that is under way is not cut off.
BOOST_AUTO_TEST_CASE(tells_its_owner_that_an_operator_drained_it)
{
    auto with = settings();
    with.bootstrap_key_digest = sha256_hex("operator");
    router = std::make_unique<daemon::daemon>(io, with);
    auto const started = router->start();
    BOOST_REQUIRE(!failed(started));
    port = value_of(started).port;
    std::optional<bool> drained;
    router->when_drained([&](bool clean) { drained = clean; });
    auto const under_way = chat("#tokens=30");
    run_until([&] { return !under_way->body.empty(); });
    auto const asked = from.post(port, "operator", "/admin/v1/drain",
                                 nlohmann::json::object());
    run_until([&] { return drained.has_value(); });
    BOOST_TEST(asked->status == 200);
    BOOST_TEST(*drained);
    run_until([&] { return under_way->ended(); });
    BOOST_TEST(under_way->whole());
}

BOOST_AUTO_TEST_SUITE_END()
