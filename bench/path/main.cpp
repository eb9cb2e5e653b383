// Measures what a daemon adds between callers and engines: latency, processor
// time and memory. scripts/measure.d/path starts the processes and runs it.

#include "process_usage.hpp"

#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/cli/load_generator.hpp>
#include <medlarstall/settings/setting_set.hpp>

#include <asio/io_context.hpp>

#include <cstdlib>
#include <iostream>
#include <thread>

using namespace medlarstall;
using namespace medlarstall::cli;
using namespace std::chrono_literals;
using medlarstall::bench::usage_of;

namespace {

constexpr std::size_t threads = 4;

struct bench_settings
{
    std::string daemon;
    std::vector<std::string> engines;
    std::string key;
    std::uint64_t pid = 0;
};

/// One load: so many requests a second for so long.
struct bench_load
{
    double rate = 0;
    std::chrono::milliseconds span{0};
    std::uint64_t tokens = 0;
};

/// Results of one load.
struct bench_result
{
    stream_summary all;
    std::chrono::duration<double> processor{0}; ///< Of the daemon.
    std::chrono::duration<double> wall{0};
};

/// Sends a load from several threads.
bench_result drive(bench_settings const& settings,
                   std::vector<std::string> const& servers, bench_load load,
                   std::function<void()> const& midway = {})
{
    load_stream const stream{.key = settings.key,
                             .model = "drafts",
                             .output_tokens = load.tokens,
                             .prompt_bytes = 300};
    std::vector<std::unique_ptr<load_generator>> runs;
    runs.reserve(threads);
    for (std::size_t index = 0; index < threads; ++index) {
        runs.push_back(std::make_unique<load_generator>(
            load_generator_settings{.servers = servers},
            load_plan{{.requests_per_second = load.rate / threads,
                       .total_duration = load.span,
                       .seed = index + 1},
                      {stream}}));
    }
    auto const before = usage_of(static_cast<int>(settings.pid));
    auto const start = std::chrono::steady_clock::now();
    std::vector<std::thread> workers;
    workers.reserve(threads);
    for (auto& run : runs) {
        workers.emplace_back([&run] { run->run([](load_progress const&) {}); });
    }
    if (midway) {
        std::this_thread::sleep_for(load.span);
        midway();
    }
    for (auto& worker : workers) {
        worker.join();
    }
    auto const after = usage_of(static_cast<int>(settings.pid));
    load_statistics all{{stream}};
    for (auto const& run : runs) {
        for (auto const& record : run->statistics().records()) {
            all.add(record);
        }
    }
    return {.all = all.summaries().back(),
            .processor = after.processor - before.processor,
            .wall = std::chrono::steady_clock::now() - start};
}

/// Sets the time between tokens of every engine to so many times the least.
void slow_engines(bench_settings const& settings, double factor)
{
    asio::io_context context{1};
    backend::http_client http{context, {}};
    std::size_t answered = 0;
    for (auto const& engine : settings.engines) {
        http.fetch({.method = "POST",
                    .url = "http://" + engine + "/standin/switches",
                    .body = "{\"slow\":" + std::to_string(factor) + "}"},
                   1024, [&](auto const&) { ++answered; });
    }
    while (answered < settings.engines.size()) {
        context.run_one();
    }
}

void print(std::string const& metric, double value, char const* unit,
           std::string const& target)
{
    std::cout << "case=path metric=" << metric << " value=" << value
              << " unit=" << unit << " target=" << target << std::endl;
}

double ms(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

void print_loss(std::string const& load, bench_result const& result)
{
    auto const lost = result.all.sent - result.all.answered;
    print(load + "_sent", static_cast<double>(result.all.sent), "requests",
          "none");
    print(load + "_not_answered", static_cast<double>(lost), "requests", "0");
}

/// First-token latency added at half of the target rate.
void measure_latency(bench_settings const& settings)
{
    constexpr double median = 0.5;
    constexpr double far_tail = 0.99;
    bench_load const load{.rate = 2'500, .span = 5s, .tokens = 8};
    bench_load const warm_up{.rate = 500, .span = 1s, .tokens = 8};
    drive(settings, {settings.daemon}, warm_up);
    auto const direct = drive(settings, settings.engines, load);
    auto const routed = drive(settings, {settings.daemon}, load);
    for (auto const& [name, rank] :
         {std::pair{"p50", median}, std::pair{"p99", far_tail}}) {
        auto const straight = ms(direct.all.time_to_first_token.at(rank));
        auto const through = ms(routed.all.time_to_first_token.at(rank));
        print(std::string{"first_token_straight_"} + name, straight, "ms",
              "none");
        print(std::string{"first_token_added_"} + name, through - straight,
              "ms", rank == far_tail ? "<1" : "none");
    }
    print_loss("latency", routed);
}

void measure_requests(bench_settings const& settings)
{
    auto const result = drive(settings, {settings.daemon},
                              {.rate = 5'000, .span = 5s, .tokens = 1});
    print("requests_per_core",
          static_cast<double>(result.all.answered) / result.processor.count(),
          "requests/s", ">=5000");
    print("requests_rate",
          static_cast<double>(result.all.answered) / result.wall.count(),
          "requests/s", "none");
    print_loss("requests", result);
}

void measure_tokens(bench_settings const& settings)
{
    auto const result = drive(settings, {settings.daemon},
                              {.rate = 400, .span = 5s, .tokens = 250});
    print("tokens_per_core",
          static_cast<double>(result.all.output_tokens) /
              result.processor.count(),
          "tokens/s", ">=300000");
    print("tokens_rate",
          static_cast<double>(result.all.output_tokens) / result.wall.count(),
          "tokens/s", "none");
    print_loss("tokens", result);
}

void measure_memory(bench_settings const& settings)
{
    constexpr double slow = 100;
    slow_engines(settings, slow);
    auto const idle = usage_of(static_cast<int>(settings.pid)).resident_kib;
    for (double const streams : {1'000.0, 5'000.0}) {
        double per_stream = 0;
        auto const result =
            drive(settings, {settings.daemon},
                  {.rate = streams / 5, .span = 5s, .tokens = 60}, [&] {
                      auto const open =
                          usage_of(static_cast<int>(settings.pid)).resident_kib;
                      per_stream = (static_cast<double>(open) -
                                    static_cast<double>(idle)) /
                                   streams;
                  });
        auto const name = std::to_string(static_cast<int>(streams));
        print("memory_per_stream_at_" + name, per_stream, "KiB", "<32");
        print_loss("memory_" + name, result);
    }
    slow_engines(settings, 1);
}

} // namespace

int main(int argument_count, char** arguments)
{
    bench_settings target;
    settings::setting_set set{"path_bench", "Measures the path of a request",
                              MEDLARSTALL_VERSION};
    set.add_text("daemon", "IP:PORT of the daemon", target.daemon);
    set.add_list("engine", "IP:PORT of an engine", target.engines);
    set.add_text("key", "Key of an organisation", target.key);
    set.add_number("pid", "Process of the daemon", 1, 1U << 30U, target.pid);
    auto const outcome =
        set.read({arguments, arguments + argument_count},
                 [](char const*) -> char const* { return nullptr; });
    if (failed(outcome)) {
        std::cerr << error_of(outcome).field << ": "
                  << error_of(outcome).message << '\n';
        return EXIT_FAILURE;
    }
    measure_latency(target);
    measure_requests(target);
    measure_tokens(target);
    measure_memory(target);
    return EXIT_SUCCESS;
}
