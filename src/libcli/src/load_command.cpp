#include "command.hpp"

#include <medlarstall/cli/load_run.hpp>

#include <nlohmann/json.hpp>

#include <unistd.h>

namespace medlarstall::cli {

namespace {

using std::chrono::milliseconds;

constexpr double hundred = 100.0;
constexpr int indent = 2;

/// Settings of the command; parts and factors are in percent.
struct load_settings
{
    session_settings session;
    load_stream defaults;
    std::vector<std::string> mix;
    std::uint64_t rate = 10;
    milliseconds span{10'000};
    std::string arrivals = "poisson";
    std::uint64_t swing_low = 100;
    std::uint64_t swing_high = 100;
    milliseconds swing_period{4'000};
    std::uint64_t stragglers = 0;
    std::uint64_t straggler_factor = 20;
    std::uint64_t seed = 1;
    std::uint64_t max_open = 10'000;
    std::uint64_t slowest = 5;
    milliseconds request_timeout{120'000};
    bool follow_directory = false;
    bool as_json = false;
};

settings::setting_set describe(std::string const& program,
                               load_settings& target)
{
    constexpr milliseconds shortest{1};
    constexpr milliseconds longest{86'400'000};
    constexpr std::uint64_t most = 1'000'000;
    settings::setting_set set{
        program,
        "Sends streamed chat completions at planned times, whatever becomes "
        "of earlier ones, and reports the latencies by class. Exit code 1 if "
        "an answer was cut off or failed.",
        MEDLARSTALL_VERSION};
    add_session_settings(set, target.session);
    set.add_list("mix",
                 "class=C;key=K;weight=W;model=M;tokens=N;prompt_bytes=N;"
                 "first_token_ms=N;between_tokens_ms=N; may be repeated",
                 target.mix);
    set.add("model", "Model, unless the mix names one", target.defaults.model);
    set.add_number("rate", "Requests a second", 1, most, target.rate);
    set.add_span("duration-ms", "How long requests are sent", shortest, longest,
                 target.span);
    set.add_choice("arrivals", "Spread of the arrivals", {"poisson", "even"},
                   target.arrivals);
    set.add_number("swing-low-percent", "Rate in each first half period", 0,
                   most, target.swing_low);
    set.add_number("swing-high-percent", "Rate in each second half period", 0,
                   most, target.swing_high);
    set.add_span("swing-period-ms", "Period of the swing", milliseconds{2},
                 longest, target.swing_period);
    set.add_number("straggler-percent", "Part of the requests that are long", 0,
                   static_cast<std::uint64_t>(hundred), target.stragglers);
    set.add_number("straggler-factor", "Factor on the tokens of those", 1, most,
                   target.straggler_factor);
    set.add_number("seed", "Seed of arrivals and mix", 0, most, target.seed);
    set.add_number("max-open", "Open requests; more count as failed", 1, most,
                   target.max_open);
    set.add_number("slowest", "Slow requests to list", 0, most, target.slowest);
    set.add_span("request-timeout-ms", "Longest time of a request", shortest,
                 longest, target.request_timeout);
    set.add_switch("follow-directory",
                   "Use the daemons that GET /v1/entries names, as callers do",
                   target.follow_directory);
    set.add_switch("json", "Print the figures as JSON", target.as_json);
    return set;
}

result<std::vector<load_stream>> read_mix(load_settings const& target)
{
    auto defaults = target.defaults;
    defaults.key = target.session.key;
    if (target.mix.empty()) {
        return std::vector{defaults};
    }
    std::vector<load_stream> streams;
    for (auto const& text : target.mix) {
        auto stream = parse_load_stream(text, defaults);
        if (failed(stream)) {
            return error_of(stream);
        }
        streams.push_back(std::move(value_of(stream)));
    }
    return streams;
}

load_shape shape_of(load_settings const& target)
{
    auto const part = [](std::uint64_t percent) {
        return static_cast<double>(percent) / hundred;
    };
    return {.requests_per_second = static_cast<double>(target.rate),
            .span = target.span,
            .pattern = target.arrivals == "even" ? arrival_pattern::even
                                                 : arrival_pattern::poisson,
            .swing_low = part(target.swing_low),
            .swing_high = part(target.swing_high),
            .swing_period = target.swing_period,
            .stragglers = part(target.stragglers),
            .straggler_factor = static_cast<double>(target.straggler_factor),
            .seed = target.seed};
}

void show_progress(std::ostream& log, load_progress const& progress)
{
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(progress.elapsed);
    log << '\r' << seconds.count() << " s  sent " << progress.sent << "  open "
        << progress.open << "  whole " << progress.answered << "  other "
        << progress.not_answered << "   " << std::flush;
}

/// \return true if no answer was cut off and no request failed
bool clean(load_statistics const& statistics)
{
    auto const all = statistics.figures().back();
    return all.cut == 0 && all.failed == 0;
}

} // namespace

exit_code run_load(command_context& context)
{
    load_settings target;
    auto set = describe(context.arguments.front(), target);
    if (auto const end = read_settings(context, set)) {
        return *end;
    }
    auto const streams = read_mix(target);
    if (failed(streams)) {
        context.log << "medlarstall: " << error_of(streams).field << ": "
                    << error_of(streams).message << '\n';
        return exit_code::usage;
    }
    daemon_session session{target.session};
    auto const alive = session.call("GET", "/healthz", authority::member);
    if (failed(alive)) {
        return report_unreachable(context, error_of(alive));
    }
    load_run run{{.servers = target.session.servers,
                  .follow_directory = target.follow_directory,
                  .max_open = target.max_open,
                  .request_timeout = target.request_timeout},
                 load_plan{shape_of(target), value_of(streams)}};
    bool const terminal = isatty(STDERR_FILENO) == 1;
    run.run([&](load_progress const& progress) {
        if (terminal) {
            show_progress(context.log, progress);
        }
    });
    if (terminal) {
        context.log << '\n';
    }
    auto const& statistics = run.statistics();
    context.out
        << (target.as_json
                ? statistics.to_json(run.wall(), target.slowest).dump(indent) +
                      "\n"
                : statistics.render(run.wall(), target.slowest));
    return clean(statistics) ? exit_code::success : exit_code::negative;
}

} // namespace medlarstall::cli
