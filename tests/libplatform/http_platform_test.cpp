#include <medlarstall/platform/http_platform.hpp>

#include "event_loop.hpp"

#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/platform/log_follower.hpp>
#include <medlarstall/platform/memory_platform.hpp>
#include <medlarstall/standins/platform_standin.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarstall;
using namespace medlarstall::platform;
using namespace std::chrono_literals;

static_assert(platform_client<http_platform>);
static_assert(platform_client<memory_platform>);

namespace {

/// The platform stand-in and a client that first tries a closed port.
struct http_fixture
{
    asio::io_context context{1};
    standins::platform_standin standin{context};
    backend::http_client http{context, {}};
    std::unique_ptr<http_platform> platform;

    http_fixture()
    {
        standin.start();
        set_addresses({"127.0.0.1:1", address()});
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(standin.port());
    }

    void set_addresses(std::vector<std::string> addresses)
    {
        platform = std::make_unique<http_platform>(
            context, http,
            http_platform_settings{.addresses = std::move(addresses),
                                   .try_timeout = 300ms,
                                   .appends_in_flight = 2,
                                   .max_waiting_appends = 4});
    }

    append_outcome append(std::uint64_t sequence,
                          std::chrono::milliseconds limit = 10s)
    {
        std::optional<append_outcome> told;
        platform->append(
            "claims",
            {.writer = "w", .sequence = sequence, .records = {sequence}}, limit,
            [&](append_outcome outcome) { told = std::move(outcome); });
        BOOST_TEST(!told.has_value());
        run_until(context, [&] { return told.has_value(); });
        return *told;
    }

    [[nodiscard]] std::size_t appended() const
    {
        return standin.log("claims").records.size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_platform_suite, http_fixture)

BOOST_AUTO_TEST_CASE(appends_through_the_second_address)
{
    auto const outcome = append(1);
    BOOST_REQUIRE(std::holds_alternative<append_receipt>(outcome));
    BOOST_TEST(std::get<append_receipt>(outcome).offset == 0U);
    BOOST_TEST(appended() == 1U);
}

BOOST_AUTO_TEST_CASE(appends_once_when_replies_are_lost)
{
    standin.set({.lose_reply = 3});
    auto const outcome = append(1);
    BOOST_REQUIRE(std::holds_alternative<append_receipt>(outcome));
    BOOST_TEST(std::get<append_receipt>(outcome).offset == 0U);
    BOOST_TEST(appended() == 1U);
    BOOST_TEST(standin.switches().lose_reply == 0U);
}

BOOST_AUTO_TEST_CASE(appends_once_when_the_effect_is_late)
{
    standin.set({.late_effect = 1, .late_by = 50ms});
    auto const outcome = append(1);
    BOOST_REQUIRE(std::holds_alternative<append_receipt>(outcome));
    asio::steady_timer later{context, 100ms};
    bool passed = false;
    later.async_wait([&](auto) { passed = true; });
    run_until(context, [&] { return passed; });
    BOOST_TEST(appended() == 1U);
}

BOOST_AUTO_TEST_CASE(promises_no_effect_only_after_refusals)
{
    set_addresses({address()});
    standin.set({.outage = true});
    auto outcome = append(1, 100ms);
    BOOST_REQUIRE(std::holds_alternative<append_failure>(outcome));
    BOOST_TEST(!std::get<append_failure>(outcome).may_take_effect);
    standin.set({.lose_reply = 1'000});
    outcome = append(2, 100ms);
    BOOST_REQUIRE(std::holds_alternative<append_failure>(outcome));
    BOOST_TEST(std::get<append_failure>(outcome).may_take_effect);
    BOOST_TEST(appended() == 1U);
}

BOOST_AUTO_TEST_CASE(waits_out_an_outage)
{
    standin.set({.outage = true});
    asio::steady_timer end{context, 200ms};
    end.async_wait([&](auto) { standin.set({}); });
    BOOST_TEST(std::holds_alternative<append_receipt>(append(1)));
}

BOOST_AUTO_TEST_CASE(leaves_a_silent_connection)
{
    BOOST_TEST(std::holds_alternative<append_receipt>(append(1)));
    standin.silence_open_connections();
    BOOST_TEST(std::holds_alternative<append_receipt>(append(2)));
    BOOST_TEST(appended() == 2U);
}

BOOST_AUTO_TEST_CASE(refuses_what_exceeds_its_bounds)
{
    standin.set({.delay = 50ms});
    unsigned refused = 0;
    unsigned done = 0;
    for (std::uint64_t sequence = 0; sequence < 10; ++sequence) {
        platform->append(
            "claims",
            {.writer = "w", .sequence = sequence, .records = {sequence}}, 10s,
            [&](append_outcome const& outcome) {
                ++done;
                if (std::holds_alternative<append_failure>(outcome)) {
                    ++refused;
                }
            });
    }
    BOOST_TEST(platform->pending_appends() == 6U);
    run_until(context, [&] { return done == 10; });
    BOOST_TEST(refused == 4U);
    BOOST_TEST(appended() == 6U);
    std::optional<append_outcome> told;
    platform->append("claims",
                     {.writer = "w",
                      .sequence = 99,
                      .records = {std::string(2U << 20U, 'x')}},
                     10s, [&](auto const& outcome) { told = outcome; });
    run_until(context, [&] { return told.has_value(); });
    BOOST_TEST(!std::get<append_failure>(*told).may_take_effect);
}

BOOST_AUTO_TEST_CASE(follows_through_an_outage_and_expiry)
{
    std::vector<log_offset> seen;
    unsigned failures = 0;
    log_follower<http_platform> follower{
        context,
        *platform,
        "claims",
        {.limit = 2, .wait = 200ms},
        {.on_page =
             [&](log_page const& page) {
                 for (auto const& record : page.records) {
                     seen.push_back(record.offset);
                 }
             },
         .on_failure =
             [&](error const&) {
                 ++failures;
             }}};
    follower.start(0);
    for (std::uint64_t sequence = 0; sequence < 5; ++sequence) {
        append(sequence);
    }
    run_until(context, [&] { return seen.size() == 5; });
    standin.set({.outage = true});
    run_until(context, [&] { return failures > 0; });
    standin.expire("claims", 5);
    standin.set({});
    append(5);
    append(6);
    run_until(context, [&] { return seen.size() == 7; });
    std::vector<log_offset> const expected{0, 1, 2, 3, 4, 5, 6};
    BOOST_TEST(seen == expected, boost::test_tools::per_element());
    standin.expire("claims", 7);
    log_follower<http_platform> late{context,
                                     *platform,
                                     "claims",
                                     {},
                                     {.on_page = [](log_page const&) {},
                                      .on_failure =
                                          [](auto const&) {
                                          }}};
    late.start(0);
    run_until(context, [&] { return late.next() == 7; });
}

BOOST_AUTO_TEST_CASE(keeps_the_instance_list)
{
    instance const registered{.id = "d1",
                              .kind = instance_kind::daemon,
                              .address = "127.0.0.1",
                              .port = 80,
                              .peer_port = 81,
                              .data_centre = "penal",
                              .state = instance_state::leaving};
    std::optional<status> put;
    platform->put_instance(registered, 5s, [&](status const& s) { put = s; });
    run_until(context, [&] { return put.has_value(); });
    BOOST_TEST(!failed(*put));
    std::optional<result<instance_snapshot>> listed;
    platform->list_instances([&](auto const& snapshot) { listed = snapshot; });
    run_until(context, [&] { return listed.has_value(); });
    BOOST_REQUIRE(!failed(*listed));
    BOOST_REQUIRE(value_of(*listed).instances.size() == 1U);
    BOOST_TEST((value_of(*listed).instances[0] == registered));
    // An unchanged list comes from memory and is the same.
    listed.reset();
    platform->list_instances([&](auto const& snapshot) { listed = snapshot; });
    run_until(context, [&] { return listed.has_value(); });
    BOOST_REQUIRE(!failed(*listed));
    BOOST_TEST((value_of(*listed).instances[0] == registered));
    std::optional<status> removed;
    platform->remove_instance("d1", [&](status const& s) { removed = s; });
    run_until(context, [&] { return removed.has_value(); });
    listed.reset();
    platform->list_instances([&](auto const& snapshot) { listed = snapshot; });
    run_until(context, [&] { return listed.has_value(); });
    BOOST_TEST(value_of(*listed).instances.empty());
}

BOOST_AUTO_TEST_CASE(tells_a_refusal_of_the_weight_store)
{
    standin.set({.weight_reads_per_second = 0.0});
    std::optional<weight_outcome> told;
    auto const ask = [&] {
        told.reset();
        platform->read_weights("m", "1",
                               [&](auto const& outcome) { told = outcome; });
        run_until(context, [&] { return told.has_value(); });
    };
    ask();
    BOOST_TEST(std::holds_alternative<weight_info>(*told));
    ask();
    BOOST_REQUIRE(std::holds_alternative<weight_refusal>(*told));
    BOOST_TEST((std::get<weight_refusal>(*told).retry_after == 1s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(memory_platform_suite)

BOOST_AUTO_TEST_CASE(wakes_a_waiting_read)
{
    asio::io_context context{1};
    memory_platform platform{context};
    std::optional<result<log_page>> page;
    platform.read("l", {.from = 0, .wait = 30s},
                  [&](auto const& p) { page = p; });
    std::optional<append_outcome> told;
    auto const append = [&] {
        told.reset();
        platform.append("l", {.writer = "w", .records = {1, 2}}, 1s,
                        [&](auto const& outcome) { told = outcome; });
        BOOST_TEST(!told.has_value());
        run_until(context, [&] { return told && page; });
    };
    append();
    BOOST_TEST(value_of(*page).records.size() == 2U);
    append();
    BOOST_TEST(std::get<append_receipt>(*told).offset == 0U);
    page.reset();
    platform.read("l", {.from = 2, .wait = 1ms},
                  [&](auto const& p) { page = p; });
    run_until(context, [&] { return page.has_value(); });
    BOOST_TEST(value_of(*page).records.empty());
    BOOST_TEST(value_of(*page).end == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
