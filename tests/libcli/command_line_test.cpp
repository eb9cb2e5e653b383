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

/// Answers of a daemon, by method and path.
using answers = std::map<std::string, std::pair<unsigned, json>>;

/// A daemon that gives fixed answers and keeps what it was sent.
class scripted_daemon
{
public:
    scripted_daemon(asio::io_context& context, answers script)
        : script_{std::move(script)},
          host_{context, {}, [this](http_exchange_ptr const& exchange) {
                    answer(*exchange);
                }}
    {}

    void start() { host_.start(); }
    void stop() { host_.stop(); }
    [[nodiscard]] std::uint16_t port() const { return host_.port(); }

    answers script_;
    std::vector<http_request> received_;

private:
    void answer(http_exchange& exchange)
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

/// What a command did.
struct outcome
{
    exit_code code;
    std::string out;
    std::string log;
};

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

/// A file that is removed at the end.
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

json daemons_at(std::uint64_t offset)
{
    return {{"daemons", {{{"id", "d1"}, {"offset", offset}, {"digest", "x"}}}},
            {"missing", json::array()},
            {"agree", true}};
}

struct publish_fixture
{
    temporary_file file{R"({"classes":{"a":{"owner":"o","tier":1}}})"};

    outcome publish(answers script)
    {
        script.try_emplace("GET /admin/v1/catalogue", 200, empty_catalogue);
        threaded_standin<scripted_daemon> daemon{std::move(script)};
        auto const port =
            daemon.call([](scripted_daemon& one) { return one.port(); });
        auto got = run("catalogue", "publish", file.path(), "--server",
                       "127.0.0.1:" + std::to_string(port), "--operator-key",
                       "secret", "--wait-ms", "300");
        received =
            daemon.call([](scripted_daemon& one) { return one.received_; });
        return got;
    }

    std::vector<http_request> received;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(command_line_suite, publish_fixture)

BOOST_AUTO_TEST_CASE(explains_itself)
{
    BOOST_TEST((run("--help").code == exit_code::success));
    BOOST_TEST((run("catalogue", "levitate").code == exit_code::usage));
    auto const help = run("load", "--help");
    BOOST_TEST((help.code == exit_code::success));
    BOOST_TEST((run("load", "--rate", "0").code == exit_code::usage));
    BOOST_TEST((run("load", "--mix", "colour=red").code == exit_code::usage));
}

BOOST_AUTO_TEST_CASE(tells_that_no_daemon_answers)
{
    for (auto const* name : {"entries", "shares", "status", "load"}) {
        auto const got = run(name, "--server", "127.0.0.1:1");
        BOOST_TEST((got.code == exit_code::unreachable));
        BOOST_TEST(got.log.find("127.0.0.1:1") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(checks_a_file)
{
    BOOST_TEST(
        (run("catalogue", "check", file.path()).code == exit_code::success));
    temporary_file const wrong{R"({"classes":{"a":{"owner":"o","colour":1}}})"};
    auto const got = run("catalogue", "check", wrong.path());
    BOOST_TEST((got.code == exit_code::usage));
    BOOST_TEST(got.log.find("colour") != std::string::npos);
    BOOST_TEST(
        (run("catalogue", "check", "no-such-file").code == exit_code::usage));
}

BOOST_AUTO_TEST_CASE(publishes_the_difference_once_in_force)
{
    auto const got =
        publish({{"POST /admin/v1/catalogue", {200, {{"offset", 4}}}},
                 {"GET /v1/in-force", {200, daemons_at(5)}}});
    BOOST_TEST((got.code == exit_code::success));
    BOOST_TEST(got.out.find("+ classes/a") != std::string::npos);
    BOOST_TEST(got.log.find("in force at 1 of 1") != std::string::npos);
    BOOST_REQUIRE(received.size() == 3U);
    BOOST_TEST(received[1].header("Authorization") == "Bearer secret");
    auto const change =
        catalogue::record_reader{}.read_change(json::parse(received[1].body));
    BOOST_REQUIRE(!failed(change));
    BOOST_TEST(value_of(change).edits.size() == 1U);
    BOOST_TEST(got.out.find(value_of(change).id) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(names_the_daemon_that_lags)
{
    auto const got =
        publish({{"POST /admin/v1/catalogue", {200, {{"offset", 4}}}},
                 {"GET /v1/in-force", {200, daemons_at(4)}}});
    BOOST_TEST((got.code == exit_code::incomplete));
    BOOST_TEST(got.log.find("not in force at d1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(tells_conflict_refusal_and_doubt_apart)
{
    json const problem{{"error",
                        {{"code", "conflict"},
                         {"message", "changed meanwhile"},
                         {"entry", "classes/a"},
                         {"winner", "other-change"}}}};
    auto const conflict =
        publish({{"POST /admin/v1/catalogue", {409, problem}}});
    BOOST_TEST((conflict.code == exit_code::conflict));
    BOOST_TEST(conflict.log.find("other-change") != std::string::npos);
    auto const refused =
        publish({{"POST /admin/v1/catalogue", {400, problem}}});
    BOOST_TEST((refused.code == exit_code::refused));
    auto const doubt = publish({{"POST /admin/v1/catalogue", {503, problem}}});
    BOOST_TEST((doubt.code == exit_code::refused));
    BOOST_TEST(doubt.log.find("--change-id") != std::string::npos);
    std::set<std::string> sent;
    for (auto const& request : received) {
        if (request.method == "POST") {
            sent.insert(request.body);
        }
    }
    BOOST_TEST(sent.size() == 1U);
    BOOST_TEST(received.size() > 2U);
}

BOOST_AUTO_TEST_CASE(drives_load)
{
    threaded_standin<engine_standin> engine{engine_settings{
        .speed = {.slots = 100,
                  .between_tokens = std::chrono::milliseconds{1},
                  .batching_slowdown = 0}}};
    auto const server =
        "127.0.0.1:" + std::to_string(engine.call(
                           [](engine_standin& one) { return one.port(); }));
    auto const load = [&] {
        return run("load", "--server", server, "--rate", "50", "--duration-ms",
                   "500", "--mix", "class=a;tokens=5", "--mix",
                   "class=b;weight=2;tokens=7", "--json");
    };
    auto const got = load();
    BOOST_TEST((got.code == exit_code::success));
    auto const figures = json::parse(got.out);
    auto const& all = figures["streams"][2];
    auto const runs =
        engine.call([](engine_standin& one) { return one.runs().size(); });
    BOOST_TEST(all["sent"] == runs);
    BOOST_TEST(all["answered"] == runs);
    auto const tokens = 5 * figures["streams"][0]["sent"].get<int>() +
                        7 * figures["streams"][1]["sent"].get<int>();
    BOOST_TEST(all["tokens"] == tokens);
    engine.call([](engine_standin& one) { one.set({.lose_finish = true}); });
    auto const cut = load();
    BOOST_TEST((cut.code == exit_code::negative));
    BOOST_TEST(json::parse(cut.out)["streams"][2]["cut"] == runs);
}

BOOST_AUTO_TEST_CASE(shows_what_gateways_believe)
{
    json const status{
        {"daemon", "edge-1"},
        {"ready", true},
        {"configuration", 7},
        {"backend_servers",
         {{{"id", "i-1"}, {"health", "suspect"}, {"in_flight", 3}}}},
        {"peers", {{{"daemon", "edge-2"}, {"news_age_ms", 120}}}}};
    threaded_standin<scripted_daemon> daemon{
        answers{{"GET /v1/status", {200, status}}}};
    auto const server =
        "127.0.0.1:" + std::to_string(daemon.call(
                           [](scripted_daemon& one) { return one.port(); }));
    auto const got = run("gateway", "status", "--server", server);
    BOOST_TEST((got.code == exit_code::success));
    for (auto const* const text : {"edge-1", "suspect", "edge-2", "120"}) {
        BOOST_TEST(got.out.find(text) != std::string::npos, text);
    }
    auto const as_json = run("gateway", "status", "--server", server, "--json");
    BOOST_TEST((json::parse(as_json.out) == json::array({status})));
    auto const nobody = run("gateway", "status", "--server", "127.0.0.1:1");
    BOOST_TEST((nobody.code == exit_code::unreachable));
    BOOST_TEST(!nobody.log.empty());
}

BOOST_AUTO_TEST_SUITE_END()
