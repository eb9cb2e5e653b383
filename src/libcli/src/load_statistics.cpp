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

constexpr double median = 0.5;
constexpr double tail = 0.95;
constexpr double far_tail = 0.99;
constexpr double hundred = 100.0;

double seconds_of(nanoseconds time)
{
    return std::chrono::duration<double>{time}.count();
}

double ms_of(nanoseconds time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

nanoseconds mean_between_tokens(load_record const& record)
{
    if (record.tokens < 2) {
        return nanoseconds{0};
    }
    return (record.total - record.first_token) /
           static_cast<std::int64_t>(record.tokens - 1);
}

json ms_percentiles(percentiles const& values)
{
    return {{"p50", ms_of(values.at(median))},
            {"p95", ms_of(values.at(tail))},
            {"p99", ms_of(values.at(far_tail))},
            {"max", ms_of(values.at(1.0))}};
}

std::string percent(double part)
{
    return fixed(part * hundred, 1) + "%";
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

double stream_figures::attainment() const
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

bool load_statistics::attained(load_record const& record) const
{
    auto const& stream = streams_[record.stream];
    return record.outcome == load_outcome::answered &&
           record.first_token <= stream.first_token &&
           mean_between_tokens(record) <= stream.between_tokens;
}

template<class Select>
stream_figures load_statistics::sum(std::string label, Select select) const
{
    stream_figures sums{.label = std::move(label)};
    std::vector<nanoseconds> first;
    std::vector<nanoseconds> between;
    std::vector<nanoseconds> total;
    for (auto const& record : records_) {
        if (!select(record)) {
            continue;
        }
        ++sums.sent;
        sums.tokens += record.tokens;
        sums.not_run += record.outcome == load_outcome::not_run ? 1 : 0;
        sums.cut += record.outcome == load_outcome::cut ? 1 : 0;
        sums.failed += record.outcome == load_outcome::failed ? 1 : 0;
        if (attained(record)) {
            ++sums.attained;
            sums.useful_tokens += record.tokens;
        }
        if (record.outcome == load_outcome::answered) {
            ++sums.answered;
            first.push_back(record.first_token);
            between.push_back(mean_between_tokens(record));
            total.push_back(record.total);
        }
    }
    sums.first_token = percentiles{std::move(first)};
    sums.between_tokens = percentiles{std::move(between)};
    sums.total = percentiles{std::move(total)};
    return sums;
}

std::vector<stream_figures> load_statistics::figures() const
{
    std::vector<stream_figures> all;
    all.reserve(streams_.size() + 1);
    for (std::size_t index = 0; index < streams_.size(); ++index) {
        all.push_back(sum(streams_[index].label(), [&](auto const& record) {
            return record.stream == index;
        }));
    }
    all.push_back(sum("all", [](auto const&) { return true; }));
    return all;
}

std::vector<load_record> load_statistics::slowest(std::size_t count) const
{
    std::vector<load_record> slow;
    std::ranges::copy_if(records_, std::back_inserter(slow),
                         [](load_record const& record) {
                             return record.outcome == load_outcome::answered;
                         });
    std::ranges::stable_sort(slow, std::greater{}, &load_record::total);
    slow.resize(std::min(count, slow.size()));
    return slow;
}

std::string load_statistics::render(nanoseconds wall,
                                    std::size_t slowest_count) const
{
    text_table table{{"class", "sent", "whole", "not run", "cut", "failed",
                      "attained", "first p50", "p95", "p99", "between p50",
                      "p95", "total p99", "tokens/s", "useful"}};
    auto const seconds = seconds_of(wall);
    for (auto const& one : figures()) {
        auto const rate = [&](std::uint64_t tokens) {
            return fixed(static_cast<double>(tokens) / seconds, 0);
        };
        table.add({one.label, std::to_string(one.sent),
                   std::to_string(one.answered), std::to_string(one.not_run),
                   std::to_string(one.cut), std::to_string(one.failed),
                   percent(one.attainment()),
                   milliseconds_text(one.first_token.at(median)),
                   milliseconds_text(one.first_token.at(tail)),
                   milliseconds_text(one.first_token.at(far_tail)),
                   milliseconds_text(one.between_tokens.at(median)),
                   milliseconds_text(one.between_tokens.at(tail)),
                   milliseconds_text(one.total.at(far_tail)), rate(one.tokens),
                   rate(one.useful_tokens)});
    }
    auto text = "Latencies in milliseconds, from the planned start of each "
                "request.\n" +
                table.text();
    text_table slow{{"slowest", "class", "first", "total", "tokens", "by"}};
    for (auto const& record : slowest(slowest_count)) {
        slow.add({"request " + std::to_string(record.number),
                  streams_[record.stream].label(),
                  milliseconds_text(record.first_token),
                  milliseconds_text(record.total),
                  std::to_string(record.tokens), record.served_by});
    }
    text += slowest_count > 0 ? "\n" + slow.text() : "";
    std::map<std::string, std::size_t> messages;
    for (auto const& record : records_) {
        if (!record.message.empty()) {
            ++messages[record.message];
        }
    }
    for (auto const& [message, count] : messages) {
        text += std::to_string(count) + " x " + message + "\n";
    }
    return text;
}

json load_statistics::to_json(nanoseconds wall, std::size_t slowest_count) const
{
    auto streams = json::array();
    for (auto const& one : figures()) {
        streams.push_back(
            {{"class", one.label},
             {"sent", one.sent},
             {"answered", one.answered},
             {"not_run", one.not_run},
             {"cut", one.cut},
             {"failed", one.failed},
             {"attainment", one.attainment()},
             {"first_token_ms", ms_percentiles(one.first_token)},
             {"between_tokens_ms", ms_percentiles(one.between_tokens)},
             {"total_ms", ms_percentiles(one.total)},
             {"tokens", one.tokens},
             {"useful_tokens", one.useful_tokens}});
    }
    auto slow = json::array();
    for (auto const& record : slowest(slowest_count)) {
        slow.push_back({{"request", record.number},
                        {"class", streams_[record.stream].label()},
                        {"first_token_ms", ms_of(record.first_token)},
                        {"total_ms", ms_of(record.total)},
                        {"tokens", record.tokens},
                        {"served_by", record.served_by}});
    }
    return {
        {"seconds", seconds_of(wall)}, {"streams", streams}, {"slowest", slow}};
}

} // namespace medlarstall::cli
