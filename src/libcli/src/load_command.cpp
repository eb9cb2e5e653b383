#include "command.hpp"

#include <medlarstall/cli/load_generator.hpp>

#include <nlohmann/json.hpp>

#include <unistd.h>

namespace medlarstall::cli {

namespace {

using std::chrono::milliseconds;

constexpr double percent_per_unit = 100.0;
constexpr int indent = 2;

/// Settings of the command. The names end in their unit where it is percent.
struct load_settings
{
    session_settings session;
    load_stream defaults;
    std::vector<std::string> mix;
    std::uint64_t rate = 10;
    milliseconds span{10'000};
    std::string arrivals = "poisson";
    std::uint64_t swing_low_percent = 100;
    std::uint64_t swing_high_percent = 100;
    milliseconds swing_period{4'000};
    std::uint64_t straggler_percent = 0;
    std::uint64_t straggler_factor = 20;
    std::uint64_t seed = 1;
    std::uint64_t max_open_requests = 10'000;
    std::uint64_t slowest = 5;
    milliseconds request_timeout{120'000};
    bool follow_directory = false;
    bool as_json = false;
};

settings::setting_set make_setting_set(std::string const& program,
                                       load_settings& options)
{
    constexpr milliseconds min_duration{1};
    constexpr milliseconds max_duration{86'400'000};
    constexpr std::uint64_t max_number = 1'000'000;
    settings::setting_set set{
        program,
        "Sends streamed chat completions at planned times, even if earlier "
        "ones have not finished, and reports the latencies by class. Exit "
        "code 1 if a response was truncated or a request failed.",
        MEDLARSTALL_VERSION};
    add_session_settings(set, options.session);
    set.add_list("mix",
                 "class=C;key=K;weight=W;model=M;tokens=N;prompt_bytes=N;"
                 "first_token_ms=N;between_tokens_ms=N; may be repeated",
                 options.mix);
    set.add_text("model", "Model of the requests for which --mix names none",
                 options.defaults.model);
    set.add_number("rate", "Requests per second", 1, max_number, options.rate);
    set.add_duration("duration-ms", "How long requests are sent", min_duration,
                     max_duration, options.span);
    set.add_choice("arrivals", "Distribution of the arrivals",
                   {"poisson", "even"}, options.arrivals);
    set.add_number("swing-low-percent",
                   "Rate in the first half of each swing period", 0, max_number,
                   options.swing_low_percent);
    set.add_number("swing-high-percent",
                   "Rate in the second half of each swing period", 0,
                   max_number, options.swing_high_percent);
    set.add_duration("swing-period-ms", "Period of the swing", milliseconds{2},
                     max_duration, options.swing_period);
    set.add_number("straggler-percent", "Percentage of requests that are long",
                   0, static_cast<std::uint64_t>(percent_per_unit),
                   options.straggler_percent);
    set.add_number("straggler-factor",
                   "Factor on the output tokens of long requests", 1,
                   max_number, options.straggler_factor);
    set.add_number("seed",
                   "Seed of the arrivals and of the choice from the mix", 0,
                   max_number, options.seed);
    set.add_number("max-open",
                   "Maximum of open requests; others count as failed", 1,
                   max_number, options.max_open_requests);
    set.add_number("slowest", "Number of slowest requests to list", 0,
                   max_number, options.slowest);
    set.add_duration("request-timeout-ms", "Maximum time of a request",
                     min_duration, max_duration, options.request_timeout);
    set.add_switch("follow-directory",
                   "Use the daemons that GET /v1/entries names, as callers do",
                   options.follow_directory);
    set.add_switch("json", "Print the statistics as JSON", options.as_json);
    return set;
}

/// Parses the streams of --mix; without it, there is one stream with defaults.
result<std::vector<load_stream>> parse_mix(load_settings const& options)
{
    auto defaults = options.defaults;
    defaults.key = options.session.key;
    if (options.mix.empty()) {
        return std::vector{defaults};
    }
    std::vector<load_stream> streams;
    for (auto const& text : options.mix) {
        auto stream = parse_load_stream(text, defaults);
        if (failed(stream)) {
            return error_of(stream);
        }
        streams.push_back(std::move(value_of(stream)));
    }
    return streams;
}

load_profile make_profile(load_settings const& options)
{
    auto const to_fraction = [](std::uint64_t percent) {
        return static_cast<double>(percent) / percent_per_unit;
    };
    return {.requests_per_second = static_cast<double>(options.rate),
            .total_duration = options.span,
            .pattern = options.arrivals == "even" ? arrival_pattern::even
                                                  : arrival_pattern::poisson,
            .swing_low_factor = to_fraction(options.swing_low_percent),
            .swing_high_factor = to_fraction(options.swing_high_percent),
            .swing_period = options.swing_period,
            .straggler_fraction = to_fraction(options.straggler_percent),
            .straggler_token_factor =
                static_cast<double>(options.straggler_factor),
            .seed = options.seed};
}

/// Overwrites the current line of the terminal with the progress.
void show_progress(std::ostream& log, load_progress const& progress)
{
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(progress.elapsed);
    log << '\r' << seconds.count() << " s  sent " << progress.sent << "  open "
        << progress.open << "  whole " << progress.answered << "  other "
        << progress.not_answered << "   " << std::flush;
}

/// \return true if no response was truncated and no request failed; requests
///     that were rejected without being run are allowed
bool all_succeeded(load_statistics const& statistics)
{
    auto const all = statistics.summaries().back();
    return all.truncated == 0 && all.failed == 0;
}

} // namespace

exit_code run_load(command_context& context)
{
    load_settings options;
    auto set = make_setting_set(context.arguments.front(), options);
    if (auto const early_exit = read_settings(context, set)) {
        return *early_exit;
    }
    auto const streams = parse_mix(options);
    if (failed(streams)) {
        context.log << "medlarstall: " << error_of(streams).field << ": "
                    << error_of(streams).message << '\n';
        return exit_code::usage;
    }
    daemon_session session{options.session};
    auto const health =
        session.call("GET", "/healthz", credential::organisation_key);
    if (failed(health)) {
        return report_unreachable(context, error_of(health));
    }
    load_generator generator{
        {.servers = options.session.servers,
         .follow_directory = options.follow_directory,
         .max_open_requests = options.max_open_requests,
         .request_timeout = options.request_timeout},
        load_plan{make_profile(options), value_of(streams)}};
    bool const is_terminal = isatty(STDERR_FILENO) == 1;
    generator.run([&](load_progress const& progress) {
        if (is_terminal) {
            show_progress(context.log, progress);
        }
    });
    if (is_terminal) {
        context.log << '\n';
    }
    auto const& statistics = generator.statistics();
    context.out << (options.as_json
                        ? statistics
                                  .to_json(generator.elapsed(), options.slowest)
                                  .dump(indent) +
                              "\n"
                        : statistics.render(generator.elapsed(),
                                            options.slowest));
    return all_succeeded(statistics) ? exit_code::success : exit_code::negative;
}

} // namespace medlarstall::cli
