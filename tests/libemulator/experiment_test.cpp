// Parsing of experiment files: valid files give the described experiment, and
// invalid ones an error that names the field.

#include <medlarstall/emulator/experiment.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace medlarstall;
using namespace medlarstall::emulator;

namespace {

std::string const installation_text = R"({
    "name": "small",
    "daemons": 2, "organisations": 3, "large": 1,
    "services": [{"name": "model", "servers": 2,
                  "model": {"slots": 4, "memory_tokens": 1000}}],
    "classes": [{"name": "long", "service": "model", "kind": "stream",
                 "objective_ms": 500, "prompt_tokens": {"mean": 50},
                 "output_tokens": 5,
                 "shared": [{"tokens": 20, "different": 3}]}]
})";

std::string replaced(std::string text, std::string const& from,
                     std::string const& to)
{
    return text.replace(text.find(from), from.size(), to);
}

void expect_rejected(std::string const& text, std::string const& field)
{
    auto const parsed = parse_installation(text);
    BOOST_REQUIRE(failed(parsed));
    BOOST_TEST(error_of(parsed).field.find(field) != std::string::npos,
               error_of(parsed).field + ": " + error_of(parsed).message);
}

} // namespace

BOOST_AUTO_TEST_SUITE(experiment_suite)

BOOST_AUTO_TEST_CASE(installation_is_parsed)
{
    auto const parsed = parse_installation(installation_text);
    BOOST_REQUIRE(!failed(parsed));
    auto const& spec = value_of(parsed);
    BOOST_TEST(spec.daemon_count == 2U);
    BOOST_REQUIRE(spec.services.size() == 1U);
    BOOST_TEST(spec.services[0].model->memory_tokens == 1000U);
    BOOST_REQUIRE(spec.classes.size() == 1U);
    BOOST_TEST((spec.classes[0].kind == routes::route_kind::stream));
    BOOST_TEST(spec.classes[0].output_tokens.mean == 5);
    BOOST_TEST(spec.classes[0].shared_parts[0].variants == 3U);
}

BOOST_AUTO_TEST_CASE(errors_name_the_invalid_field)
{
    expect_rejected("{", "json");
    expect_rejected(
        replaced(installation_text, "\"daemons\": 2", "\"daemons\": 0"),
        "daemons");
    expect_rejected(
        replaced(installation_text, "\"daemons\": 2", "\"deamons\": 2"),
        "deamons");
    expect_rejected(replaced(installation_text, "\"stream\"", "\"flood\""),
                    "kind");
    expect_rejected(replaced(installation_text, "\"large\": 1", "\"large\": 3"),
                    "large");
    expect_rejected(replaced(installation_text, "\"service\": \"model\"",
                             "\"service\": \"x\""),
                    "classes");
    expect_rejected(
        replaced(installation_text, "\"mean\": 50", "\"mean\": \"a\""),
        "prompt_tokens");
}

BOOST_AUTO_TEST_CASE(load_adds_disturbances_and_checks_their_names)
{
    auto const base = parse_installation(installation_text);
    BOOST_REQUIRE(!failed(base));
    auto const parsed = parse_load(
        R"({"name": "more", "factor": 2,
            "troubles": [{"kind": "burst", "class": "long", "at_s": 3,
                          "length_s": 2, "strength": 4}]})",
        value_of(base));
    BOOST_REQUIRE(!failed(parsed));
    BOOST_TEST(value_of(parsed).name == "small more");
    BOOST_TEST(value_of(parsed).classes[0].requests_per_second == 2);
    BOOST_TEST(value_of(parsed).disturbances[0].start.count() == 3);
    for (std::string const invalid :
         {R"({"name": "x", "troubles": [{"kind": "burst", "class": "no"}]})",
          R"({"name": "x", "troubles": [{"kind": "storm"}]})",
          R"({"troubles": []})", R"({"name": "x", "factor": 0})"}) {
        BOOST_TEST(failed(parse_load(invalid, value_of(base))), invalid);
    }
}

BOOST_AUTO_TEST_SUITE_END()
