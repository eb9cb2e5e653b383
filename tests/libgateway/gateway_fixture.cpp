#include "gateway_fixture.hpp"

#include <platform/translations.hpp>

#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace medlarstall;

namespace {

/// Far longer than any test takes; reached only if a test fails.
constexpr std::chrono::seconds max_test_time{20};

asio::ip::tcp::endpoint any_free_port()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

} // namespace

double caller_answer::retry_after_seconds() const
{
    auto const* const text = headers.find("Retry-After");
    return text == nullptr ? 0.0 : std::strtod(text->c_str(), nullptr);
}

gateway_fixture::gateway_fixture(std::size_t server_count)
    : log_descriptor{::memfd_create("gateway-log", MFD_CLOEXEC)}
{
    for (std::size_t at = 0; at < server_count; ++at) {
        servers.push_back(std::make_unique<platform_standins::server_standin>(
            context, "i-" + std::to_string(at)));
        list_server(at, "ready", 1);
    }
}

gateway_fixture::~gateway_fixture()
{
    ::close(log_descriptor);
}

gateway::gateway&
gateway_fixture::add_gateway(std::chrono::milliseconds grace_period,
                             std::vector<std::string> seeds)
{
    gateway::gateway_settings settings;
    settings.seeds = std::move(seeds);
    settings.name = "g-" + std::to_string(gateways.size());
    settings.data_centre = "z";
    settings.entry_address = settings.ready_address = any_free_port();
    settings.directory_address = settings.peer_address = any_free_port();
    settings.grace_period = grace_period;
    settings.first_start = first_start;
    settings.duties = duties;
    if (counts_usage) {
        settings.duties.emplace().reports_usage = true;
        settings.duties->report_window = std::chrono::seconds{1};
    }
    store_addresses.push_back(has_own_store_addresses
                                  ? store.add_address()
                                  : own_store.value_or(store.address()));
    if (has_own_contexts) {
        gateway_contexts.push_back(std::make_unique<asio::io_context>(1));
    }
    auto& loop = has_own_contexts ? *gateway_contexts.back() : context;
    auto adapter = platform::make_translations(loop, store_addresses.back(),
                                               any_free_port());
    if (call_duty) {
        adapter.call_duty = call_duty;
    }
    gateways.push_back(std::make_unique<gateway::gateway>(
        loop, settings, std::move(adapter), log_descriptor));
    BOOST_REQUIRE(!failed(gateways.back()->start()));
    return *gateways.back();
}

void gateway_fixture::kill_gateways()
{
    gateways.clear();
    gateway_contexts.clear(); // Drops the handlers of all pending operations.
    store_addresses.clear();
}

void gateway_fixture::write_configuration(std::uint64_t version,
                                          std::string const& service)
{
    auto const route = [&service](std::string const& name,
                                  std::string const& kind,
                                  std::string const& more) {
        return R"({"name":")" + name +
               R"(","hostname":"h.example","pathPrefix":"/)" + name +
               R"(/","routeType":")" + kind +
               R"(","timeoutMs":3000,"targetLatencyMs":400,"priority":1,)" +
               R"("service":")" + service + "\"," + more + "}";
    };
    store.put("keyed.op", "config",
              R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
                  route("safe", "safe", R"("maxAttempts":2)") + "," +
                  route("once", "unsafe", R"("maxAttempts":2)") + "," +
                  route("open", "safe", R"("maxAttempts":1,"public":true)") +
                  "," +
                  route("stream", "streaming",
                        R"("maxAttempts":2,"streamResume":false)") +
                  "," +
                  route("resume", "streaming",
                        R"("maxAttempts":2,"streamResume":true)") +
                  R"(],"services":[{"name":")" + service +
                  R"(","healthCheckPath":"/healthz"}],"tenants":[)" +
                  R"({"name":"small","apiKeys":["key-small"]}]})");
}

void gateway_fixture::list_server(std::size_t at, std::string const& state,
                                  std::uint64_t sequence)
{
    store.put("keyed.servers", servers.at(at)->id(),
              servers.at(at)->entry("s", state, sequence));
}

void gateway_fixture::list_next_run(std::size_t at)
{
    auto entry = servers.at(at)->entry("s", "ready", 1);
    std::string const started{"1700000000000"};
    entry.replace(entry.find(started), started.size(), "1700000009000");
    store.put("keyed.servers", servers.at(0)->id(), entry);
    BOOST_REQUIRE(run_until([this] {
        return log_text().find("change=restarted") != std::string::npos;
    }));
}

void gateway_fixture::list_raw_server(
    platform_standins::raw_server const& server, std::string const& id)
{
    store.put("keyed.servers", id,
              R"({"service":"s","address":")" + server.address() +
                  R"(","zone":"z","version":"v1","slots":4,)"
                  R"("state":"ready","coldRemainingMs":0,"sequence":1,)"
                  R"("born":1700000000000})");
    BOOST_REQUIRE(run_until([this, &id] {
        auto const state =
            get(gateways[0]->settings().peer_address, "/v1/status");
        return state.body.find(id) != std::string::npos;
    }));
}

bool gateway_fixture::run_until(std::function<bool()> const& holds)
{
    auto const end = std::chrono::steady_clock::now() + max_test_time;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        context.restart();
        if (!has_own_contexts) {
            context.run_one_for(std::chrono::milliseconds{50});
            continue;
        }
        context.run_one_for(std::chrono::milliseconds{1});
        for (std::size_t at = 0; at < gateway_contexts.size(); ++at) {
            if (!frozen.contains(at)) {
                gateway_contexts[at]->restart();
                gateway_contexts[at]->poll();
            }
        }
    }
    return true;
}

namespace {

/// \return event handlers that fill an answer
http::call_events answer_events(std::shared_ptr<caller_answer> const& answer)
{
    http::call_events events;
    events.is_response_to_call = [](http::response_head const&) {
        return true;
    };
    events.head = [answer](http::response_head& head, http::body_framing) {
        answer->status = head.status;
        answer->headers = head.headers;
    };
    events.body = [answer](std::string const& bytes) {
        answer->body += bytes;
    };
    events.complete = [answer] {
        answer->complete = true;
    };
    events.failed = [answer](http::call_failure) {
        answer->broken = true;
    };
    return events;
}

} // namespace

std::shared_ptr<caller_answer>
gateway_fixture::send(std::size_t gateway, std::string const& method,
                      std::string const& path, std::string const& id,
                      std::string const& key, std::string const& tokens,
                      std::string const& parts)
{
    std::vector<std::pair<std::string, std::string>> fields;
    if (!tokens.empty()) {
        fields = {{"X-Token-Count", tokens},
                  {"X-Model", "m"},
                  {"X-Prefix-Hash", parts}};
    }
    if (!key.empty()) {
        fields.emplace_back("Authorization", "Token " + key);
    }
    return send_call(gateway, method, path, id, fields);
}

std::shared_ptr<caller_answer> gateway_fixture::send_with_fields(
    std::size_t gateway, std::string const& method, std::string const& path,
    std::string const& id,
    std::vector<std::pair<std::string, std::string>> const& fields)
{
    auto all = fields;
    all.emplace_back("Authorization", "Token key-small");
    return send_call(gateway, method, path, id, all);
}

std::shared_ptr<caller_answer> gateway_fixture::send_call(
    std::size_t gateway, std::string const& method, std::string const& path,
    std::string const& id,
    std::vector<std::pair<std::string, std::string>> const& fields)
{
    auto answer = std::make_shared<caller_answer>();
    auto connection = std::make_shared<http::upstream_connection>(
        context, gateways.at(gateway)->settings().entry_address);
    connections.push_back(connection);
    http::request_head head{method, path, {}};
    head.headers.add("Host", "h.example");
    head.headers.add("X-Attempt-Id", id);
    head.headers.add("X-Deadline-Ms", "5000");
    head.headers.add("X-Hold", "not-yours");
    for (auto const& [name, value] : fields) {
        head.headers.add(name, value);
    }
    connection->start_call(
        http::serialize_request(head, method == "POST" ? "body of " + id : ""),
        false, answer_events(answer));
    return answer;
}

caller_answer gateway_fixture::send_and_wait(std::size_t gateway,
                                             std::string const& method,
                                             std::string const& path,
                                             std::string const& id,
                                             std::string const& key)
{
    auto const answer = send(gateway, method, path, id, key);
    BOOST_TEST(run_until([&answer] { return answer->ended(); }));
    // Keeps the gateway from running out of connections.
    connections.pop_back();
    return *answer;
}

bool gateway_fixture::wait_until_ready(std::size_t gateway)
{
    int tries = 0;
    auto answer = send(gateway, "GET", "/open/x", "ready", "");
    return run_until([&] {
        if (!answer->ended()) {
            return false;
        }
        if (answer->status == 200) {
            return true;
        }
        answer = send(gateway, "GET", "/open/x",
                      "ready-" + std::to_string(++tries), "");
        return false;
    });
}

caller_answer gateway_fixture::get(asio::ip::tcp::endpoint const& address,
                                   std::string const& target)
{
    auto const answer = std::make_shared<caller_answer>();
    auto const connection =
        std::make_shared<http::upstream_connection>(context, address);
    http::request_head head{"GET", target, {}};
    head.headers.add("Host", "h");
    connection->start_call(http::serialize_request(head, ""), false,
                           answer_events(answer));
    BOOST_TEST(run_until([&answer] { return answer->ended(); }));
    return *answer;
}

std::size_t gateway_fixture::total_runs() const
{
    std::size_t runs = 0;
    for (auto const& server : servers) {
        runs += server->runs().size();
    }
    return runs;
}

void gateway_fixture::add_gateways(std::size_t daemons)
{
    constexpr std::size_t max_seeds = 3;
    std::vector<std::string> seeds;
    for (std::size_t at = 0; at < daemons; ++at) {
        auto const& started =
            add_gateway(std::chrono::seconds{8}, seeds).settings();
        if (seeds.size() < max_seeds) {
            seeds.push_back("127.0.0.1:" +
                            std::to_string(started.peer_address.port()));
        }
    }
}

std::string gateway_fixture::log_text() const
{
    struct stat status{};
    BOOST_REQUIRE(::fstat(log_descriptor, &status) == 0);
    std::string text(static_cast<std::size_t>(status.st_size), ' ');
    std::ignore = ::pread(log_descriptor, text.data(), text.size(), 0);
    return text;
}

void gateway_fixture::run_for(std::chrono::milliseconds span)
{
    auto const end = std::chrono::steady_clock::now() + span;
    run_until([end] { return std::chrono::steady_clock::now() >= end; });
}

ready_gateway_fixture::ready_gateway_fixture(std::size_t server_count)
    : gateway_fixture{server_count}
{
    write_configuration(1);
    add_gateway();
    BOOST_REQUIRE(wait_until_ready(0));
    runs_before_ready = total_runs();
}

void ready_gateway_fixture::script_all(platform_standins::behaviour const& what)
{
    for (auto const& server : servers) {
        server->script(what);
    }
}
