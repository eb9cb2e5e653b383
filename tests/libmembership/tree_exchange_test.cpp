#include "fleet_lists.hpp"

#include <medlarstall/membership/tree_exchange.hpp>

#include <medlarstall/support/json_text.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <utility>

using namespace medlarstall;
using namespace medlarstall::membership;
using namespace std::chrono_literals;

namespace {

/// Simulates the tree exchanges of all daemons. Messages arrive with the next
/// step of 100 ms.
struct tree_fleet
{
    explicit tree_fleet(std::size_t count, std::size_t data_centres)
        : daemons{make_daemons(count, data_centres)}
    {
        for (auto const& daemon : daemons) {
            start(daemon);
        }
        update_daemons();
    }

    void start(daemon_info const& daemon)
    {
        exchanges.erase(daemon.id);
        exchanges.emplace(daemon.id,
                          tree_exchange{{.daemon_id = daemon.id,
                                         .data_centre = daemon.data_centre},
                                        ++starts});
    }

    void update_daemons()
    {
        for (auto& [id, exchange] : exchanges) {
            exchange.set_daemons(daemons);
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (auto const end = now + time; now < end; now += 100ms) {
            auto const due = std::exchange(in_flight, {});
            for (auto const& [from, outgoing] : due) {
                auto const found = exchanges.find(outgoing.to);
                if (found != exchanges.end()) {
                    found->second.on_message(from, outgoing.message);
                    // Delivers a duplicate, which must be ignored.
                    found->second.on_message(from, outgoing.message);
                }
            }
            for (auto& [id, exchange] : exchanges) {
                for (auto& outgoing : exchange.tick(now, window)) {
                    in_flight.emplace_back(id, std::move(outgoing));
                }
            }
        }
    }

    std::vector<daemon_info> daemons;
    std::map<std::string, tree_exchange> exchanges;
    std::vector<std::pair<std::string, outgoing_tree_message>> in_flight;
    time_point now{std::chrono::hours{1}};
    std::uint64_t window = 100;
    std::uint64_t starts = 0;
};

/// Returns a row with one request.
share_row make_row(std::uint64_t window, unsigned organisation,
                   std::uint64_t tokens)
{
    return {window,
            "org" + std::to_string(organisation),
            "urgent",
            {.tokens = tokens, .requests = 1}};
}

/// Sums up the tokens of all rows.
std::uint64_t total_tokens(std::vector<share_row> const& rows)
{
    std::uint64_t tokens = 0;
    for (auto const& row : rows) {
        tokens += row.counts.tokens;
    }
    return tokens;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tree_exchange_suite)

RC_BOOST_PROP(all_daemons_have_equal_shares, ())
{
    tree_fleet fleet{*rc::gen::inRange<std::size_t>(1, 40),
                     *rc::gen::inRange<std::size_t>(1, 5)};
    std::map<std::string, std::uint64_t> expected;
    for (int i = *rc::gen::inRange(1, 60); i > 0; --i) {
        auto const number = *rc::gen::inRange(0U, 12U);
        auto const tokens = *rc::gen::inRange<std::uint64_t>(1, 1000);
        auto const daemon_index =
            *rc::gen::inRange<std::size_t>(0, fleet.daemons.size());
        auto const row = make_row(fleet.window, number, tokens);
        fleet.exchanges.at(fleet.daemons[daemon_index].id).record(row);
        expected[row.organisation] += tokens;
        if (i % 8 == 0) {
            fleet.run(2s);
        }
    }
    fleet.run(60s);
    for (auto const& [id, exchange] : fleet.exchanges) {
        auto const rows = exchange.shares().rows(fleet.window);
        RC_ASSERT(rows.size() == expected.size());
        for (auto const& row : rows) {
            RC_ASSERT(row.counts.tokens == expected.at(row.organisation));
        }
    }
}

BOOST_AUTO_TEST_CASE(total_is_kept_with_many_organisations)
{
    tree_fleet fleet{30, 3};
    std::uint64_t expected = 0;
    for (unsigned i = 0; i < 3000; ++i) {
        auto const tokens = i == 77 ? 1'000'000 : i + 1;
        expected += tokens;
        fleet.exchanges.at(fleet.daemons[i % 30].id)
            .record(make_row(fleet.window, i, tokens));
    }
    fleet.run(40s);
    for (auto const& [id, exchange] : fleet.exchanges) {
        auto const rows = exchange.shares().rows(100);
        auto const largest = std::ranges::max(
            rows, {}, [](auto const& row) { return row.counts.tokens; });
        BOOST_TEST(largest.organisation == "org77");
        BOOST_TEST(largest.counts.tokens == 1'000'000U);
    }
    fleet.window += 2;
    fleet.run(60s);
    for (auto const& [id, exchange] : fleet.exchanges) {
        BOOST_TEST(total_tokens(exchange.shares().rows(100)) == expected);
    }
}

BOOST_AUTO_TEST_CASE(messages_keep_size_limit)
{
    share_tree tree{{.max_message_bytes = 1000}};
    tree.set_position({.parent = "parent"});
    for (unsigned i = 0; i < 1000; ++i) {
        tree.record(make_row(100, i, 1'000'000 + i));
    }
    tree_message message{.shares = tree.take_rows("parent", 100)};
    auto const bytes = nlohmann::json::to_cbor(to_json(message)).size();
    BOOST_TEST(bytes <= 1100U);
    BOOST_TEST(bytes >= 500U);
    BOOST_TEST(tree.dropped_tokens() == 0U);
    tree.set_position({});
    BOOST_TEST(tree.dropped_tokens() > 0U);
}

BOOST_AUTO_TEST_CASE(reports_versions_and_daemons_behind)
{
    tree_fleet fleet{60, 3};
    for (auto& [id, exchange] : fleet.exchanges) {
        exchange.set_applied_version(id == "daemon1007" ? 8 : 9,
                                     id == "daemon1007" ? "old" : "new");
    }
    fleet.run(3s);
    for (auto const& [id, exchange] : fleet.exchanges) {
        auto const summaries = exchange.in_force();
        BOOST_REQUIRE(summaries.size() == 3U);
        for (auto const& summary : summaries) {
            bool const has_daemon_behind = summary.data_centre == "dc1";
            BOOST_TEST(summary.daemon_count == 20U);
            BOOST_TEST(summary.max_offset == 9U);
            BOOST_TEST(summary.min_offset == (has_daemon_behind ? 8U : 9U));
            BOOST_TEST(summary.chain_digest == "new");
            BOOST_TEST(!summary.digest_mismatch);
            BOOST_TEST(summary.daemons_behind.size() ==
                       (has_daemon_behind ? 1U : 0U));
            BOOST_TEST((!has_daemon_behind ||
                        summary.daemons_behind.front() == "daemon1007"));
        }
    }
    fleet.exchanges.at("daemon1004").set_applied_version(9, "other");
    fleet.run(3s);
    BOOST_TEST(fleet.exchanges.at("daemon1000").in_force()[1].digest_mismatch);
}

BOOST_AUTO_TEST_CASE(sends_loads_within_data_centre)
{
    tree_fleet fleet{40, 2};
    fleet.exchanges.at("daemon1004").set_load(9, false, fleet.now);
    fleet.run(20s);
    fleet.exchanges.at("daemon1006").set_load(0, true, fleet.now);
    fleet.run(1s); // The start of a drain is sent at once.
    for (auto const& daemon : fleet.daemons) {
        auto const& exchange = fleet.exchanges.at(daemon.id);
        auto const* load = exchange.load_of("daemon1004");
        BOOST_TEST((load != nullptr) == (daemon.data_centre == "dc0"));
        BOOST_TEST((load == nullptr || load->load == 9U));
        if (daemon.data_centre == "dc0") {
            BOOST_TEST(exchange.load_of("daemon1006")->draining);
        }
    }
}

BOOST_AUTO_TEST_CASE(continues_after_tree_change)
{
    tree_fleet fleet{40, 2};
    fleet.run(1s);
    // The root of a data centre stops and another daemon is restarted.
    auto root = fleet.daemons[0].id;
    while (!place_in_tree(fleet.daemons, root).parent.empty()) {
        root = place_in_tree(fleet.daemons, root).parent;
    }
    fleet.exchanges.erase(root);
    std::erase_if(fleet.daemons,
                  [&](auto const& daemon) { return daemon.id == root; });
    fleet.start(fleet.daemons[5]);
    fleet.update_daemons();
    for (auto& [id, exchange] : fleet.exchanges) {
        exchange.set_applied_version(3, "chain");
    }
    fleet.exchanges.at(fleet.daemons[5].id).record(make_row(100, 1, 5));
    fleet.run(40s);
    for (auto const& [id, exchange] : fleet.exchanges) {
        BOOST_TEST(total_tokens(exchange.shares().rows(100)) == 5U);
        for (auto const& summary : exchange.in_force()) {
            BOOST_TEST(summary.min_offset == 3U);
        }
    }
}

RC_BOOST_PROP(parses_arbitrary_input_without_crash,
              (std::vector<std::uint8_t> const& bytes))
{
    auto const value = parse_cbor(std::string{bytes.begin(), bytes.end()});
    if (!failed(value)) {
        static_cast<void>(failed(parse_tree_message(value_of(value))));
    }
}

BOOST_AUTO_TEST_CASE(tree_message_round_trip)
{
    tree_message const message{
        .incarnation = 7,
        .sequence = 8,
        .loads = {{"a", 1, 2, 3, true}},
        .subtree = in_force_summary{"dc", 2, 3, 4, "c", true, {"b"}},
        .in_force = {{"dc", 2, 3, 4, "c", false, {}}},
        .shares = {{5, "org", "urgent", {1, 2, 3, 4}}}};
    auto const bytes = nlohmann::json::to_cbor(to_json(message));
    auto const read = parse_tree_message(nlohmann::json::from_cbor(bytes));
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST((value_of(read) == message));
}

BOOST_AUTO_TEST_SUITE_END()
