#ifndef MEDLARSTALL_CLI_LOAD_PLAN_HPP
#define MEDLARSTALL_CLI_LOAD_PLAN_HPP

#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::cli {

/// Requests of one class and organisation within a load test, with the latency
/// targets that they are compared with.
struct load_stream
{
    std::string service_class; ///< Empty for the default of the model.
    std::string key;           ///< Key of the organisation.
    std::string model = "model";
    double weight = 1.0; ///< Share of the requests, relative to others.
    std::uint64_t output_tokens = 40; ///< Output tokens of a request.
    std::size_t prompt_bytes = 400;   ///< Minimum size of a prompt.
    std::chrono::milliseconds time_to_first_token_target{1'800};
    std::chrono::milliseconds inter_token_latency_target{63};

    /// Returns a name of the stream for tables.
    /// \return the class, followed by the first characters of the key
    [[nodiscard]] std::string label() const;
};

/// Parses a stream from text such as "class=C;key=K;weight=W;tokens=N".
/// \param text members as NAME=VALUE, separated by semicolons
/// \param defaults values of the members that are absent
/// \return the stream, or an error that names the invalid member, its value and
///     what is allowed
[[nodiscard]] result<load_stream> parse_load_stream(std::string_view text,
                                                    load_stream defaults);

/// Distribution of the times between two arrivals.
enum class arrival_pattern
{
    poisson, ///< Exponentially distributed times.
    even     ///< Equal times.
};

/// Arrival process and response lengths of a load test. The request rate can
/// swing as a square wave between two levels.
struct load_profile
{
    double requests_per_second = 10.0;
    std::chrono::milliseconds total_duration{
        10'000}; ///< How long requests are sent.
    arrival_pattern pattern = arrival_pattern::poisson;
    /// Factor on the rate in the first half of each swing period.
    double swing_low_factor = 1.0;
    /// Factor on the rate in the second half of each swing period.
    double swing_high_factor = 1.0;
    std::chrono::milliseconds swing_period{4'000};
    /// Fraction of the requests that are stragglers, which have a much longer
    /// response; from 0 to 1.
    double straggler_fraction = 0.0;
    double straggler_token_factor = 20.0; ///< Factor on their output tokens.
    std::uint64_t seed = 1;               ///< Of all random decisions.
};

/// One planned request of a load test.
struct planned_request
{
    std::chrono::nanoseconds start_offset{0}; ///< From the start of the test.
    std::size_t stream_index = 0;
    std::uint64_t sequence_number = 0; ///< Counts from 0.
    std::uint64_t output_tokens = 0;
    bool is_straggler = false;
};

/// Generates the requests of a load test. The sequence depends only on the
/// profile and the streams, never on the results of earlier requests, so that a
/// test can be repeated.
class load_plan
{
public:
    /// \param profile arrival process and response lengths
    /// \param streams streams to draw requests from; at least one
    load_plan(load_profile profile, std::vector<load_stream> streams);

    /// Generates the next request.
    /// \param request set to the next request, in order of time
    /// \return false if no further request starts within the planned time
    bool next(planned_request& request);

    [[nodiscard]] std::vector<load_stream> const& streams() const
    {
        return streams_;
    }

private:
    [[nodiscard]] double rate_at(std::chrono::nanoseconds offset) const;
    /// Draws the time to the next arrival for a rate of one request a second.
    /// \return the time in seconds
    double draw_unit_rate_gap();

    load_profile profile_;
    std::vector<load_stream> streams_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> stream_distribution_;
    std::chrono::nanoseconds current_offset_{0};
    std::uint64_t next_sequence_number_ = 0;
};

/// Creates the prompt of a planned request.
/// \param request planned request
/// \param min_bytes minimum size of the prompt
/// \return text that is unique among the requests of a test; the engine
///     stand-in of the tests reads the number of output tokens from it
[[nodiscard]] std::string make_prompt(planned_request const& request,
                                      std::size_t min_bytes);

} // namespace medlarstall::cli

#endif
