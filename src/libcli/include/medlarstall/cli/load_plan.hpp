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

/// Requests of one class and organisation within a load. Plain data.
struct load_stream
{
    std::string service_class; ///< Empty: the model's default.
    std::string key;           ///< The organisation's key.
    std::string model = "model";
    double weight = 1.0; ///< Part of the requests, against the others.
    std::uint64_t tokens = 40;
    std::size_t prompt_bytes = 400;
    std::chrono::milliseconds first_token{1'800};
    std::chrono::milliseconds between_tokens{63};

    /// \return name for tables
    [[nodiscard]] std::string label() const;
};

/// Reads a stream from its form "class=C;key=K;weight=W;tokens=N;...".
/// \param text members separated by semicolons
/// \param defaults values of the members that are absent
/// \return the stream, or an error that names the member, its value and what
///     is allowed
[[nodiscard]] result<load_stream> parse_load_stream(std::string_view text,
                                                    load_stream defaults);

/// How arrivals are spread over time.
enum class arrival_pattern
{
    poisson,
    even
};

/// When requests start, and how long they are. Plain data.
struct load_shape
{
    double requests_per_second = 10.0;
    std::chrono::milliseconds span{10'000};
    arrival_pattern pattern = arrival_pattern::poisson;
    double swing_low = 1.0;  ///< Factor on the rate in each first half period.
    double swing_high = 1.0; ///< And in each second half.
    std::chrono::milliseconds swing_period{4'000};
    double stragglers = 0.0;        ///< Part of the requests, from 0 to 1.
    double straggler_factor = 20.0; ///< On their tokens.
    std::uint64_t seed = 1;
};

/// One planned request.
struct planned_request
{
    std::chrono::nanoseconds at{0}; ///< From the start of the load.
    std::size_t stream = 0;         ///< Index of its stream.
    std::uint64_t number = 0;
    std::uint64_t tokens = 0;
    bool straggler = false;
};

/// Plans a load: the same shape and streams give the same requests, whatever
/// becomes of them.
class load_plan
{
public:
    /// \param shape arrivals and lengths
    /// \param streams streams to draw from; at least one
    load_plan(load_shape shape, std::vector<load_stream> streams);

    /// \param request set to the next request
    /// \return false once the span is over
    bool next(planned_request& request);

    [[nodiscard]] std::vector<load_stream> const& streams() const
    {
        return streams_;
    }

private:
    [[nodiscard]] double rate_at(std::chrono::nanoseconds at) const;
    double next_gap();

    load_shape shape_;
    std::vector<load_stream> streams_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> pick_;
    std::chrono::nanoseconds at_{0};
    std::uint64_t number_ = 0;
};

/// Makes the prompt of a planned request.
/// \param request planned request
/// \param bytes least size of the prompt
/// \return text that differs from request to request; the engine stand-in
///     reads the number of tokens from it
[[nodiscard]] std::string make_prompt(planned_request const& request,
                                      std::size_t bytes);

} // namespace medlarstall::cli

#endif
