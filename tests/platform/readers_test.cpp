#include <platform/configuration_reader.hpp>
#include <platform/node_settings.hpp>
#include <platform/server_entry_reader.hpp>
#include <platform/store_client.hpp>
#include <platform/wire_translation.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::platform;

namespace {

constexpr char const* configuration_text = R"({"version":7,
 "routes":[{"name":"r1","hostname":"A.example","pathPrefix":"/p/",
  "routeType":"streaming","timeoutMs":6000.5,"targetLatencyMs":1500,
  "priority":1,"service":"s1","maxAttempts":2,"public":false,
  "sessionAffinity":true,"streamResume":true,"targetGapMs":400},
 {"name":"r2","hostname":"a.example","pathPrefix":"/q/",
  "routeType":"unsafe","timeoutMs":800,"priority":0,
  "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
 "services":[{"name":"s1","healthCheckPath":"/healthz","maxConnections":360,
  "engine":{"slots":64,"kvCapacityTokens":493096,"kvBytes":18432,
  "linkMbps":180000.0,"stride":3}},{"name":"s2"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1},{"name":"u"}]})";

constexpr char const* entry_text =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":64,"state":"ready","coldRemainingMs":0,"sequence":4,)"
    R"("born":1700000000000})";

constexpr char const* settings_text =
    "nodeName=edge-1\nzone=regina-a\nlisten.frontend=10.1.0.40:8227\n"
    "listen.ready=10.1.0.40:8220\nlisten.directoryService=10.1.0.40:8224\n"
    "internalPortRange=7340,7355\nseedNodes=10.1.0.40:8229,10.2.0.29:8229\n"
    "platform.address=10.200.1.7:8223\nbounds.budgetSlack=54\n"
    "bounds.graceS=8\nunknown.field=1\n";

http::request_head caller_request()
{
    http::request_head head{"POST", "/p/x?y=1", {}};
    for (auto const& [name, value] :
         std::vector<std::pair<std::string, std::string>>{
             {"Host", "a.example"},
             {"X-Attempt-Id", "9c41"},
             {"Authorization", "Token k1"},
             {"X-Deadline-Ms", "1500"},
             {"X-Model", "m"},
             {"X-Token-Count", "1460,80"},
             {"X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
             {"X-Length-Hint", "60"},
             {"X-Hold", "stolen"},
             {"Kv-From", "10.0.0.9:1/7"},
             {"X-Tenant", "someone-else"},
             {"X-Request-Priority", "0"},
             {"Connection", "keep-alive, X-Model"},
             {"X-Custom", "kept"}}) {
        head.headers.add(name, value);
    }
    return head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_reader_suite)

BOOST_AUTO_TEST_CASE(reads_a_configuration)
{
    auto const read = read_configuration(configuration_text);
    BOOST_REQUIRE(!failed(read));
    auto const& content = value_of(read);
    BOOST_TEST(content.version == 7U);
    BOOST_TEST(content.routes.at(0).host == "a.example");
    BOOST_TEST(content.routes.at(0).may_run_again());
    BOOST_TEST(content.routes.at(0).time_limit.count() == 6000);
    BOOST_TEST(!content.routes.at(1).may_run_again());
    BOOST_TEST(content.routes.at(1).services.at(1).weight == 10U);
    BOOST_TEST(content.services.at(0).model->tokens_per_event == 3U);
    BOOST_TEST(content.organisations.at(0).priority.value() == 1U);
    BOOST_TEST(content.needs_keys);
}

BOOST_AUTO_TEST_CASE(rejects_invalid_configurations)
{
    BOOST_TEST(failed(read_configuration("{")));
    BOOST_TEST(failed(read_configuration("[]")));
    auto const read = read_configuration(R"({"version":"7","routes":[]})");
    BOOST_REQUIRE(failed(read));
    BOOST_TEST(!error_of(read).message.empty());
}

// Limits that contradict each other, or a price that is missing, must not lead
// to orders, and must not stop the routes of the configuration.
BOOST_AUTO_TEST_CASE(invalid_autoscaling_is_off_and_keeps_the_configuration)
{
    auto const scaling_with = [](std::string const& from,
                                 std::string const& to) {
        std::string field =
            R"({"minInstances":1,"maxInstances":60,"bootTimeS":4.5,)"
            R"("spotPrice":0.18,"zonePrices":{"a":1.0,"b":0.8},"x":1})";
        field.replace(field.find(from), from.size(), to);
        auto const read = read_configuration(
            R"({"version":1,"routes":[],"services":[{"name":"s",)"
            R"("autoscale":)" +
            field + "}]}");
        BOOST_REQUIRE(!failed(read));
        return value_of(read).services.at(0).scaling;
    };
    auto const whole = scaling_with(R"("x")", R"("y")");
    BOOST_REQUIRE(whole.has_value());
    BOOST_TEST(whole->max_servers == 60U);
    BOOST_TEST(whole->boot_time.count() == 4500);
    BOOST_TEST(whole->reclaimable_price.value() == 0.18);
    BOOST_TEST(whole->prices.at("b") == 0.8);
    auto const no_reclaimable = scaling_with(R"("spotPrice")", R"("z")");
    BOOST_REQUIRE(no_reclaimable.has_value());
    BOOST_TEST(!no_reclaimable->reclaimable_price);
    std::vector<std::pair<std::string, std::string>> const invalid{
        {R"("minInstances":1)", R"("minInstances":61)"},
        {R"("maxInstances":60)", R"("maxInstances":0)"},
        {R"("maxInstances":60)", R"("maxInstances":"60")"},
        {R"("bootTimeS":4.5)", R"("bootTimeS":-1)"},
        {R"("spotPrice":0.18)", R"("spotPrice":"low")"},
        {R"("a":1.0)", R"("a":-1)"},
        {R"({"a":1.0,"b":0.8})", "{}"},
        {R"("zonePrices")", R"("z")"}};
    for (auto const& [from, to] : invalid) {
        BOOST_TEST(!scaling_with(from, to).has_value(), to);
    }
    BOOST_TEST(!value_of(read_configuration(configuration_text))
                    .services.at(0)
                    .scaling.has_value());
}

RC_BOOST_PROP(corrupted_configuration_is_read_or_rejected, ())
{
    std::string text = configuration_text;
    auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    std::ignore = read_configuration(text);
    RC_SUCCEED("was read or rejected");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(server_entry_suite)

BOOST_AUTO_TEST_CASE(reads_an_entry)
{
    auto const read = read_server_entry("i-1", entry_text);
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST(value_of(read).data_centre == "z");
    BOOST_TEST(value_of(read).started_unix_ms == 1700000000000);
}

// The id goes into a header field and into JSON texts.
BOOST_AUTO_TEST_CASE(an_id_that_no_field_can_state_names_a_server)
{
    for (std::string const id :
         {"", "a b", "a\r\nb", "\xff", "\xc3\xbc", "a\x7f"}) {
        BOOST_TEST(failed(read_server_entry(id, entry_text)));
    }
    for (std::string const id : {"i-1", "a05+", "a02%41", "~!"}) {
        BOOST_TEST(!failed(read_server_entry(id, entry_text)));
    }
}

// An entry of an older writer lacks these fields. Other types are rejected, as
// in all other fields.
BOOST_AUTO_TEST_CASE(reads_whether_a_server_is_reclaimed)
{
    auto const read_with = [](std::string const& fields) {
        std::string text = entry_text;
        text.insert(1, fields);
        return read_server_entry("i", text);
    };
    auto const plain = value_of(read_with(""));
    BOOST_TEST(!plain.reclaimable);
    BOOST_TEST(!plain.time_left.has_value());
    auto const unknown =
        value_of(read_with(R"("spotEnabled":null,"leaves_ms":null,)"));
    BOOST_TEST(!unknown.reclaimable);
    BOOST_TEST(!unknown.time_left.has_value());
    auto const reclaimed =
        value_of(read_with(R"("spotEnabled":true,"leaves_ms":8500.5,)"));
    BOOST_TEST(reclaimed.reclaimable);
    BOOST_TEST(reclaimed.time_left.value().count() == 8500);
    BOOST_TEST(value_of(read_with(R"("leaves_ms":-1,)")).time_left->count() ==
               0);
    BOOST_TEST(value_of(read_with(R"("leaves_ms":1e300,)")).time_left->count() >
               0);
    BOOST_TEST(error_of(read_with(R"("spotEnabled":1,)")).field ==
               "spotEnabled");
    BOOST_TEST(error_of(read_with(R"("leaves_ms":"soon",)")).field ==
               "leaves_ms");
}

// An entry of another writer was taken for a server to use.
BOOST_AUTO_TEST_CASE(an_odd_entry_names_a_server_to_use)
{
    std::string const whole = entry_text;
    auto const accepts_with = [&whole](std::string const& from,
                                       std::string const& to) {
        auto text = whole;
        BOOST_REQUIRE(text.find(from) != std::string::npos);
        text.replace(text.find(from), from.size(), to);
        return !failed(read_server_entry("i", text));
    };
    BOOST_TEST(accepts_with(R"("slots":64)", R"("slots":63)"));
    for (auto const* const slots : {"4294967297", "1e400", "-1", "1.5"}) {
        BOOST_TEST(
            !accepts_with(R"("slots":64)", std::string{R"("slots":)"} + slots));
    }
    for (auto const* const address :
         {"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:", "10.0.0.1", "h:80",
          "10.0.0.1:80x", "10.0.0.1:-1"}) {
        BOOST_TEST(!accepts_with("10.0.0.1:80", address));
    }
    BOOST_TEST(!accepts_with("1700000000000", "18446744073709551615"));
    constexpr std::size_t depth = 200000;
    for (auto const* const open : {"[", R"({"a":)"}) {
        std::string nested;
        for (std::size_t level = 0; level < depth; ++level) {
            nested += open;
        }
        BOOST_TEST(failed(read_server_entry("i", nested)));
        auto const& last = open[0] == '[' ? "]" : "}";
        nested += "1";
        for (std::size_t level = 0; level < depth; ++level) {
            nested += last;
        }
        BOOST_TEST(!accepts_with(R"("slots":64)", R"("slots":)" + nested));
        std::ignore = accepts_with(R"("slots":64)",
                                   R"("x":)" + nested + R"(,"slots":64)");
    }
}

BOOST_AUTO_TEST_CASE(rejects_truncated_and_invalid_entries)
{
    std::string const whole = entry_text;
    BOOST_TEST(failed(read_server_entry("i", whole.substr(0, 40))));
    BOOST_TEST(failed(read_server_entry("i", "\x80\xff")));
    auto const fails_with = [&whole](std::string const& from,
                                     std::string const& to) {
        auto text = whole;
        text.replace(text.find(from), from.size(), to);
        return failed(read_server_entry("i", text));
    };
    BOOST_TEST(fails_with(R"("ready")", R"("resting")"));
    BOOST_TEST(fails_with(R"("slots":64)", R"("slots":"64")"));
    BOOST_TEST(fails_with(R"("service":"s",)", ""));
    BOOST_TEST(fails_with("1700000000000", "\"soon\""));
    BOOST_TEST(fails_with("\"address\"", "\"adress\""));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(store_records_suite)

BOOST_AUTO_TEST_CASE(encoded_records_are_decoded)
{
    std::string body(16, '\0');
    body += encode_record({"config", "value", 0});
    body += encode_record({"other", "x", 0});
    body += encode_record({"config", std::nullopt, 0});
    auto const page =
        decode_records(gateway::record_topic::configuration, body, 40);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->next_offset == 43U);
    BOOST_TEST(page->records.size() == 2U); // Only key "config" is relevant.
    BOOST_TEST(page->records.at(0).offset == 40U);
    BOOST_TEST(!page->records.at(1).value.has_value());
}

BOOST_AUTO_TEST_CASE(truncated_body_is_read_up_to_the_last_complete_record)
{
    std::string body(16, '\0');
    body += encode_record({"a", "1", 0});
    body += encode_record({"b", "2", 0}).substr(0, 5);
    auto const page =
        decode_records(gateway::record_topic::backend_servers, body, 0);
    BOOST_TEST(page->next_offset == 1U);
    BOOST_TEST(!decode_records(gateway::record_topic::members, "short", 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(wire_translation_suite)

BOOST_AUTO_TEST_CASE(reads_header_fields_of_a_request)
{
    auto const protocol = make_wire_protocol();
    auto const read = protocol.parse_request(caller_request());
    BOOST_REQUIRE(!failed(read));
    auto const& facts = value_of(read);
    BOOST_TEST(facts.attempt_id == "9c41");
    BOOST_TEST(facts.api_key.value() == "k1");
    BOOST_TEST(facts.time_left->count() == 1500);
    BOOST_TEST(facts.model_prompt->tokens == 1460U);
    BOOST_TEST(facts.model_prompt->output_tokens == 60U);
    BOOST_TEST(facts.model_prompt->parts.size() == 3U);
    BOOST_TEST(facts.model_prompt->parts.at(0).id == 0x5c1e07a2U);
}

BOOST_AUTO_TEST_CASE(forwarded_request_has_gateway_fields_only_from_the_gateway)
{
    auto const protocol = make_wire_protocol();
    auto head = caller_request();
    gateway::send_metadata facts;
    facts.backend_server = "i-1";
    facts.time_left = std::chrono::milliseconds{900};
    facts.organisation = "t";
    facts.urgency_rank = 12;
    facts.rank_count = 13;
    facts.resume_after = 5;
    protocol.prepare_request(head, facts);
    auto const& headers = head.headers;
    for (auto const* const name :
         {"Authorization", "X-Hold", "Kv-From", "Connection"}) {
        BOOST_TEST(!headers.contains(name));
    }
    BOOST_TEST(*headers.find("X-Tenant") == "t");
    BOOST_TEST(*headers.find("X-Expect-Instance") == "i-1");
    BOOST_TEST(*headers.find("X-Request-Priority") == "9");
    BOOST_TEST(*headers.find("X-Deadline-Ms") == "900");
    BOOST_TEST(*headers.find("Last-Event-Id") == "5");
    // Stays although Connection names it.
    BOOST_TEST(*headers.find("X-Model") == "m");
    BOOST_TEST(*headers.find("X-Custom") == "kept");
    BOOST_TEST(head.target == "/p/x?y=1");
}

// The departure of a caller was unknown to the daemon that runs its request.
BOOST_AUTO_TEST_CASE(a_forwarded_request_states_nothing_of_its_caller)
{
    auto const protocol = make_wire_protocol();
    auto head = caller_request();
    protocol.prepare_pass_on(head,
                             {"g-1", std::chrono::milliseconds{900},
                              1234567890123U, std::chrono::milliseconds{640}});
    auto const read = protocol.parse_request(head);
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST(value_of(read).passed_on);
    auto const origin = value_of(read).origin.value();
    BOOST_TEST(origin.daemon == "g-1");
    BOOST_TEST(origin.incarnation.value() == 1234567890123U);
    BOOST_TEST(origin.patience->count() == 640);
    // An older daemon looks only whether the field is there, and removes it.
    protocol.prepare_request(head, {});
    BOOST_TEST(!head.headers.contains("Medlarstall-Passed-On-By"));
}

// What an older daemon does not state, or what is invalid, is unknown.
BOOST_AUTO_TEST_CASE(an_origin_of_an_older_version_is_rejected)
{
    auto const origin_in = [](std::string const& text) {
        auto head = caller_request();
        head.headers.set("Medlarstall-Passed-On-By", text);
        return value_of(make_wire_protocol().parse_request(head))
            .origin.value();
    };
    auto const older = origin_in("g-1");
    BOOST_TEST(older.daemon == "g-1");
    BOOST_TEST(!older.incarnation);
    BOOST_TEST(!older.patience);
    for (auto const* const bad :
         {"g-1; incarnation=; patience=-1", "g-1; incarnation=x; patience=1e3",
          "g-1;;; incarnation", "g-1; later=5"}) {
        BOOST_TEST(origin_in(bad).daemon == "g-1");
        BOOST_TEST(!origin_in(bad).incarnation);
        BOOST_TEST(!origin_in(bad).patience);
    }
    BOOST_TEST(*origin_in("g-1; new=1; incarnation=5").incarnation == 5U);
}

BOOST_AUTO_TEST_CASE(urgencies_are_mapped_to_priority_levels)
{
    auto const protocol = make_wire_protocol();
    auto const level = [&](std::uint32_t urgency, std::uint32_t urgencies) {
        auto head = caller_request();
        gateway::send_metadata facts;
        facts.urgency_rank = urgency;
        facts.rank_count = urgencies;
        protocol.prepare_request(head, facts);
        return *head.headers.find("X-Request-Priority");
    };
    BOOST_TEST(level(0, 6) == "0");
    BOOST_TEST(level(5, 6) == "5");
    BOOST_TEST(level(0, 20) == "0");
    BOOST_TEST(level(7, 20) == "3");
    BOOST_TEST(level(19, 20) == "9");
}

BOOST_AUTO_TEST_CASE(malformed_rate_limits_are_taken_as_limits)
{
    auto const read = [](std::string const& text) {
        http::response_head head{200, {}, {}};
        head.headers.add("Server-Limit", text);
        return make_wire_protocol().parse_answer(head);
    };
    BOOST_TEST(read("12.5").rate_limit.value_or(-1) == 12.5);
    BOOST_TEST(read("0").rate_limit.value_or(-1) == 0);
    for (auto const* const bad :
         {"-1", "inf", "nan", "1e999", "none", "", "1,2", "5 a second"}) {
        BOOST_TEST(!read(bad).rate_limit);
        BOOST_TEST(read(bad).malformed_rate_limit.value_or("x") == bad);
    }
}

BOOST_AUTO_TEST_CASE(own_responses_have_retry_after)
{
    auto const response = make_wire_protocol().write_gateway_answer(
        {503, "not_run", std::chrono::milliseconds{250}, "9c41"});
    BOOST_TEST(*response.head.headers.find("Retry-After") == "0.250");
    BOOST_TEST(*response.head.headers.find("X-Attempt-Id") == "9c41");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(node_settings_suite)

BOOST_AUTO_TEST_CASE(reads_settings_and_ignores_unknown_fields)
{
    auto const read = read_node_settings(settings_text, 9464);
    BOOST_REQUIRE(!failed(read));
    auto const& settings = value_of(read).gateway;
    BOOST_TEST(settings.peer_address.port() == 7340);
    BOOST_TEST(settings.seeds.size() == 2U);
    BOOST_TEST(settings.seeds.at(1) == "10.2.0.29:7340");
    BOOST_TEST(settings.retries.slack == 54.0);
    BOOST_TEST(settings.grace_period.count() == 8000);
}

BOOST_AUTO_TEST_CASE(names_the_invalid_field)
{
    std::string text = settings_text;
    text.replace(text.find("10.1.0.40:8227"), 14, "nowhere");
    auto const read = read_node_settings(text, 0);
    BOOST_REQUIRE(failed(read));
    BOOST_TEST(error_of(read).field == "listen.frontend");
    std::string negative_slack = settings_text;
    negative_slack.replace(negative_slack.find("budgetSlack=54"), 14,
                           "budgetSlack=-1");
    BOOST_TEST(error_of(read_node_settings(negative_slack, 0)).field ==
               "bounds.budgetSlack");
}

// Guards against duties that begin without being asked for, and against limits
// that are not those of the deployment.
BOOST_AUTO_TEST_CASE(duties_are_read_only_with_an_address)
{
    std::string const fields =
        "bounds.leaseMs=2500\nbounds.fencingEnforced=false\n"
        "bounds.thawMs=250\nbounds.reportWindowS=2.5\nbounds.usageOff=0.1\n"
        "bounds.usageDelayS=7\ncloudApi.dutiesPerS=20\n"
        "cloudApi.duties=usage_report\n";
    auto const without = read_node_settings(settings_text + fields, 0);
    BOOST_REQUIRE(!failed(without));
    BOOST_TEST(!value_of(without).gateway.duties.has_value());
    BOOST_TEST(!value_of(without).cloud.has_value());
    auto const address = std::string{"cloudApi.address=10.200.1.9:8300\n"};
    auto const read = read_node_settings(settings_text + fields + address, 0);
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST(value_of(read).cloud.value().port() == 8300);
    gateway::duty_settings expected;
    expected.reports_usage = true;
    expected.calls_per_second = 20;
    expected.lease = std::chrono::milliseconds{2500};
    expected.fencing_enforced = false;
    expected.thaw = std::chrono::milliseconds{250};
    expected.report_window = std::chrono::milliseconds{2500};
    expected.usage_tolerance = 0.1;
    expected.usage_delay = std::chrono::milliseconds{7000};
    BOOST_TEST((value_of(read).gateway.duties.value() == expected));
    auto const only_address = read_node_settings(settings_text + address, 0);
    BOOST_TEST(!value_of(only_address).gateway.duties.value().has_any());
}

// A duty of a later version must not keep a daemon from starting.
BOOST_AUTO_TEST_CASE(unknown_duties_are_ignored)
{
    auto const text = std::string{settings_text} +
                      "cloudApi.address=10.200.1.9:8300\n"
                      "cloudApi.duties=other,usage_report\n";
    auto const read = read_node_settings(text, 0);
    BOOST_REQUIRE(!failed(read));
    auto const& duties = value_of(read).gateway.duties.value();
    BOOST_TEST(duties.reports_usage);
    BOOST_TEST(!duties.scales);
}

BOOST_AUTO_TEST_CASE(names_the_invalid_field_of_the_duties)
{
    for (auto const& line :
         {"cloudApi.address=nowhere", "cloudApi.dutiesPerS=0",
          "bounds.leaseMs=10", "bounds.thawMs=-1",
          "bounds.fencingEnforced=maybe", "bounds.reportWindowS=0",
          "bounds.usageOff=2", "bounds.usageDelayS=x"}) {
        std::string const text = std::string{settings_text} +
                                 "cloudApi.address=10.200.1.9:8300\n" + line +
                                 "\n";
        auto const read = read_node_settings(text, 0);
        BOOST_REQUIRE_MESSAGE(failed(read), line);
        BOOST_TEST(std::string{line}.starts_with(error_of(read).field + "="));
    }
}

// The limits of the machine were not read, or not divided, so that a gateway
// could hold more than its machine has.
BOOST_AUTO_TEST_CASE(limits_of_the_machine_are_exceeded)
{
    for (auto const descriptors : {500, 3075, 10436}) {
        auto const text = std::string{settings_text} +
                          "\nlimits.memoryMb=120\nlimits.maxFds=" +
                          std::to_string(descriptors) + "\n";
        auto const read = read_node_settings(text, 0);
        BOOST_REQUIRE(!failed(read));
        auto const& settings = value_of(read).gateway;
        BOOST_TEST(settings.max_held_bytes == 48000000U);
        auto const connections = settings.max_connections +
                                 settings.max_upstream_connections +
                                 4 * settings.max_control_connections;
        BOOST_TEST(connections + 200 <= static_cast<std::size_t>(descriptors));
        BOOST_TEST(settings.max_connections >= 64U);
    }
}

// Older settings files do not state the memory.
BOOST_AUTO_TEST_CASE(memory_that_is_not_stated_is_an_error)
{
    gateway::gateway_settings const defaults;
    auto const read = read_node_settings(settings_text, 0);
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST(value_of(read).gateway.max_held_bytes ==
               defaults.max_held_bytes);
    auto const text = std::string{settings_text} + "\nlimits.memoryMb=none\n";
    BOOST_TEST(error_of(read_node_settings(text, 0)).field ==
               "limits.memoryMb");
}

BOOST_AUTO_TEST_SUITE_END()
