// Measures what a request and an event of a stream cost the gateway: processor
// time of its thread, with callers, store and backend server in another.

#include <medlarstall/gateway/gateway.hpp>
#include <medlarstall/platform_standins/store_standin.hpp>
#include <platform/translations.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>

using namespace medlarstall;

namespace {

constexpr int callers = 32;
constexpr int events_per_stream = 200;
constexpr int plain_requests = 20000;
constexpr int streams = 1000;

double processor_seconds()
{
    rusage used{};
    ::getrusage(RUSAGE_THREAD, &used);
    constexpr double per_us = 1e-6;
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
           per_us * static_cast<double>(used.ru_utime.tv_usec +
                                        used.ru_stime.tv_usec);
}

asio::ip::tcp::endpoint free_port()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

/// Answers with a short body, or with the events of a stream.
void serve(std::unique_ptr<http::exchange> caller)
{
    http::response_head head{200, {}, {}};
    if (auto const* const id = caller->head().headers.find("X-Attempt-Id")) {
        head.headers.add("X-Attempt-Id", *id);
    }
    head.headers.add("X-Response-Seal", "seal");
    if (caller->head().method == "GET") {
        caller->respond({head, std::string(200, 'x')});
        return;
    }
    caller->start_response(head);
    for (int id = 1; id <= events_per_stream; ++id) {
        caller->write("id: " + std::to_string(id) +
                      "\ndata: some tokens of an answer\n\n");
    }
    caller->finish();
}

std::string configuration()
{
    auto const route = [](std::string const& name, std::string const& kind) {
        return R"({"name":")" + name +
               R"(","hostname":"h.example","pathPrefix":"/)" + name +
               R"(/","routeType":")" + kind +
               R"(","timeoutMs":20000,"targetLatencyMs":1000,"service":"s"})";
    };
    return R"({"version":1,"routes":[)" + route("plain", "safe") + "," +
           route("stream", "streaming") +
           R"(],"services":[{"name":"s","healthCheckPath":"/healthz"}]})";
}

/// Sends one request after another until none is left.
class caller_loop : public std::enable_shared_from_this<caller_loop>
{
public:
    caller_loop(asio::io_context& context, asio::ip::tcp::endpoint address,
                std::string method, int& left, int& open)
        : context_{context}, address_{std::move(address)},
          method_{std::move(method)}, left_{left}, open_{open}
    {}

    void next()
    {
        if (left_-- <= 0) {
            if (--open_ == 0) {
                context_.stop();
            }
            return;
        }
        if (!connection_ || !connection_->reusable()) {
            connection_ =
                std::make_shared<http::upstream_connection>(context_, address_);
        }
        http::request_head head{
            method_, method_ == "GET" ? "/plain/x" : "/stream/x", {}};
        head.headers.add("Host", "h.example");
        head.headers.add("X-Attempt-Id", std::to_string(left_));
        http::call_events events;
        events.is_response_to_call = [](http::response_head const&) {
            return true;
        };
        events.head = [](http::response_head&, http::body_framing) {
        };
        events.body = [](std::string const&) {
        };
        events.complete = [self = shared_from_this()] {
            self->next();
        };
        events.failed = [self =
                             shared_from_this()](http::call_failure failure) {
            std::fprintf(stderr, "failed: %s\n", name_of(failure));
            ++self->failures_;
            self->next();
        };
        connection_->start_call(http::serialize_request(head, ""), false,
                                std::move(events));
    }

    [[nodiscard]] int failures() const { return failures_; }

private:
    asio::io_context& context_;
    asio::ip::tcp::endpoint address_;
    std::string method_;
    int& left_;
    int& open_;
    std::shared_ptr<http::upstream_connection> connection_;
    int failures_ = 0;
};

/// Plays a number of requests and returns those that failed.
int play(asio::io_context& context, asio::ip::tcp::endpoint const& address,
         std::string const& method, int count)
{
    int left = count;
    int open = callers;
    std::vector<std::shared_ptr<caller_loop>> loops;
    for (int at = 0; at < callers; ++at) {
        loops.push_back(std::make_shared<caller_loop>(context, address, method,
                                                      left, open));
        loops.back()->next();
    }
    context.restart();
    context.run();
    int failures = 0;
    for (auto const& loop : loops) {
        failures += loop->failures();
    }
    return failures;
}

/// Processor time that the gateway's thread has used, asked for from another.
double ask_processor_seconds(asio::io_context& gateway_loop)
{
    std::atomic<double> seconds{-1};
    asio::post(gateway_loop, [&seconds] { seconds = processor_seconds(); });
    while (seconds < 0) {
        std::this_thread::yield();
    }
    return seconds;
}

} // namespace

int main()
{
    asio::io_context world{1};
    platform_standins::store_standin store{world};
    http::http_listener server{
        world, {[](auto caller) { serve(std::move(caller)); }, {}}, 512};
    std::ignore = server.listen(free_port());
    store.put("keyed.op", "config", configuration());
    store.put("keyed.servers", "i-1",
              R"({"service":"s","address":"127.0.0.1:)" +
                  std::to_string(server.address().port()) +
                  R"(","zone":"z","slots":64,"state":"ready","sequence":1})");
    asio::io_context gateway_loop{1};
    auto const work = asio::make_work_guard(gateway_loop);
    gateway::gateway_settings settings;
    settings.name = "g";
    settings.entry_address = settings.ready_address = free_port();
    settings.directory_address = settings.peer_address = free_port();
    auto const log = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    gateway::gateway daemon{
        gateway_loop, settings,
        platform::make_translations(gateway_loop, store.address()), log};
    if (failed(daemon.start())) {
        return 1;
    }
    std::thread thread{[&gateway_loop] {
        gateway_loop.run();
    }};
    auto const address = daemon.settings().entry_address;
    world.run_for(std::chrono::seconds{1}); // The gateway reads the store.
    auto const measure = [&](std::string const& method, int count, int units,
                             char const* name) {
        auto const before = ask_processor_seconds(gateway_loop);
        auto const failures = play(world, address, method, count);
        auto const spent = ask_processor_seconds(gateway_loop) - before;
        std::printf("%s_per_core %.0f (%d requests, %d failed, %.2f s)\n", name,
                    static_cast<double>(count) * units / spent, count, failures,
                    spent);
    };
    measure("GET", plain_requests, 1, "requests");
    measure("POST", streams, events_per_stream, "events");
    gateway_loop.stop();
    thread.join();
    ::close(log);
    return 0;
}
