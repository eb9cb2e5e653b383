#include <medlarstall/gateway/peer_update.hpp>
#include <medlarstall/gateway/process_queries.hpp>

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace medlarstall;
using namespace medlarstall::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(process_queries_suite)

BOOST_AUTO_TEST_CASE(one_query_serves_all_who_wait)
{
    process_queries queries;
    auto const start = time_point{} + 1h;
    BOOST_TEST(queries.try_begin("i-0", start));
    BOOST_TEST(!queries.try_begin("i-0", start + 50ms));
    queries.on_ended("i-0", query_outcome::stated, start + 60ms);
    BOOST_TEST(queries.ended_since("i-0", start));
    BOOST_TEST(!queries.ended_since("i-0", start + 1ms));
    BOOST_TEST(!queries.try_begin("i-0", start + 100ms));
    BOOST_TEST(queries.try_begin("i-0", start + 300ms));
}

BOOST_AUTO_TEST_CASE(a_server_that_does_not_state_it_is_left_alone)
{
    process_queries queries;
    auto const start = time_point{} + 1h;
    BOOST_TEST(queries.try_begin("i-0", start));
    queries.on_ended("i-0", query_outcome::unstated, start + 5ms);
    BOOST_TEST(queries.is_unstated("i-0"));
    BOOST_TEST(!queries.ended_since("i-0", start));
    BOOST_TEST(!queries.try_begin("i-0", start + 2s));
    BOOST_TEST(queries.try_begin("i-0", start + 30s));
}

BOOST_AUTO_TEST_CASE(updates_of_daemons_without_unidentified_streams_are_read)
{
    peer_update update;
    update.daemon = "edge-1";
    update.unidentified_streams.push_back({7, "s"});
    update.open_streams = {9};
    auto const bytes = encode(update);
    auto const decoded = decode_peer_update(bytes);
    BOOST_REQUIRE(!failed(decoded));
    BOOST_REQUIRE(value_of(decoded).unidentified_streams.size() == 1U);
    BOOST_TEST(value_of(decoded).unidentified_streams[0].id == 7U);
    auto older = nlohmann::json::from_cbor(bytes);
    BOOST_TEST(value_of(decoded).open_streams == std::vector<std::uint64_t>{9});
    older.erase("w");
    older.erase("z");
    std::string text;
    nlohmann::json::to_cbor(older, text);
    auto const from_older = decode_peer_update(text);
    BOOST_REQUIRE(!failed(from_older));
    BOOST_TEST(value_of(from_older).unidentified_streams.empty());
    BOOST_TEST(value_of(from_older).open_streams.empty());
    older["a_later_field"] = 1;
    text.clear();
    nlohmann::json::to_cbor(older, text);
    BOOST_TEST(!failed(decode_peer_update(text)));
}

BOOST_AUTO_TEST_SUITE_END()
