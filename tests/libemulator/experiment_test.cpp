// Experiment files: what is read, and what is refused with which field.

#include <medlarstall/emulator/experiment.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace medlarstall;
using namespace medlarstall::emulator;

namespace {

std::string const installation = R"({
    "name": "small",
    "daemons": 2, "organisations": 3, "large": 1,
    "services": [{"name": "model", "servers": 2,
                  "model": {"slots": 4, "memory_tokens": 1000}}],
    "classes": [{"name": "long", "service": "model", "kind": "stream",
                 "objective_ms": 500, "prompt_tokens": {"mean": 50},
                 "output_tokens": 5,
                 "shared": [{"tokens": 20, "different": 3}]}]
})";

std::string replaced(std::string text, std::string const& what,
                     std::string const& with)
{
    return text.replace(text.find(what), what.size(), with);
}

void check_refused(std::string const& text, std::string const& field)
{
    auto const made = parse_installation(text);
    BOOST_REQUIRE(failed(made));
    BOOST_TEST(error_of(made).field.find(field) != std::string::npos,
               error_of(made).field + ": " + error_of(made).message);
}

} // namespace

BOOST_AUTO_TEST_SUITE(experiment_suite)

BOOST_AUTO_TEST_CASE(an_installation_is_read)
{
    auto const made = parse_installation(installation);
    BOOST_REQUIRE(!failed(made));
    auto const& read = value_of(made);
    BOOST_TEST(read.daemons == 2U);
    BOOST_REQUIRE(read.services.size() == 1U);
    BOOST_TEST(read.services[0].model->memory_tokens == 1000U);
    BOOST_REQUIRE(read.classes.size() == 1U);
    BOOST_TEST((read.classes[0].kind == routes::route_kind::stream));
    BOOST_TEST(read.classes[0].output_tokens.mean == 5);
    BOOST_TEST(read.classes[0].shared[0].different == 3U);
}

BOOST_AUTO_TEST_CASE(faults_name_their_field)
{
    check_refused("{", "json");
    check_refused(replaced(installation, "\"daemons\": 2", "\"daemons\": 0"),
                  "daemons");
    check_refused(replaced(installation, "\"daemons\": 2", "\"deamons\": 2"),
                  "deamons");
    check_refused(replaced(installation, "\"stream\"", "\"flood\""), "kind");
    check_refused(replaced(installation, "\"large\": 1", "\"large\": 3"),
                  "large");
    check_refused(
        replaced(installation, "\"service\": \"model\"", "\"service\": \"x\""),
        "classes");
    check_refused(replaced(installation, "\"mean\": 50", "\"mean\": \"a\""),
                  "prompt_tokens");
}

BOOST_AUTO_TEST_CASE(a_load_adds_troubles_and_checks_their_names)
{
    auto const place = parse_installation(installation);
    BOOST_REQUIRE(!failed(place));
    auto const made = parse_load(
        R"({"name": "more", "factor": 2,
            "troubles": [{"kind": "burst", "class": "long", "at_s": 3,
                          "length_s": 2, "strength": 4}]})",
        value_of(place));
    BOOST_REQUIRE(!failed(made));
    BOOST_TEST(value_of(made).name == "small more");
    BOOST_TEST(value_of(made).classes[0].per_second == 2);
    BOOST_TEST(value_of(made).troubles[0].at.count() == 3);
    for (std::string const fault :
         {R"({"name": "x", "troubles": [{"kind": "burst", "class": "no"}]})",
          R"({"name": "x", "troubles": [{"kind": "storm"}]})",
          R"({"troubles": []})", R"({"name": "x", "factor": 0})"}) {
        BOOST_TEST(failed(parse_load(fault, value_of(place))), fault);
    }
}

BOOST_AUTO_TEST_SUITE_END()
