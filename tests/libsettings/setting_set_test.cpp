// Precedence of flags, environment variables and defaults, and the errors for
// values that are not allowed.

#include <medlarstall/settings/setting_set.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace medlarstall;
using namespace medlarstall::settings;

namespace {

struct setting_set_fixture
{
    setting_set_fixture()
    {
        set.add_text("name", "A text", name);
        set.add_number("port", "A port", 1, 65'535, port);
        set.add_duration("wait-ms", "A span", std::chrono::milliseconds{10},
                         std::chrono::milliseconds{1'000}, wait);
        set.add_choice("form", "A choice", {"json", "text"}, form);
        set.add_list("url", "A list", urls);
        set.add_switch("check", "A switch", check);
    }

    result<startup_action> read(std::vector<std::string> flags)
    {
        flags.insert(flags.begin(), "program");
        return set.read(std::move(flags), [this](char const* variable) {
            auto const found = variables.find(variable);
            return found == variables.end() ? nullptr : found->second.c_str();
        });
    }

    void check_rejected(std::vector<std::string> flags,
                        std::string const& field,
                        std::string const& expected_text)
    {
        auto const outcome = read(std::move(flags));
        BOOST_REQUIRE(failed(outcome));
        BOOST_TEST(error_of(outcome).field == field);
        BOOST_TEST(error_of(outcome).message.find(expected_text) !=
                   std::string::npos);
    }

    std::string name = "default";
    std::uint16_t port = 80;
    std::chrono::milliseconds wait{100};
    std::string form = "text";
    std::vector<std::string> urls;
    bool check = false;
    std::map<std::string, std::string> variables;
    setting_set set{"program", "Tests settings.", "1"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(setting_set_suite, setting_set_fixture)

BOOST_AUTO_TEST_CASE(flag_overrides_variable_and_variable_overrides_default)
{
    variables = {{"MEDLARSTALL_PORT", "81"},
                 {"MEDLARSTALL_WAIT_MS", "20"},
                 {"MEDLARSTALL_URL", "a,b"},
                 {"MEDLARSTALL_CHECK", "1"}};
    BOOST_REQUIRE(!failed(read({"--port", "82", "--form", "json"})));
    BOOST_TEST(port == 82);
    BOOST_TEST((wait == std::chrono::milliseconds{20}));
    BOOST_TEST(name == "default");
    BOOST_TEST(form == "json");
    BOOST_TEST((urls == std::vector<std::string>{"a", "b"}));
    BOOST_TEST(check);
}

BOOST_AUTO_TEST_CASE(error_names_setting_value_and_allowed_values)
{
    check_rejected({"--port", "0"}, "--port",
                   "\"0\" must be a whole number from 1");
    check_rejected({"--port", "x"}, "--port", "\"x\"");
    check_rejected({"--port", "70000"}, "--port", "1 to 65535");
    check_rejected({"--form", "xml"}, "--form", "must be one of json, text");
    check_rejected({"--wait-ms", "5"}, "--wait-ms", "10 to 1000");
    variables = {{"MEDLARSTALL_PORT", "no"}};
    check_rejected({}, "MEDLARSTALL_PORT", "\"no\"");
    variables = {{"MEDLARSTALL_CHECK", "maybe"}};
    check_rejected({}, "MEDLARSTALL_CHECK", "must be one of");
}

BOOST_AUTO_TEST_CASE(rejects_unknown_flag)
{
    auto const outcome = read({"--none", "1"});
    BOOST_TEST(failed(outcome));
}

BOOST_AUTO_TEST_SUITE_END()
