#ifndef MEDLARSTALL_DISPATCH_PLACEMENT_COST_HPP
#define MEDLARSTALL_DISPATCH_PLACEMENT_COST_HPP

#include <medlarstall/dispatch/prompt.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace medlarstall::dispatch {

/// An expected time, or a cost expressed as a time, in milliseconds with a
/// fraction.
using cost_ms = double;

/// Prompt tokens that prefill processes in a millisecond. The slowness that is
/// learned for each backend server corrects it.
inline constexpr double prefill_tokens_per_ms = 40.0;

/// Load of a backend server by the requests that all daemons, or a single one,
/// have in flight there.
struct server_load
{
    double in_flight = 0;      ///< Number of requests.
    double prefill_tokens = 0; ///< Of prompts without a first event yet.
    double memory_tokens = 0;  ///< Memory of prompts and answers in flight.
    /// Sum of the sensitivities of the streams to pauses between their events.
    double pause_sensitivity_sum = 0;
    /// Share of recent time in long prefills.
    double long_prefill_share = 0;
};

/// What the cost of placing a request on a backend server depends on.
struct candidate
{
    server_load load;
    std::uint32_t slots = 1;
    /// Size of its memory; 0 if unknown.
    std::uint64_t memory_capacity_tokens = 0;
    std::uint32_t cached_tokens = 0; ///< Tokens of this prompt in its cache.
    /// Real divided by expected time to first event, as learned for this
    /// backend server.
    double slowness = 1.0;
    double latency_ms = 10.0; ///< Recent latency, for services without a model.
    /// Share of failures above the mean of the service.
    double excess_failures = 0.0;
    /// Position in the order of preference for this prompt, from 0; the same at
    /// all daemons.
    std::size_t preference_rank = 0;
    /// Whether another backend server has more of the prompt in its cache.
    bool longer_prefix_elsewhere = false;
    std::uint32_t copied_tokens = 0; ///< Tokens to copy from that cache.
    double copy_tokens_per_ms = 1.0; ///< Throughput of such a copy.
    bool other_data_centre = false;  ///< Whether it is not in the daemon's own.
};

/// Estimates how likely a stream misses its objective for pauses between its
/// events when prefill of long prompts runs in the same batch.
/// \param pause_objective longest pause between two events that the caller
///     accepts; 0 if it accepts any
/// \param tokens_per_event number of tokens between two events of the stream
/// \return sensitivity from 0 (never misses it) to 1
[[nodiscard]] double
pause_sensitivity(std::chrono::milliseconds pause_objective,
                  std::uint32_t tokens_per_event);

/// \param tokens prompt tokens that need prefill
/// \return how much this prefill slows the streams in the same batch, from 0
///     (not at all) to 1
[[nodiscard]] double prefill_interference(double tokens);

/// Computes the cost of a request to a model: the expected time to its first
/// event, plus costs for its effects on the other requests there.
/// \param server backend server to evaluate
/// \param wanted prompt of the request
/// \param sensitivity pause sensitivity of the request, 0 to 1
/// \return cost; the backend server with the lowest one is best
[[nodiscard]] cost_ms prompt_cost(candidate const& server, prompt const& wanted,
                                  double sensitivity);

/// Estimates the time to the first event of the answer to a prompt, without any
/// added cost. Corrected by candidate::slowness.
/// \param server backend server to evaluate
/// \param wanted prompt of the request
/// \return expected time from sending the request
[[nodiscard]] cost_ms expected_first_event(candidate const& server,
                                           prompt const& wanted);

/// Computes the cost of a request to a service without a model: the expected
/// time of the request, plus costs for load, failures and distance.
/// \param server backend server to evaluate
/// \return cost; the backend server with the lowest one is best
[[nodiscard]] cost_ms plain_cost(candidate const& server);

} // namespace medlarstall::dispatch

#endif
