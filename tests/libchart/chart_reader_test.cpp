#include <medlarstall/chart/chart_reader.hpp>
#include <medlarstall/chart/chart_vocabulary.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>
#include <string>
#include <string_view>

using namespace medlarstall;
using namespace medlarstall::chart;

namespace {

constexpr std::array<std::string_view, 3> states{"idle", "busy", "done"};
constexpr std::array<std::string_view, 2> events{"start", "end"};
constexpr std::array<std::string_view, 1> actions{"note"};

std::string const valid_chart =
    R"(<scxml initial="idle"><state id="idle"><transition event="start" )"
    R"(target="busy"><send event="note"/></transition></state>)"
    R"(<state id="busy"><transition event="end" target="done"/></state>)"
    R"(<final id="done"/></scxml>)";

/// A replacement in the valid chart, and parts of the field and message of the
/// error that it has to cause.
struct error_case
{
    std::string from;
    std::string to;
    std::string field;
    std::string message;
};

std::ostream& operator<<(std::ostream& out, error_case const& value)
{
    return out << value.to;
}

result<medlarstall::chart::chart> parse(std::string const& text)
{
    return chart_reader{"x.scxml"}.read(text, {states, events, actions});
}

error_case const error_cases[] = {
    {"\"busy\"><send", "\"lazy\"><send", "<transition event=\"start\">",
     "lazy"},
    {"event=\"end\"", "event=\"stop\"", "<transition event=\"stop\">", "stop"},
    {"\"note\"", "\"tell\"", "<send event=\"tell\">", "tell"},
    {"initial=\"idle\"", "initial=\"new\"", "<scxml initial=\"new\">", "new"},
    {"<state id=\"busy\">", "<state id=\"odd\">", "<state id=\"odd\">", "odd"},
    {"initial=\"idle\"", "initial=\"busy\"", "<state> idle", "reached"},
    {"target=\"done\"", "target=\"busy\"", "<state> done", "reached"},
    {"<send event=\"note\"/>", "", "<send> note", "never used"},
    {"<state id=\"idle\">",
     "<state id=\"idle\"><transition event=\"start\" target=\"done\"/>",
     "<transition event=\"start\">", "two transitions"},
    {"event=\"end\"", "event=\"start\"", "<transition> end", "never used"},
    {"<final id=\"done\"/>", "", "<scxml>", "done is not declared"},
    {"<final id=\"done\"/>", "<final id=\"done\"/><final id=\"done\"/>",
     "<final id=\"done\">", "twice"},
    {"<final id=\"done\"/>", "<state id=\"done\"/>", "<state> idle",
     "no way to a final"},
    {"<final id=\"done\"/>",
     "<final id=\"done\"><transition event=\"end\" target=\"idle\"/></final>",
     "<transition event=\"end\">", "not allowed"},
    {"<final id=\"done\"/>", "<parallel/>", "<parallel>", "not allowed"},
    {"<final id=\"done\"/>", "<final id=\"done\"/>words", "<scxml", "text"},
    {" target=\"done\"", "", "<transition event=\"end\">", "target"},
    {" target=\"done\"", " target=\"done\" cond=\"x\"",
     "<transition event=\"end\">", "cond"},
    {"event=\"end\"", "event=\"end\" event=\"end\"",
     "<transition event=\"end\">", "twice"},
    {"</scxml>", "</scxml><scxml/>", "<scxml>", "only one"},
    {"</scxml>", "", "byte", ""},
    {valid_chart, "", "byte", ""},
    {valid_chart, "<html/>", "<html>", "not allowed"},
};

} // namespace

BOOST_AUTO_TEST_CASE(valid_chart_is_parsed)
{
    auto const parsed = parse(valid_chart);
    BOOST_REQUIRE(!failed(parsed));
    auto const& value = value_of(parsed);
    BOOST_TEST(value.initial == 0);
    BOOST_REQUIRE(value.states[0].transitions[0].has_value());
    BOOST_TEST(value.states[0].transitions[0]->target == 1);
    BOOST_TEST(value.states[0].transitions[0]->actions.size() == 1U);
    BOOST_TEST(!value.states[0].transitions[1].has_value());
    BOOST_TEST(value.states[2].is_final);
}

BOOST_DATA_TEST_CASE(each_error_names_element_and_cause, error_cases, invalid)
{
    auto text = valid_chart;
    auto const at = text.find(invalid.from);
    BOOST_REQUIRE(at != std::string::npos);
    auto const parsed =
        parse(text.replace(at, invalid.from.size(), invalid.to));
    BOOST_REQUIRE(failed(parsed));
    auto const& found = error_of(parsed);
    BOOST_TEST_INFO(found.field << " | " << found.message);
    BOOST_TEST(found.field.starts_with("x.scxml: "));
    BOOST_TEST(found.field.find(invalid.field) != std::string::npos);
    BOOST_TEST_INFO(found.field << " | " << found.message);
    BOOST_TEST(found.message.find(invalid.message) != std::string::npos);
}
