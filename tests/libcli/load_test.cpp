// The requests that a load test plans, and the statistics of their results.

#include <medlarstall/cli/load_plan.hpp>
#include <medlarstall/cli/load_statistics.hpp>
#include <medlarstall/cli/text_table.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>
#include <cmath>

using namespace medlarstall;
using namespace medlarstall::cli;
using namespace std::chrono_literals;

namespace {

std::vector<planned_request> plan_all(load_profile profile,
                                      std::vector<load_stream> streams = {{}})
{
    load_plan plan{profile, std::move(streams)};
    std::vector<planned_request> requests;
    for (planned_request request; plan.next(request);) {
        requests.push_back(request);
    }
    return requests;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_suite)

BOOST_AUTO_TEST_CASE(even_arrivals_have_equal_gaps)
{
    auto const requests = plan_all({.requests_per_second = 50,
                                    .total_duration = 1s,
                                    .pattern = arrival_pattern::even});
    BOOST_REQUIRE(requests.size() == 49U);
    for (std::size_t index = 0; index < requests.size(); ++index) {
        auto const expected = 20ms * static_cast<int>(index + 1);
        BOOST_TEST(std::abs((requests[index].start_offset - expected).count()) <
                   1'000);
    }
}

BOOST_AUTO_TEST_CASE(rate_swings_between_two_levels)
{
    auto const requests = plan_all({.requests_per_second = 1'000,
                                    .total_duration = 8s,
                                    .swing_low_factor = 0.5,
                                    .swing_high_factor = 2.0,
                                    .swing_period = 4s});
    std::array<int, 4> counts{};
    for (auto const& request : requests) {
        ++counts.at(static_cast<std::size_t>(request.start_offset / 2s));
    }
    // The count of a half period has a Poisson distribution. It may differ from
    // its mean by six standard deviations.
    for (std::size_t half_index = 0; half_index < counts.size(); ++half_index) {
        double const mean = half_index % 2 == 0 ? 1'000 : 4'000;
        BOOST_TEST(std::abs(counts.at(half_index) - mean) <
                   6 * std::sqrt(mean));
    }
}

RC_BOOST_PROP(same_profile_gives_same_ordered_requests, ())
{
    load_profile const profile{
        .requests_per_second = 1.0 * *rc::gen::inRange(1, 500),
        .total_duration = 2s,
        .swing_low_factor = *rc::gen::inRange(0, 3) / 2.0,
        .swing_period = std::chrono::milliseconds{*rc::gen::inRange(2, 3'000)},
        .straggler_fraction = 0.25,
        .seed = *rc::gen::arbitrary<std::uint64_t>()};
    std::vector<load_stream> const streams{{.output_tokens = 10},
                                           {.output_tokens = 7}};
    auto const first = plan_all(profile, streams);
    auto const second = plan_all(profile, streams);
    RC_ASSERT(first.size() == second.size());
    std::chrono::nanoseconds previous{0};
    for (std::size_t index = 0; index < first.size(); ++index) {
        RC_ASSERT(first[index].start_offset == second[index].start_offset);
        RC_ASSERT(first[index].start_offset >= previous);
        RC_ASSERT(first[index].start_offset < profile.total_duration);
        RC_ASSERT(first[index].sequence_number == index);
        auto const base = streams[first[index].stream_index].output_tokens;
        auto const factor = first[index].is_straggler ? 20U : 1U;
        RC_ASSERT(first[index].output_tokens == base * factor);
        previous = first[index].start_offset;
    }
}

BOOST_AUTO_TEST_CASE(parses_stream_and_rejects_invalid_members)
{
    auto const parsed = parse_load_stream(
        "class=urgent;key=k;weight=2.5;tokens=9;first_token_ms=100", {});
    BOOST_REQUIRE(!failed(parsed));
    auto const& stream = value_of(parsed);
    BOOST_TEST(stream.service_class == "urgent");
    BOOST_TEST(stream.weight == 2.5);
    BOOST_TEST(stream.output_tokens == 9U);
    BOOST_TEST((stream.time_to_first_token_target == 100ms));
    for (auto const* invalid :
         {"weight=0", "tokens=0", "tokens=1x", "colour=red", "class",
          "between_tokens_ms=-1"}) {
        auto const rejected = parse_load_stream(invalid, {});
        BOOST_REQUIRE(failed(rejected));
        BOOST_TEST(error_of(rejected).message.find(invalid) !=
                   std::string::npos);
    }
}

RC_BOOST_PROP(percentile_separates_smaller_from_larger_values,
              (std::vector<unsigned> const& numbers))
{
    std::vector<std::chrono::nanoseconds> values;
    values.reserve(numbers.size());
    for (auto const number : numbers) {
        values.emplace_back(number);
    }
    percentiles const sorted{values};
    for (double const rank : {0.0, 0.5, 0.95, 0.99, 1.0}) {
        auto const at = sorted.at(rank);
        auto const at_most_count = std::ranges::count_if(
            values, [&](auto value) { return value <= at; });
        auto const size = static_cast<double>(values.size());
        RC_ASSERT(static_cast<double>(at_most_count) >= rank * size);
        if (!values.empty()) {
            auto const below_count = std::ranges::count_if(
                values, [&](auto value) { return value < at; });
            RC_ASSERT(static_cast<double>(below_count) <
                      std::max(1.0, std::ceil(rank * size)));
        }
    }
}

BOOST_AUTO_TEST_CASE(summarizes_each_class_and_all)
{
    load_statistics statistics{{{.service_class = "urgent",
                                 .time_to_first_token_target = 100ms,
                                 .inter_token_latency_target = 10ms},
                                {.service_class = "later"}}};
    auto const answered = [](std::uint64_t number, auto first, auto total) {
        return load_record{.sequence_number = number,
                           .outcome = load_outcome::answered,
                           .time_to_first_token = first,
                           .total_latency = total,
                           .output_tokens = 11};
    };
    statistics.add(answered(0, 100ms, 200ms)); // Equal to both targets.
    statistics.add(answered(1, 101ms, 200ms)); // First token too late.
    statistics.add(answered(2, 50ms, 151ms));  // 10.1 ms between tokens.
    statistics.add({.outcome = load_outcome::not_run});
    statistics.add({.outcome = load_outcome::truncated, .output_tokens = 3});
    statistics.add({.stream_index = 1, .error_message = "gone"});
    auto const figures = statistics.summaries();
    BOOST_REQUIRE(figures.size() == 3U);
    BOOST_TEST(figures[0].sent == 5U);
    BOOST_TEST(figures[0].attained == 1U);
    BOOST_TEST(figures[0].attainment() == 0.2);
    BOOST_TEST(figures[0].not_run == 1U);
    BOOST_TEST(figures[0].truncated == 1U);
    BOOST_TEST(figures[0].output_tokens == 36U);
    BOOST_TEST(figures[0].useful_tokens == 11U);
    BOOST_TEST(figures[1].failed == 1U);
    BOOST_TEST(figures[2].sent == 6U);
    auto const slowest = statistics.slowest(2);
    BOOST_REQUIRE(slowest.size() == 2U);
    BOOST_TEST(slowest[0].sequence_number == 0U);
    BOOST_TEST(slowest[1].sequence_number == 1U);
    auto const text = statistics.render(1s, 1);
    BOOST_TEST(text.find("20.0%") != std::string::npos);
    BOOST_TEST(text.find("1 x gone") != std::string::npos);
    auto const json = statistics.to_json(1s, 1);
    BOOST_TEST(json["streams"][0]["first_token_ms"]["max"] == 101.0);
    BOOST_TEST(json["slowest"].size() == 1U);
}

BOOST_AUTO_TEST_CASE(aligns_table_columns)
{
    text_table table{{"name", "n"}};
    table.add_row({"a", "10"});
    table.add_row({"long name", "1"});
    BOOST_TEST(table.to_text() ==
               "name        n\na          10\nlong name   1\n");
}

BOOST_AUTO_TEST_SUITE_END()
