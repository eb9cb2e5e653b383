// Input from outside, spoilt in many ways: each reader takes it or refuses it,
// and nothing else happens. Run under sanitizers by scripts/fuzz.

#include <platform/configuration_reader.hpp>
#include <platform/node_settings.hpp>
#include <platform/server_entry_reader.hpp>
#include <platform/store_client.hpp>
#include <platform/wire_translation.hpp>

#include <medlarstall/gateway/peer_news.hpp>

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
  "linkMbps":180000.0,"stride":3}}],
 "limits":{"maxHeaderBytes":16384,"headerTimeoutMs":3000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1}]})";

std::string const entry_text =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":64,"state":"ready","sequence":4,"born":1700000000000})";

std::string const settings_text =
    "nodeName=edge-1\nzone=regina-a\nlisten.frontend=10.1.0.40:8227\n"
    "listen.ready=10.1.0.40:8220\nlisten.directoryService=10.1.0.40:8224\n"
    "internalPortRange=7340,7355\nseedNodes=10.1.0.40:8229,10.2.0.29:8229\n"
    "platform.address=10.200.1.7:8223\nbounds.budgetSlack=54\n"
    "bounds.graceS=8\n";

std::vector<std::string> const odd_words{
    "-1",   "1e300",    "99999999999999999999",
    "null", "{}",       "[]",
    "true", "\"\xff\"", "\\u0000",
    ",,",   "=\n",      std::string(300, '[')};

/// Spoils a text: changes, removes, repeats or replaces pieces of it.
std::string spoilt(std::string text)
{
    auto const times = *rc::gen::inRange(1, 6);
    for (int at = 0; at < times; ++at) {
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
                         *rc::gen::elementOf(odd_words));
            break;
        }
    }
    return text;
}

/// Puts an odd word in the place of one value of a JSON text.
std::string with_odd_value(std::string text)
{
    std::vector<std::size_t> colons;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == ':') {
            colons.push_back(at + 1);
        }
    }
    auto const from = *rc::gen::elementOf(colons);
    auto const end = text.find_first_of(",}]", from);
    return text.replace(from, end - from, *rc::gen::elementOf(odd_words));
}

} // namespace

BOOST_AUTO_TEST_SUITE(spoilt_input_suite)

BOOST_AUTO_TEST_CASE(times_beyond_all_bounds_are_cut)
{
    // Found with the sanitizers: a time of 1e300 ms did not fit its type.
    auto text = configuration_text;
    text.replace(text.find("6000.5"), 6, "1e300");
    auto const read = read_configuration(text);
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST(value_of(read).routes.at(0).time_limit.count() > 0);
}

RC_BOOST_PROP(configurations, ())
{
    std::ignore = read_configuration(spoilt(configuration_text));
    std::ignore = read_configuration(with_odd_value(configuration_text));
}

RC_BOOST_PROP(server_entries, ())
{
    std::ignore = read_server_entry("i-1", spoilt(entry_text));
    std::ignore = read_server_entry("i-1", with_odd_value(entry_text));
}

RC_BOOST_PROP(settings_of_the_machine, ())
{
    std::ignore = read_node_settings(spoilt(settings_text), 0);
}

RC_BOOST_PROP(records_of_the_store, ())
{
    auto const bytes = encode_record({"key", entry_text, 1}) +
                       encode_record({"other", configuration_text, 2});
    for (auto const which :
         {gateway::ledger::configuration, gateway::ledger::backend_servers,
          gateway::ledger::members}) {
        std::ignore = decode_records(which, spoilt(bytes), 1);
    }
}

RC_BOOST_PROP(news_and_pages_of_peers, ())
{
    gateway::peer_news news;
    news.daemon = "edge-1";
    news.entry_address = "10.1.0.40:8227";
    news.loads = {{"i-1", {}}};
    news.prompts = {{"i-1", {{7, 100}}}};
    std::ignore = gateway::decode_news(spoilt(encode(news)));
    gateway::record_page page;
    page.records = {{"key", entry_text, 1}, {"gone", std::nullopt, 2}};
    std::ignore = gateway::decode_page(spoilt(encode(page)));
}

RC_BOOST_PROP(heads_of_requests_and_answers, ())
{
    auto const protocol = make_wire_protocol();
    http::request_head request{"POST", "/p/x?y=1", {}};
    http::response_head answer{200, {}, {}};
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
        request.headers.add(name, spoilt(value));
        answer.headers.add(name, spoilt(value));
    }
    std::ignore = protocol.read_request(request);
    protocol.prepare_send(request, {});
    std::ignore = protocol.read_answer(answer);
    protocol.prepare_answer(answer);
}

BOOST_AUTO_TEST_SUITE_END()
