// Tests which requests whole gateways count, and what they tell each other of
// their counts.

#include "gateway_fixture.hpp"

#include <medlarstall/duty/lease_record.hpp>
#include <medlarstall/duty/usage_reporter.hpp>
#include <medlarstall/duty/usage_state.hpp>
#include <medlarstall/gateway/peer_update.hpp>

#include <asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::gateway;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;
using platform_standins::behaviour;

/// \return requests of open windows in the lease record
std::uint64_t stored_requests(platform_standins::store_standin const& store)
{
    auto const value = store.newest("keyed.medlarstall-duties", "lease");
    auto const record = duty::decode_lease_record(value.value_or(""));
    if (failed(record) || !value_of(record).states.contains("usage")) {
        return 0;
    }
    auto const state =
        duty::decode_usage_state(value_of(record).states.at("usage"));
    std::uint64_t sum = 0;
    if (!failed(state)) {
        for (auto const& [window, rows] : value_of(state).open) {
            for (auto const& [counter, counts] : rows) {
                sum += counts.contains("small") ? counts.at("small") : 0;
            }
        }
    }
    return sum;
}

/// Gateways that count requests.
struct usage_fixture : gateway_fixture
{
    int sent = 0;

    explicit usage_fixture(std::size_t gateway_count, bool with_usage = true)
        : gateway_fixture{1}
    {
        counts_usage = with_usage;
        write_configuration(1);
        add_gateways(gateway_count);
        for (std::size_t at = 0; at < gateway_count; ++at) {
            BOOST_REQUIRE(wait_until_ready(at));
        }
    }

    json status(std::size_t gateway)
    {
        auto const answer =
            get(gateways[gateway]->settings().peer_address, "/v1/status");
        return json::parse(answer.body);
    }

    /// \return requests that a gateway knows of, of all daemons
    std::uint64_t known(std::size_t gateway)
    {
        std::uint64_t total = 0;
        auto const text = status(gateway);
        for (auto const& window : text.at("usage").at("windows")) {
            total += window.at(1).value("small", 0U);
        }
        return total;
    }

    /// \return number of requests that one more request adds to the count
    std::uint64_t counted(std::string const& path,
                          std::vector<behaviour> const& script)
    {
        for (auto const& what : script) {
            servers[0]->script(what);
        }
        auto const before = known(0);
        send_and_wait(0, "POST", path, "u" + std::to_string(++sent));
        servers[0]->clear_script();
        return known(0) - before;
    }
};

peer_update make_update()
{
    peer_update update;
    update.daemon = "d";
    update.incarnation = 5;
    update.sequence = 9;
    update.wall_clock = duty::wall_time{1'700'000'000'123ms};
    update.usage = {{340, {{340, {{"a", 7}, {"b", 300}}}, {341, {{"b", 1}}}}}};
    return update;
}

} // namespace

BOOST_AUTO_TEST_SUITE(usage_counts_suite)

BOOST_AUTO_TEST_CASE(counts_survive_encoding_and_decoding)
{
    auto const update = make_update();
    auto const read = decode_peer_update(encode(update));
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST((value_of(read).wall_clock == update.wall_clock));
    BOOST_TEST((value_of(read).usage == update.usage));
}

// Daemons of an older version send neither field, and read what they know.
BOOST_AUTO_TEST_CASE(updates_of_another_version_are_read)
{
    auto value = json::from_cbor(encode(make_update()));
    value.erase("wc");
    value.erase("us");
    std::string bytes;
    json::to_cbor(value, bytes);
    auto const read = decode_peer_update(bytes);
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST(!value_of(read).wall_clock);
    BOOST_TEST(!value_of(read).usage);
    auto plain = make_update();
    plain.wall_clock.reset();
    plain.usage.reset();
    BOOST_TEST(encode(plain) == bytes);
}

BOOST_AUTO_TEST_CASE(invalid_counts_are_rejected)
{
    for (auto const& usage :
         {json("x"), json{{"c", 1}}, json{{"c", 1}, {"o", {"a"}}, {"r", 5}},
          json{{"c", 1}, {"o", {1}}, {"r", json::array()}},
          json{{"c", 1}, {"o", {"a"}}, {"r", {json::array()}}}}) {
        auto value = json::from_cbor(encode(make_update()));
        value["us"] = usage;
        std::string bytes;
        json::to_cbor(value, bytes);
        BOOST_TEST(failed(decode_peer_update(bytes)));
    }
}

// Collected rows must not be taken for an update, nor the other way round.
BOOST_AUTO_TEST_CASE(collected_rows_differ_from_updates)
{
    auto const bytes = encode_collected_usage("rows");
    BOOST_TEST(decode_collected_usage(bytes).value_or("") == "rows");
    BOOST_TEST(failed(decode_peer_update(bytes)));
    BOOST_TEST(!decode_collected_usage(encode(make_update())));
    BOOST_TEST(!decode_collected_usage("\x82"));
    BOOST_TEST(!decode_collected_usage(""));
}

// A request that is sent twice was counted twice, or one that never ran.
BOOST_AUTO_TEST_CASE(a_request_is_counted_once_when_it_runs)
{
    usage_fixture world{1};
    using kind = behaviour::kind;
    BOOST_TEST(world.counted("/safe/x", {}) == 1U);
    BOOST_TEST(world.counted("/once/x", {}) == 1U);
    BOOST_TEST(world.counted("/safe/x", {{kind::fail}, {kind::answer}}) == 1U);
    BOOST_TEST(world.counted("/once/x", {{kind::turn_away}}) == 0U);
    BOOST_TEST(world.counted("/open/x", {}) == 0U); // Has no organisation.
    BOOST_TEST(world.counted("/stream/x", {{kind::answer, 4}}) == 1U);
    BOOST_TEST(world.counted("/stream/x", {{kind::turn_away}}) == 0U);
    BOOST_TEST(world.counted("/stream/x", {{kind::fail}, {kind::fail}}) == 0U);
    BOOST_TEST(world.counted("/stream/x", {{kind::cut, 2}}) == 1U);
}

// The counts of a daemon that stops were lost, as it is no member any more.
BOOST_AUTO_TEST_CASE(a_daemon_that_stops_passes_its_counts_on)
{
    usage_fixture world{2};
    world.run_for(1500ms); // Until the daemons know each other.
    BOOST_TEST(world.counted("/safe/x", {}) == 1U);
    BOOST_TEST(world.run_until([&world] { return world.known(1) == 1; }));
    world.servers[0]->script({behaviour::kind::hold});
    auto const held = world.send(0, "POST", "/once/x", "held");
    world.run_for(200ms);
    bool stopped = false;
    world.gateways[0]->stop([&stopped] { stopped = true; });
    world.run_for(600ms);
    world.servers[0]->release_held();
    BOOST_TEST(world.run_until([&] { return held->ended() && stopped; }));
    world.run_for(100ms);
    BOOST_TEST(world.known(1) == 2U);
}

// Without the setting, updates contain nothing of it and nothing is counted.
BOOST_AUTO_TEST_CASE(nothing_is_counted_or_told_without_the_setting)
{
    for (auto const with_usage : {false, true}) {
        usage_fixture world{0, with_usage};
        asio::ip::udp::socket peer{world.context, {asio::ip::udp::v4(), 0}};
        std::array<char, 65536> buffer{};
        std::vector<std::string> updates;
        std::function<void()> const receive = [&] {
            peer.async_receive(asio::buffer(buffer),
                               [&](std::error_code failure, std::size_t size) {
                                   if (!failure) {
                                       updates.emplace_back(buffer.data(),
                                                            size);
                                       receive();
                                   }
                               });
        };
        receive();
        world.add_gateway(
            8s, {"127.0.0.1:" + std::to_string(peer.local_endpoint().port())});
        BOOST_REQUIRE(world.wait_until_ready(0));
        world.send_and_wait(0, "POST", "/safe/x", "s");
        world.run_for(300ms);
        BOOST_TEST(!updates.empty());
        for (auto const& update : updates) {
            auto const text = json::from_cbor(update);
            BOOST_TEST(text.contains("wc") == with_usage);
            BOOST_TEST(text.contains("us") == with_usage);
        }
        BOOST_TEST(world.status(0).contains("usage") == with_usage);
        BOOST_TEST(!world.store.newest("keyed.medlarstall-duties", "lease"));
    }
}

// The whole way: two daemons count, one reports, and after a loss of both two
// new ones go on where the others have ended.
BOOST_AUTO_TEST_CASE(each_window_is_reported_with_one_content)
{
    std::map<std::uint64_t, duty::organisation_counts> reports;
    int changed = 0;
    int calls = 0;
    gateway_fixture world{1};
    world.has_own_contexts = world.has_own_store_addresses = true;
    world.counts_usage = true;
    world.call_duty = [&](duty::duty_call const& call, duty_caller const&, auto,
                          auto const& done) {
        auto const& report = std::get<duty::usage_report>(call);
        auto const known = reports.emplace(report.window, report.counts).first;
        changed += known->second != report.counts ? 1 : 0;
        // Every third response is lost.
        done(++calls % 3 == 0 ? duty_response::unanswered
                              : duty_response::accepted);
    };
    auto const total = [&reports] {
        std::uint64_t sum = 0;
        for (auto const& [window, counts] : reports) {
            sum += counts.contains("small") ? counts.at("small") : 0;
        }
        return sum;
    };
    world.write_configuration(1);
    std::uint64_t sent = 0;
    for (int run = 0; run < 2; ++run) {
        world.add_gateways(2);
        BOOST_REQUIRE(world.wait_until_ready(0));
        BOOST_REQUIRE(world.wait_until_ready(1));
        auto const before = calls;
        BOOST_REQUIRE(world.run_until([&] { return calls > before; }));
        for (std::size_t at = 0; at < 12; ++at) {
            auto const answer = world.send_and_wait(
                at % 2, "POST", "/safe/x", "r" + std::to_string(++sent));
            BOOST_TEST(answer.status == 200);
        }
        // The counts are stored, but not all reported.
        BOOST_REQUIRE(world.run_until(
            [&] { return total() + stored_requests(world.store) >= sent; }));
        if (run == 0) {
            world.kill_gateways();
        }
    }
    BOOST_TEST(world.run_until([&] { return total() >= sent; }));
    world.run_for(2s);
    BOOST_TEST(total() == sent);
    BOOST_TEST(changed == 0);
    auto const windows = reports.rbegin()->first - reports.begin()->first + 1;
    BOOST_TEST(reports.size() == windows);
}

/// \return bytes that one update has more with the counts of a daemon
std::size_t bytes_told(std::size_t organisations, std::uint64_t requests,
                       std::uint64_t windows)
{
    peer_update update;
    auto const without = encode(update).size();
    update.wall_clock = duty::wall_time{1'700'000'000'123ms};
    update.usage.emplace();
    update.usage->closed_before = 340'000'000;
    for (std::uint64_t window = 0; window < windows; ++window) {
        duty::usage_row row{340'000'000 + window, {}};
        for (std::size_t at = 0; at < organisations; ++at) {
            row.counts["organisation-" + std::to_string(at)] = requests;
        }
        update.usage->rows.push_back(std::move(row));
    }
    return encode(update).size() - without;
}

/// \return size of the stored state with two open windows
std::size_t bytes_stored(std::size_t daemons, std::size_t organisations,
                         std::uint64_t requests)
{
    duty::usage_state state;
    state.closed_before = 340'000'000;
    for (std::uint64_t window = 0; window < 2; ++window) {
        auto& rows = state.open[state.closed_before + window];
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            auto& row = rows[duty::counter_of("d", daemon)];
            for (std::size_t at = 0; at < organisations; ++at) {
                row["organisation-" + std::to_string(at)] = requests;
            }
        }
    }
    return duty::encode(state).size();
}

// Five updates a second are sent: one with all rows of two windows, and four
// with the counts that have changed.
BOOST_AUTO_TEST_CASE(the_cost_of_reports_is_small)
{
    constexpr std::size_t organisations = 8;
    constexpr std::uint64_t requests_per_window = 2500; // Of an organisation.
    constexpr std::size_t updates_per_window = 25;
    for (std::size_t const daemons : {33U, 118U, 350U}) {
        auto const each = requests_per_window / daemons;
        auto const changed = std::min(
            organisations, organisations * each / updates_per_window + 1);
        auto const told = bytes_told(organisations, each, 2) +
                          4 * bytes_told(changed, each, 1);
        auto const stored = bytes_stored(daemons, organisations, each);
        BOOST_TEST_MESSAGE(daemons << " daemons: " << told
                                   << " bytes a second told to each peer, "
                                   << stored << " bytes stored each time");
        BOOST_TEST(told < 900U);
        BOOST_TEST(stored < 9000U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
