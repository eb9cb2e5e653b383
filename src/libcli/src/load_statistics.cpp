#include <medlarstall/cli/load_statistics.hpp>

#include <medlarstall/cli/text_table.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace medlarstall::cli {

namespace {

using nlohmann::json;
using std::chrono::nanoseconds;

constexpr double p50_rank = 0.5;
constexpr double p95_rank = 0.95;
constexpr double p99_rank = 0.99;
constexpr double percent_per_unit = 100.0;

double seconds_of(nanoseconds time)
{
    return std::chrono::duration<double>{time}.count();
}

double ms_of(nanoseconds time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

/// \return mean time between two tokens; 0 if there are fewer than two
nanoseconds mean_inter_token_latency(load_record const& record)
{
    if (record.output_tokens < 2) {
        return nanoseconds{0};
    }
    return (record.total_latency - record.time_to_first_token) /
           static_cast<std::int64_t>(record.output_tokens - 1);
}

json percentiles_to_json(percentiles const& values)
{
    return {{"p50", ms_of(values.at(p50_rank))},
            {"p95", ms_of(values.at(p95_rank))},
            {"p99", ms_of(values.at(p99_rank))},
            {"max", ms_of(values.at(1.0))}};
}

/// Formats a fraction as a percentage.
std::string percent(double fraction)
{
    return format_fixed(fraction * percent_per_unit, 1) + "%";
}

} // namespace

percentiles::percentiles(std::vector<nanoseconds> values)
    : values_{std::move(values)}
{
    std::ranges::sort(values_);
}

nanoseconds percentiles::at(double rank) const
{
    if (values_.empty()) {
        return nanoseconds{0};
    }
    auto const size = static_cast<double>(values_.size());
    auto const position = std::max(1.0, std::ceil(rank * size));
    return values_[static_cast<std::size_t>(position) - 1];
}

double stream_summary::attainment() const
{
    if (sent == 0) {
        return 1.0;
    }
    return static_cast<double>(attained) / static_cast<double>(sent);
}

load_statistics::load_statistics(std::vector<load_stream> streams)
    : streams_{std::move(streams)}
{}

void load_statistics::add(load_record record)
{
    records_.push_back(std::move(record));
}

bool load_statistics::meets_targets(load_record const& record) const
{
    auto const& stream = streams_[record.stream_index];
    return record.outcome == load_outcome::answered &&
           record.time_to_first_token <= stream.time_to_first_token_target &&
           mean_inter_token_latency(record) <=
               stream.inter_token_latency_target;
}

template<class Select>
stream_summary load_statistics::summarize(std::string label,
                                          Select select) const
{
    stream_summary summary{.label = std::move(label)};
    std::vector<nanoseconds> times_to_first_token;
    std::vector<nanoseconds> inter_token_latencies;
    std::vector<nanoseconds> total_latencies;
    for (auto const& record : records_) {
        if (!select(record)) {
            continue;
        }
        ++summary.sent;
        summary.output_tokens += record.output_tokens;
        summary.not_run += record.outcome == load_outcome::not_run ? 1 : 0;
        summary.truncated += record.outcome == load_outcome::truncated ? 1 : 0;
        summary.failed += record.outcome == load_outcome::failed ? 1 : 0;
        if (meets_targets(record)) {
            ++summary.attained;
            summary.useful_tokens += record.output_tokens;
        }
        if (record.outcome == load_outcome::answered) {
            ++summary.answered;
            times_to_first_token.push_back(record.time_to_first_token);
            inter_token_latencies.push_back(mean_inter_token_latency(record));
            total_latencies.push_back(record.total_latency);
        }
    }
    summary.time_to_first_token = percentiles{std::move(times_to_first_token)};
    summary.inter_token_latency = percentiles{std::move(inter_token_latencies)};
    summary.total_latency = percentiles{std::move(total_latencies)};
    return summary;
}

std::vector<stream_summary> load_statistics::summaries() const
{
    std::vector<stream_summary> all;
    all.reserve(streams_.size() + 1);
    for (std::size_t index = 0; index < streams_.size(); ++index) {
        all.push_back(
            summarize(streams_[index].label(), [&](auto const& record) {
                return record.stream_index == index;
            }));
    }
    all.push_back(summarize("all", [](auto const&) { return true; }));
    return all;
}

std::vector<load_record> load_statistics::slowest(std::size_t count) const
{
    std::vector<load_record> slowest_requests;
    std::ranges::copy_if(records_, std::back_inserter(slowest_requests),
                         [](load_record const& record) {
                             return record.outcome == load_outcome::answered;
                         });
    std::ranges::stable_sort(slowest_requests, std::greater{},
                             &load_record::total_latency);
    slowest_requests.resize(std::min(count, slowest_requests.size()));
    return slowest_requests;
}

std::string load_statistics::render(nanoseconds elapsed,
                                    std::size_t slowest_count) const
{
    text_table table{{"class", "sent", "whole", "not run", "cut", "failed",
                      "attained", "first p50", "p95", "p99", "between p50",
                      "p95", "total p99", "tokens/s", "useful"}};
    auto const seconds = seconds_of(elapsed);
    for (auto const& current : summaries()) {
        auto const rate = [&](std::uint64_t tokens) {
            return format_fixed(static_cast<double>(tokens) / seconds, 0);
        };
        table.add_row(
            {current.label, std::to_string(current.sent),
             std::to_string(current.answered), std::to_string(current.not_run),
             std::to_string(current.truncated), std::to_string(current.failed),
             percent(current.attainment()),
             format_milliseconds(current.time_to_first_token.at(p50_rank)),
             format_milliseconds(current.time_to_first_token.at(p95_rank)),
             format_milliseconds(current.time_to_first_token.at(p99_rank)),
             format_milliseconds(current.inter_token_latency.at(p50_rank)),
             format_milliseconds(current.inter_token_latency.at(p95_rank)),
             format_milliseconds(current.total_latency.at(p99_rank)),
             rate(current.output_tokens), rate(current.useful_tokens)});
    }
    auto text = "Latencies in milliseconds, from the planned start of each "
                "request.\n" +
                table.to_text();
    text_table slowest_table{
        {"slowest", "class", "first", "total", "tokens", "by"}};
    for (auto const& record : slowest(slowest_count)) {
        slowest_table.add_row(
            {"request " + std::to_string(record.sequence_number),
             streams_[record.stream_index].label(),
             format_milliseconds(record.time_to_first_token),
             format_milliseconds(record.total_latency),
             std::to_string(record.output_tokens), record.served_by});
    }
    text += slowest_count > 0 ? "\n" + slowest_table.to_text() : "";
    std::map<std::string, std::size_t> messages;
    for (auto const& record : records_) {
        if (!record.error_message.empty()) {
            ++messages[record.error_message];
        }
    }
    for (auto const& [message, count] : messages) {
        text += std::to_string(count) + " x " + message + "\n";
    }
    return text;
}

json load_statistics::to_json(nanoseconds elapsed,
                              std::size_t slowest_count) const
{
    auto streams = json::array();
    for (auto const& current : summaries()) {
        streams.push_back(
            {{"class", current.label},
             {"sent", current.sent},
             {"answered", current.answered},
             {"not_run", current.not_run},
             {"cut", current.truncated},
             {"failed", current.failed},
             {"attainment", current.attainment()},
             {"first_token_ms",
              percentiles_to_json(current.time_to_first_token)},
             {"between_tokens_ms",
              percentiles_to_json(current.inter_token_latency)},
             {"total_ms", percentiles_to_json(current.total_latency)},
             {"tokens", current.output_tokens},
             {"useful_tokens", current.useful_tokens}});
    }
    auto slowest_requests = json::array();
    for (auto const& record : slowest(slowest_count)) {
        slowest_requests.push_back(
            {{"request", record.sequence_number},
             {"class", streams_[record.stream_index].label()},
             {"first_token_ms", ms_of(record.time_to_first_token)},
             {"total_ms", ms_of(record.total_latency)},
             {"tokens", record.output_tokens},
             {"served_by", record.served_by}});
    }
    return {{"seconds", seconds_of(elapsed)},
            {"streams", streams},
            {"slowest", slowest_requests}};
}

} // namespace medlarstall::cli
