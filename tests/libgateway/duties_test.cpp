// Tests how gateways take part in the lease of the exclusive duties.

#include "gateway_fixture.hpp"

#include <medlarstall/duty/lease_record.hpp>
#include <medlarstall/gateway/peer_update.hpp>
#include <medlarstall/gateway/suspension_watch.hpp>
#include <platform/store_client.hpp>

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>

using namespace medlarstall;
using namespace std::chrono_literals;
using gateway::append_status;
using json = nlohmann::json;

namespace {

constexpr char const* topic = "keyed.medlarstall-duties";

/// Gateways with duties and a short lease.
struct duty_fleet : gateway_fixture
{
    duty_fleet() : gateway_fixture{1}
    {
        duties = gateway::duty_settings{};
        duties->reports_usage = true;
        duties->lease = 1500ms;
        has_own_contexts = true;
        write_configuration(1);
    }

    [[nodiscard]] duty::lease_record record() const
    {
        auto const value = store.newest(topic, "lease");
        auto const read = duty::decode_lease_record(value.value_or(""));
        return failed(read) ? duty::lease_record{} : value_of(read);
    }

    bool wait_for_holder(duty::fencing_token after)
    {
        return run_until(
            [&] { return record().token > after && !record().released; });
    }

    std::size_t holder_index() const
    {
        auto const holder = record().holder;
        return std::stoul(holder.substr(holder.find('-') + 1));
    }

    json duties_status(std::size_t at)
    {
        auto const answer =
            get(gateways[at]->settings().peer_address, "/v1/status");
        return json::parse(answer.body).at("duties");
    }
};

/// Appends a record on a condition, and waits for the outcome.
gateway::append_outcome append(asio::io_context& context,
                               asio::ip::tcp::endpoint const& address,
                               std::uint64_t at)
{
    auto const client =
        std::make_shared<platform::store_client>(context, address);
    std::optional<gateway::append_outcome> outcome;
    client->append_at(gateway::record_topic::duties, {"lease", "x", 0}, at,
                      [&](gateway::append_outcome const& result) {
                          outcome = result;
                          context.stop();
                      });
    context.restart();
    context.run_for(5s);
    BOOST_REQUIRE(outcome.has_value());
    return *outcome;
}

json to_json(gateway::peer_update const& update)
{
    return json::from_cbor(encode(update));
}

result<gateway::peer_update> from_json(json const& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return gateway::decode_peer_update(bytes);
}

} // namespace

BOOST_AUTO_TEST_SUITE(duties_suite)

// Guards against an append that was not executed and is taken for one that was.
BOOST_AUTO_TEST_CASE(outcomes_of_a_conditional_append_are_told_apart)
{
    gateway_fixture fixture{0};
    auto& context = fixture.context;
    auto& store = fixture.store;
    auto const first = append(context, store.address(), 0);
    BOOST_TEST((first.status == append_status::accepted));
    BOOST_TEST(first.end.offset == 1U);
    BOOST_TEST(first.end.era == 1U);
    BOOST_TEST((append(context, store.address(), 0).status ==
                append_status::conflict));
    BOOST_TEST((append(context, store.address(), 2).status ==
                append_status::conflict));
    store.set_mood(platform_standins::store_mood::turning_away);
    BOOST_TEST(
        (append(context, store.address(), 1).status == append_status::refused));
    store.set_mood(platform_standins::store_mood::silent);
    BOOST_TEST(
        (append(context, store.address(), 1).status == append_status::unknown));
    asio::ip::tcp::endpoint const nobody{asio::ip::make_address("127.0.0.1"),
                                         1};
    BOOST_TEST((append(context, nobody, 1).status == append_status::refused));
    store.set_mood(platform_standins::store_mood::serving);
    BOOST_TEST(append(context, store.address(), 1).end.offset == 2U);
}

// Guards against daemons of another version that do not understand each other.
BOOST_AUTO_TEST_CASE(updates_with_and_without_the_lease_are_read)
{
    gateway::peer_update update;
    update.daemon = "g-1";
    BOOST_TEST(!to_json(update).contains("le"));
    auto const old = from_json(to_json(update));
    BOOST_TEST(!value_of(old).lease.has_value());
    update.lease = duty::lease_notice{7, "g-2", 400ms, true};
    auto const read = from_json(to_json(update));
    BOOST_TEST((value_of(read).lease == update.lease));
    auto wrong = to_json(update);
    wrong["le"] = json::array({"7", "g-2"});
    BOOST_TEST(failed(from_json(wrong)));
}

// Guards against a suspension that a holder does not notice.
BOOST_AUTO_TEST_CASE(clocks_that_run_apart_show_a_suspension)
{
    gateway::suspension_watch watch;
    BOOST_TEST(!watch.check({10s, 10s, 100s}));
    BOOST_TEST(!watch.check({11s, 11s, 101s}));
    BOOST_TEST(watch.check({12s, 14s, 104s}));
    BOOST_TEST(!watch.check({13s, 15s, 105s}));
    BOOST_TEST(watch.check({14s, 16s, 108400ms}));
    BOOST_TEST(!watch.check({15s, 17s, 108250ms})); // Moved back.
}

// Guards against daemons without duties that call the store.
BOOST_AUTO_TEST_CASE(a_daemon_without_duties_does_not_use_the_lease)
{
    duty_fleet fleet;
    fleet.duties->reports_usage = false;
    fleet.add_gateways(1);
    BOOST_REQUIRE(fleet.wait_until_ready(0));
    fleet.run_for(4s);
    BOOST_TEST(!fleet.store.newest(topic, "lease").has_value());
    BOOST_TEST(fleet.duties_status(0).is_null());
}

// Guards against a lease that is lost or kept when its holder stops, and when
// all daemons are restarted, and against tokens that are used again.
BOOST_AUTO_TEST_CASE(the_lease_passes_from_daemon_to_daemon)
{
    duty_fleet fleet;
    fleet.add_gateways(3);
    BOOST_REQUIRE(fleet.wait_for_holder(0));
    fleet.run_for(2s);
    auto const first = fleet.record();
    auto const stopped = fleet.holder_index();
    for (std::size_t at = 0; at < 3; ++at) {
        auto const state = fleet.duties_status(at);
        BOOST_TEST(state.at("holder") == first.holder);
        BOOST_TEST(state.at("own") == (at == stopped));
    }
    fleet.gateways[stopped]->stop([] {});
    BOOST_REQUIRE(fleet.wait_for_holder(first.token));
    auto const second = fleet.record();
    BOOST_TEST(second.token == first.token + 1);
    BOOST_TEST(second.holder != first.holder);
    BOOST_TEST(second.previous_holder == first.holder);
    fleet.kill_gateways();
    fleet.first_start = false;
    fleet.add_gateways(3);
    BOOST_REQUIRE(fleet.wait_for_holder(second.token));
    BOOST_TEST(fleet.log_text().find("event=duties change=taken") !=
               std::string::npos);
}

// Guards against two holders after the store was restored from a copy, and
// against tokens of before that are used again.
BOOST_AUTO_TEST_CASE(tokens_grow_although_the_store_is_restored)
{
    duty_fleet fleet;
    fleet.add_gateways(1);
    BOOST_REQUIRE(fleet.wait_for_holder(0));
    fleet.store.take_copy();
    fleet.kill_gateways();
    fleet.add_gateways(1);
    BOOST_REQUIRE(fleet.wait_for_holder(1));
    fleet.kill_gateways();
    fleet.store.return_from_copy();
    fleet.add_gateways(1);
    BOOST_REQUIRE(fleet.wait_for_holder(2));
    BOOST_TEST(fleet.record().token > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
