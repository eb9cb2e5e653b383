#include <medlarstall/routes/route_table.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall::routes;

namespace {

route make_route(std::string host, std::string prefix)
{
    route item;
    item.name = prefix;
    item.host = std::move(host);
    item.path_prefix = std::move(prefix);
    item.services = {{"s", 1}};
    return item;
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

BOOST_AUTO_TEST_CASE(longest_matching_prefix_is_chosen)
{
    auto const table = make_table();
    BOOST_TEST(table.find_route("a.example", "/x/y/z")->name == "/x/y/");
    BOOST_TEST(table.find_route("A.Example:80", "/x/z")->name == "/x/");
    BOOST_TEST(table.find_route("b.example", "/any")->name == "/");
    BOOST_TEST(table.find_route("a.example", "/xy/") == nullptr);
    BOOST_TEST(table.find_route("c.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(keys_identify_their_organisation)
{
    auto const table = make_table();
    BOOST_TEST(table.find_organisation("key-2")->name == "small");
    BOOST_TEST(table.find_organisation("key-3")->name == "large");
    BOOST_TEST(table.find_organisation("key-") == nullptr);
    BOOST_TEST(table.find_organisation("") == nullptr);
}

BOOST_AUTO_TEST_CASE(urgency_orders_by_organisation_then_by_route)
{
    // With a single urgency for all requests of an organisation, its short
    // streams are preempted while its long prompts continue to run.
    configuration content;
    content.routes = {make_route("a", "/draft/"), make_route("a", "/review/")};
    content.routes[1].priority = 2;
    content.organisations = {{"first", {}, 0}, {"second", {}, 1}};
    route_table const table{content};
    auto const rank = [&](std::size_t route, std::size_t organisation) {
        return table.urgencies().rank(
            urgency_of(table.content().routes[route],
                       &table.content().organisations[organisation]));
    };
    BOOST_TEST(rank(0, 0) < rank(1, 0));
    BOOST_TEST(rank(1, 0) < rank(0, 1));
    BOOST_TEST(rank(0, 1) < rank(1, 1));
    BOOST_TEST(rank(1, 1) < table.urgencies().rank_count());
}

BOOST_AUTO_TEST_CASE(route_decides_if_organisations_have_no_priority)
{
    configuration content;
    content.routes = {make_route("a", "/draft/"), make_route("a", "/review/")};
    content.routes[1].priority = 1;
    content.organisations = {{"small", {}, std::nullopt}};
    route_table const table{content};
    auto const& routes = table.content().routes;
    auto const* const caller = &table.content().organisations[0];
    BOOST_TEST(table.urgencies().rank_count() == 2U);
    BOOST_TEST(table.urgencies().rank(urgency_of(routes[0], caller)) == 0U);
    BOOST_TEST(table.urgencies().rank(urgency_of(routes[1], nullptr)) == 1U);
}

RC_BOOST_PROP(services_are_chosen_in_proportion_to_weight, ())
{
    route split = make_route("h", "/");
    split.services = {{"a", 90}, {"b", 10}, {"never", 0}};
    auto const hash = *rc::gen::arbitrary<std::uint64_t>();
    auto const picked = pick_service(split, hash);
    RC_ASSERT(picked == (hash % 100 < 90 ? "a" : "b"));
}

BOOST_AUTO_TEST_SUITE_END()
