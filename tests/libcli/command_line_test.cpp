// Commands of medlarstall, run against scripted daemons and an engine stand-in.

#include <medlarstall/cli/command_line.hpp>

#include <medlarstall/catalogue/record_codec.hpp>
#include <medlarstall/standins/engine_standin.hpp>
#include <medlarstall/standins/threaded_standin.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>

using namespace medlarstall;
using namespace medlarstall::cli;
using namespace medlarstall::standins;
using nlohmann::json;

BOOST_TEST_DONT_PRINT_LOG_VALUE(exit_code)

namespace {

/// Status codes and bodies that a daemon responds with, by method and path.
using response_script = std::map<std::string, std::pair<unsigned, json>>;

/// A daemon that sends fixed responses and keeps the requests that it received.
/// It responds with status 404 to a request that is not in the script.
class scripted_daemon
{
public:
    scripted_daemon(asio::io_context& context, response_script script)
        : script_{std::move(script)},
          host_{context, {}, [this](http_exchange_ptr const& exchange) {
                    respond(*exchange);
                }}
    {}

    void start() { host_.start(); }
    void stop() { host_.stop(); }
    [[nodiscard]] std::uint16_t port() const { return host_.port(); }

    response_script script_;
    std::vector<http_request> received_;

private:
    void respond(http_exchange& exchange)
    {
        auto const& request = exchange.request();
        received_.push_back(request);
        auto const found = script_.find(request.method + " " + request.path);
        if (found == script_.end()) {
            exchange.reply(404, "{}");
            return;
        }
        exchange.reply(found->second.first, found->second.second.dump());
    }

    http_host host_;
};

/// Exit code and output of a command.
struct outcome
{
    exit_code code;
    std::string out;
    std::string log;
};

/// Runs medlarstall with some arguments and no environment variables.
template<class... Arguments>
outcome run(Arguments const&... arguments)
{
    std::ostringstream out;
    std::ostringstream log;
    auto const code = run_command_line(
        {"medlarstall", arguments...}, [](char const*) { return nullptr; }, out,
        log);
    return {code, out.str(), log.str()};
}

/// A file that is deleted when the object is destroyed.
class temporary_file
{
public:
    explicit temporary_file(std::string const& text)
    {
        std::ofstream{path_} << text;
    }
    ~temporary_file() { std::remove(path_.c_str()); }
    temporary_file(temporary_file const&) = delete;
    temporary_file& operator=(temporary_file const&) = delete;
    [[nodiscard]] std::string const& path() const { return path_; }

private:
    std::string path_ = "medlarstall-test-catalogue.json";
};

json const empty_catalogue{{"offset", 0},
                           {"digest", ""},
                           {"catalogue", json::object()},
                           {"revisions", json::object()}};

/// Response to GET /v1/in-force of one daemon that has applied all records
/// before an offset.
json daemons_at(std::uint64_t offset)
{
    return {{"daemons", {{{"id", "d1"}, {"offset", offset}, {"digest", "x"}}}},
            {"missing", json::array()},
            {"agree", true}};
}

/// Publishes a file with one service class to a scripted daemon.
struct publish_fixture
{
    temporary_file file{R"({"classes":{"a":{"owner":"o","tier":1}}})"};

    outcome publish(response_script script)
    {
        script.try_emplace("GET /admin/v1/catalogue", 200, empty_catalogue);
        threaded_standin<scripted_daemon> daemon{std::move(script)};
        auto const port =
            daemon.call([](scripted_daemon& host) { return host.port(); });
        auto actual = run("catalogue", "publish", file.path(), "--server",
                          "127.0.0.1:" + std::to_string(port), "--operator-key",
                          "secret", "--wait-ms", "300");
        received =
            daemon.call([](scripted_daemon& host) { return host.received_; });
        return actual;
    }

    std::vector<http_request> received;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(command_line_suite, publish_fixture)

BOOST_AUTO_TEST_CASE(prints_help_and_rejects_invalid_usage)
{
    BOOST_TEST((run("--help").code == exit_code::success));
    BOOST_TEST((run("catalogue", "levitate").code == exit_code::usage));
    auto const help = run("load", "--help");
    BOOST_TEST((help.code == exit_code::success));
    BOOST_TEST((run("load", "--rate", "0").code == exit_code::usage));
    BOOST_TEST((run("load", "--mix", "colour=red").code == exit_code::usage));
}

BOOST_AUTO_TEST_CASE(reports_that_no_daemon_answers)
{
    for (auto const* name : {"entries", "shares", "status", "load"}) {
        auto const actual = run(name, "--server", "127.0.0.1:1");
        BOOST_TEST((actual.code == exit_code::unreachable));
        BOOST_TEST(actual.log.find("127.0.0.1:1") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(validates_catalogue_file)
{
    BOOST_TEST(
        (run("catalogue", "check", file.path()).code == exit_code::success));
    temporary_file const invalid{
        R"({"classes":{"a":{"owner":"o","colour":1}}})"};
    auto const actual = run("catalogue", "check", invalid.path());
    BOOST_TEST((actual.code == exit_code::usage));
    BOOST_TEST(actual.log.find("colour") != std::string::npos);
    BOOST_TEST(
        (run("catalogue", "check", "no-such-file").code == exit_code::usage));
}

BOOST_AUTO_TEST_CASE(publishes_difference_and_waits_until_in_force)
{
    auto const actual =
        publish({{"POST /admin/v1/catalogue", {200, {{"offset", 4}}}},
                 {"GET /v1/in-force", {200, daemons_at(5)}}});
    BOOST_TEST((actual.code == exit_code::success));
    BOOST_TEST(actual.out.find("+ classes/a") != std::string::npos);
    BOOST_TEST(actual.log.find("in force at 1 of 1") != std::string::npos);
    BOOST_REQUIRE(received.size() == 3U);
    BOOST_TEST(received[1].header("Authorization") == "Bearer secret");
    auto const change =
        catalogue::record_reader{}.read_change(json::parse(received[1].body));
    BOOST_REQUIRE(!failed(change));
    BOOST_TEST(value_of(change).edits.size() == 1U);
    BOOST_TEST(actual.out.find(value_of(change).id) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(names_daemon_that_has_not_applied_the_change)
{
    auto const actual =
        publish({{"POST /admin/v1/catalogue", {200, {{"offset", 4}}}},
                 {"GET /v1/in-force", {200, daemons_at(4)}}});
    BOOST_TEST((actual.code == exit_code::incomplete));
    BOOST_TEST(actual.log.find("not in force at d1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(distinguishes_conflict_rejection_and_unknown_outcome)
{
    json const error_body{{"error",
                           {{"code", "conflict"},
                            {"message", "changed meanwhile"},
                            {"entry", "classes/a"},
                            {"winner", "other-change"}}}};
    auto const conflict =
        publish({{"POST /admin/v1/catalogue", {409, error_body}}});
    BOOST_TEST((conflict.code == exit_code::conflict));
    BOOST_TEST(conflict.log.find("other-change") != std::string::npos);
    auto const rejected =
        publish({{"POST /admin/v1/catalogue", {400, error_body}}});
    BOOST_TEST((rejected.code == exit_code::refused));
    auto const unknown =
        publish({{"POST /admin/v1/catalogue", {503, error_body}}});
    BOOST_TEST((unknown.code == exit_code::refused));
    BOOST_TEST(unknown.log.find("--change-id") != std::string::npos);
    std::set<std::string> sent;
    for (auto const& request : received) {
        if (request.method == "POST") {
            sent.insert(request.body);
        }
    }
    BOOST_TEST(sent.size() == 1U);
    BOOST_TEST(received.size() > 2U);
}

BOOST_AUTO_TEST_CASE(load_counts_complete_and_truncated_responses)
{
    threaded_standin<engine_standin> engine{engine_settings{
        .speed = {.slots = 100,
                  .between_tokens = std::chrono::milliseconds{1},
                  .batching_slowdown = 0}}};
    auto const server =
        "127.0.0.1:" + std::to_string(engine.call(
                           [](engine_standin& host) { return host.port(); }));
    auto const load = [&] {
        return run("load", "--server", server, "--rate", "50", "--duration-ms",
                   "500", "--mix", "class=a;tokens=5", "--mix",
                   "class=b;weight=2;tokens=7", "--json");
    };
    auto const actual = load();
    BOOST_TEST((actual.code == exit_code::success));
    auto const statistics = json::parse(actual.out);
    auto const& all = statistics["streams"][2];
    auto const run_count =
        engine.call([](engine_standin& host) { return host.runs().size(); });
    BOOST_TEST(all["sent"] == run_count);
    BOOST_TEST(all["answered"] == run_count);
    auto const tokens = 5 * statistics["streams"][0]["sent"].get<int>() +
                        7 * statistics["streams"][1]["sent"].get<int>();
    BOOST_TEST(all["tokens"] == tokens);
    engine.call([](engine_standin& host) { host.set({.lose_finish = true}); });
    auto const truncated = load();
    BOOST_TEST((truncated.code == exit_code::negative));
    BOOST_TEST(json::parse(truncated.out)["streams"][2]["cut"] == run_count);
}

BOOST_AUTO_TEST_CASE(prints_gateway_status)
{
    json const status{
        {"daemon", "edge-1"},
        {"ready", true},
        {"configuration", 7},
        {"backend_servers",
         {{{"id", "i-1"}, {"health", "suspect"}, {"in_flight", 3}}}},
        {"peers", {{{"daemon", "edge-2"}, {"news_age_ms", 120}}}}};
    threaded_standin<scripted_daemon> daemon{
        response_script{{"GET /v1/status", {200, status}}}};
    auto const server =
        "127.0.0.1:" + std::to_string(daemon.call(
                           [](scripted_daemon& host) { return host.port(); }));
    auto const actual = run("gateway", "status", "--server", server);
    BOOST_TEST((actual.code == exit_code::success));
    for (auto const* const text : {"edge-1", "suspect", "edge-2", "120"}) {
        BOOST_TEST(actual.out.find(text) != std::string::npos, text);
    }
    auto const as_json = run("gateway", "status", "--server", server, "--json");
    BOOST_TEST((json::parse(as_json.out) == json::array({status})));
    auto const unreachable =
        run("gateway", "status", "--server", "127.0.0.1:1");
    BOOST_TEST((unreachable.code == exit_code::unreachable));
    BOOST_TEST(!unreachable.log.empty());
}

BOOST_AUTO_TEST_SUITE_END()
