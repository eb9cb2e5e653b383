// Randomly corrupted input from outside the process: each reader must accept or
// reject it without undefined behaviour, an uncaught exception or a crash.
// scripts/fuzz runs these tests under sanitizers.

#include <platform/configuration_reader.hpp>
#include <platform/node_settings.hpp>
#include <platform/server_entry_reader.hpp>
#include <platform/store_client.hpp>
#include <platform/wire_translation.hpp>

#include <medlarstall/gateway/peer_update.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::platform;

namespace {

std::string const configuration_text = R"({"version":7,"routes":[
 {"name":"r1","hostname":"a.example","pathPrefix":"/p/",
  "routeType":"streaming","timeoutMs":6000.5,"targetLatencyMs":1500,
  "priority":1,"trafficSplit":[{"service":"s1","weight":90}],
  "maxAttempts":2,"public":false,"streamResume":true,"targetGapMs":400}],
 "services":[{"name":"s1","healthCheckPath":"/healthz",
  "engine":{"slots":64,"kvCapacityTokens":493096,"kvBytes":18432,
  "linkMbps":180000.0,"stride":3},
  "autoscale":{"minInstances":1,"maxInstances":60,"bootTimeS":4.0,
   "spotPrice":0.18,"zonePrices":{"a":1.0,"b":0.8}}}],
 "limits":{"maxHeaderBytes":16384,"headerTimeoutMs":3000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1}]})";

std::string const entry_text =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":64,"state":"ready","sequence":4,"born":1700000000000,)"
    R"("spotEnabled":true,"leaves_ms":9000})";

std::string const settings_text =
    "nodeName=edge-1\nzone=regina-a\nlisten.frontend=10.1.0.40:8227\n"
    "listen.ready=10.1.0.40:8220\nlisten.directoryService=10.1.0.40:8224\n"
    "internalPortRange=7340,7355\nseedNodes=10.1.0.40:8229,10.2.0.29:8229\n"
    "platform.address=10.200.1.7:8223\nbounds.budgetSlack=54\n"
    "bounds.graceS=8\n";

std::vector<std::string> const unusual_values{
    "-1",   "1e300",    "99999999999999999999",
    "null", "{}",       "[]",
    "true", "\"\xff\"", "\\u0000",
    ",,",   "=\n",      std::string(300, '[')};

/// Corrupts a text: inserts, removes, repeats or replaces parts of it.
std::string corrupted(std::string text)
{
    auto const changes = *rc::gen::inRange(1, 6);
    for (int change = 0; change < changes; ++change) {
        auto const size = text.size();
        auto const from = *rc::gen::inRange<std::size_t>(0, size + 1);
        auto const length = *rc::gen::inRange<std::size_t>(0, 24);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text.insert(from, 1, *rc::gen::arbitrary<char>());
            break;
        case 1:
            text.erase(from, length);
            break;
        case 2:
            text.insert(from, text.substr(from, length));
            break;
        default:
            text.replace(from, std::min(length, size - from),
                         *rc::gen::elementOf(unusual_values));
            break;
        }
    }
    return text;
}

/// Replaces one value of a JSON text by an unusual one.
std::string with_unusual_value(std::string text)
{
    std::vector<std::size_t> value_starts;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == ':') {
            value_starts.push_back(index + 1);
        }
    }
    auto const from = *rc::gen::elementOf(value_starts);
    auto const end = text.find_first_of(",}]", from);
    return text.replace(from, end - from, *rc::gen::elementOf(unusual_values));
}

} // namespace

BOOST_AUTO_TEST_SUITE(malformed_input_suite)

BOOST_AUTO_TEST_CASE(excessive_durations_are_limited)
{
    // A duration of 1e300 ms does not fit its integer type, and the conversion
    // would be undefined behaviour.
    auto text = configuration_text;
    text.replace(text.find("6000.5"), 6, "1e300");
    auto const read = read_configuration(text);
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST(value_of(read).routes.at(0).time_limit.count() > 0);
}

RC_BOOST_PROP(corrupted_configurations, ())
{
    std::ignore = read_configuration(corrupted(configuration_text));
    std::ignore = read_configuration(with_unusual_value(configuration_text));
}

RC_BOOST_PROP(corrupted_server_entries, ())
{
    std::ignore = read_server_entry("i-1", corrupted(entry_text));
    std::ignore = read_server_entry("i-1", with_unusual_value(entry_text));
}

RC_BOOST_PROP(corrupted_settings_of_an_instance, ())
{
    std::ignore = read_node_settings(corrupted(settings_text), 0);
}

RC_BOOST_PROP(corrupted_store_records, ())
{
    auto const bytes = encode_record({"key", entry_text, 1}) +
                       encode_record({"other", configuration_text, 2});
    for (auto const which : {gateway::record_topic::configuration,
                             gateway::record_topic::backend_servers,
                             gateway::record_topic::members}) {
        std::ignore = decode_records(which, corrupted(bytes), 1);
    }
}

RC_BOOST_PROP(corrupted_messages_of_peers, ())
{
    gateway::peer_update news;
    news.daemon = "edge-1";
    news.entry_address = "10.1.0.40:8227";
    news.loads = {{"i-1", {}}};
    news.prompts = {{"i-1", {{7, 100}}}};
    std::ignore = gateway::decode_peer_update(corrupted(encode(news)));
    gateway::record_page page;
    page.records = {{"key", entry_text, 1}, {"gone", std::nullopt, 2}};
    std::ignore = gateway::decode_record_page(corrupted(encode(page)));
}

RC_BOOST_PROP(corrupted_heads_of_requests_and_responses, ())
{
    auto const protocol = make_wire_protocol();
    http::request_head request{"POST", "/p/x?y=1", {}};
    http::response_head response{200, {}, {}};
    for (auto const& [name, value] :
         std::vector<std::pair<std::string, std::string>>{
             {"Host", "a.example"},
             {"X-Attempt-Id", "9c41"},
             {"Authorization", "Token k1"},
             {"X-Deadline-Ms", "1500"},
             {"X-Token-Count", "1460,80"},
             {"X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410"},
             {"X-Length-Hint", "60"},
             {"Last-Event-Id", "3"},
             {"X-Load", "3,4,5,100"},
             {"Connection", "keep-alive, X-Model"}}) {
        request.headers.add(name, corrupted(value));
        response.headers.add(name, corrupted(value));
    }
    std::ignore = protocol.parse_request(request);
    protocol.prepare_request(request, {});
    std::ignore = protocol.parse_answer(response);
    protocol.prepare_answer(response);
}

BOOST_AUTO_TEST_SUITE_END()
