#include <medlarstall/catalogue/catalogue_reader.hpp>
#include <medlarstall/support/digest.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarstall;

BOOST_AUTO_TEST_SUITE(catalogue_reader_suite)

BOOST_AUTO_TEST_CASE(finds_an_organisation_by_its_key)
{
    auto const text = R"({"organisations": {"coteau": {"owner": "coteau",
        "key_digests": [")" +
                      sha256_hex("secret") + R"("]}}})";
    auto const read = catalogue::catalogue_reader{}.read(text);
    BOOST_REQUIRE(!failed(read));
    auto const* found = catalogue::find_by_key(value_of(read), "secret");
    BOOST_REQUIRE(found != nullptr);
    BOOST_TEST(found->name == "coteau");
    BOOST_TEST(catalogue::find_by_key(value_of(read), "other") == nullptr);
}

BOOST_AUTO_TEST_CASE(refuses_text_that_is_not_json)
{
    BOOST_TEST(failed(catalogue::catalogue_reader{}.read("{")));
}

BOOST_AUTO_TEST_SUITE_END()
