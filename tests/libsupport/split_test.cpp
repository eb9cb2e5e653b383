// Splitting of lists in header fields, settings and query strings.

#include <medlarstall/support/split.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarstall;

BOOST_AUTO_TEST_SUITE(split_suite)

BOOST_AUTO_TEST_CASE(items_keep_their_order_and_are_trimmed)
{
    std::vector<std::string_view> const expected{"a", "b c", "", "d"};
    BOOST_TEST((split(" a, b c\t,,d ", ',') == expected));
}

BOOST_AUTO_TEST_CASE(empty_list_has_no_items)
{
    BOOST_TEST(split("", ',').empty());
    BOOST_TEST(split("a&", '&').size() == 1U);
    BOOST_TEST(split(" ", ',').front().empty());
}

BOOST_AUTO_TEST_SUITE_END()
