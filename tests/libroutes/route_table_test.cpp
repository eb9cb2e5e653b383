#include <medlarstall/routes/route_table.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall::routes;

namespace {

route make_route(std::string host, std::string prefix)
{
    route made;
    made.name = prefix;
    made.host = std::move(host);
    made.path_prefix = std::move(prefix);
    made.services = {{"s", 1}};
    return made;
}

route_table make_table()
{
    configuration content;
    content.version = 3;
    content.routes = {make_route("a.example", "/x/"),
                      make_route("a.example", "/x/y/"),
                      make_route("b.example", "/")};
    content.organisations = {{"small", {"key-1", "key-2"}, std::nullopt},
                             {"large", {"key-3"}, 1}};
    content.services = {{"s", "/healthz", std::nullopt}};
    return route_table{content};
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table_suite)

BOOST_AUTO_TEST_CASE(longest_prefix_wins)
{
    auto const table = make_table();
    BOOST_TEST(table.find_route("a.example", "/x/y/z")->name == "/x/y/");
    BOOST_TEST(table.find_route("A.Example:80", "/x/z")->name == "/x/");
    BOOST_TEST(table.find_route("b.example", "/any")->name == "/");
    BOOST_TEST(table.find_route("a.example", "/xy/") == nullptr);
    BOOST_TEST(table.find_route("c.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(keys_name_their_organisation)
{
    auto const table = make_table();
    BOOST_TEST(table.find_organisation("key-2")->name == "small");
    BOOST_TEST(table.find_organisation("key-3")->name == "large");
    BOOST_TEST(table.find_organisation("key-") == nullptr);
    BOOST_TEST(table.find_organisation("") == nullptr);
}

RC_BOOST_PROP(services_get_their_weight, ())
{
    route split = make_route("h", "/");
    split.services = {{"a", 90}, {"b", 10}, {"never", 0}};
    auto const hash = *rc::gen::arbitrary<std::uint64_t>();
    auto const picked = pick_service(split, hash);
    RC_ASSERT(picked == (hash % 100 < 90 ? "a" : "b"));
}

BOOST_AUTO_TEST_SUITE_END()
