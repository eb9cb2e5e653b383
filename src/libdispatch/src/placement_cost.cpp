#include <medlarstall/dispatch/placement_cost.hpp>

#include <algorithm>
#include <array>

namespace medlarstall::dispatch {

namespace {

/// Time to the first event without prefill and without a queue.
constexpr cost_ms min_first_event = 25.0;
/// Cost for each request that is already in flight at the backend server.
constexpr cost_ms in_flight_cost = 6.0;
/// Cost of making a pause-sensitive stream in the same batch miss its
/// objective.
constexpr cost_ms delayed_stream_cost = 600.0;
/// Cost for each millisecond of prefill and each request in flight, which the
/// prefill delays.
constexpr double delay_of_others_cost = 0.02;
/// Cost for each millisecond by which prefill of other prompts delays the
/// answer of the request itself.
constexpr double own_delay_cost = 0.15;
/// Time that the prefill of one chunk of a prompt adds to a step of the engine.
constexpr cost_ms prefill_chunk_time = 50.0;
/// Cost of missing the objective for pauses because of prefill of other
/// prompts.
constexpr cost_ms own_pause_cost = 1500.0;
/// Cost for each millisecond of prefill of what another backend server has in
/// its cache: it delays all requests that are queued behind.
constexpr double repeated_prefill_cost = 2.5;
/// Cost of copying one token, for the load on the links between memories.
constexpr cost_ms copied_token_cost = 0.06;
/// Time to start a copy.
constexpr cost_ms copy_setup_time = 10.0;
/// Reduction of the cost of the first backend servers in the order of
/// preference for a prompt that none has in its cache.
constexpr std::array<cost_ms, 3> preference_bonus = {30.0, 20.0, 10.0};
/// Share of the memory that can be filled without a cost.
constexpr double free_memory_share = 0.85;
/// Cost of filling the memory completely; above the share without a cost, it
/// grows linearly.
constexpr cost_ms full_memory_cost = 4000.0;
/// Cost for the share of failures above the mean, for requests to a model. The
/// share is at most 1.
constexpr cost_ms failed_prompt_cost = 2500.0;
/// The same for requests to a service without a model.
constexpr cost_ms failed_request_cost = 1500.0;
/// Cost of sending a request to another data centre.
constexpr cost_ms other_data_centre_cost = 2.8;

/// \param server backend server to evaluate
/// \param wanted prompt of the request
/// \return prompt tokens that need prefill at the backend server
double uncached_tokens(candidate const& server, prompt const& wanted)
{
    auto const available = server.cached_tokens + server.copied_tokens;
    return static_cast<double>(wanted.tokens -
                               std::min(available, wanted.tokens));
}

/// \param server backend server to evaluate
/// \return time to copy prompt tokens to it; zero if none are copied
cost_ms copy_time(candidate const& server)
{
    if (server.copied_tokens == 0) {
        return 0;
    }
    return copy_setup_time + server.copied_tokens / server.copy_tokens_per_ms;
}

/// \param server backend server to evaluate
/// \param wanted prompt of the request
/// \return cost of filling its memory; zero if its size is unknown
cost_ms memory_cost(candidate const& server, prompt const& wanted)
{
    if (server.memory_capacity_tokens == 0) {
        return 0;
    }
    auto const needed =
        server.load.memory_tokens + wanted.tokens + wanted.output_tokens;
    auto const filled_share =
        needed / static_cast<double>(server.memory_capacity_tokens);
    return std::max(0.0, filled_share - free_memory_share) /
           (1.0 - free_memory_share) * full_memory_cost;
}

/// \param server backend server to evaluate
/// \param wanted prompt of the request
/// \return cost of copying or of repeating the prefill of what another backend
///     server has in its cache; negative for a preferred backend server if none
///     has more in its cache
cost_ms cache_locality_cost(candidate const& server, prompt const& wanted)
{
    if (server.copied_tokens > 0) {
        return server.copied_tokens * copied_token_cost;
    }
    if (server.longer_prefix_elsewhere) {
        return uncached_tokens(server, wanted) / prefill_tokens_per_ms *
               repeated_prefill_cost;
    }
    if (server.preference_rank < preference_bonus.size()) {
        return -preference_bonus.at(server.preference_rank);
    }
    return 0;
}

} // namespace

double pause_sensitivity(std::chrono::milliseconds pause_objective,
                         std::uint32_t tokens_per_event)
{
    // Time of an engine step that includes prefill of a chunk, on an instance
    // that is slow at that moment.
    constexpr double slow_step_ms = 150.0;
    // Share of the objective up to which a pause is harmless.
    constexpr double tolerated_share = 0.8;
    if (pause_objective.count() <= 0) {
        return 0;
    }
    auto const pause = slow_step_ms * tokens_per_event;
    auto const objective = static_cast<double>(pause_objective.count());
    return std::clamp(pause / objective - tolerated_share, 0.0, 1.0);
}

double prefill_interference(double tokens)
{
    // Prompt tokens up to which there is no interference, and from which on it
    // is at its maximum.
    constexpr double harmless_tokens = 1200.0;
    constexpr double full_effect_tokens = 4000.0;
    return std::clamp((tokens - harmless_tokens) /
                          (full_effect_tokens - harmless_tokens),
                      0.0, 1.0);
}

cost_ms expected_first_event(candidate const& server, prompt const& wanted)
{
    auto const prefill_time =
        (server.load.prefill_tokens + uncached_tokens(server, wanted)) /
        prefill_tokens_per_ms;
    auto const queued = std::max(0.0, server.load.in_flight + 1.0 -
                                          static_cast<double>(server.slots));
    // Expected wait for each request beyond the slots.
    constexpr cost_ms cost_per_queued_request = 100.0;
    return (min_first_event + prefill_time) * server.slowness +
           queued * cost_per_queued_request + copy_time(server);
}

cost_ms prompt_cost(candidate const& server, prompt const& wanted,
                    double sensitivity)
{
    auto const stream_delay_cost =
        server.load.pause_sensitivity_sum *
        prefill_interference(uncached_tokens(server, wanted)) *
        delayed_stream_cost;
    auto const own_pause_risk_cost =
        sensitivity * std::min(1.0, server.load.long_prefill_share) *
        own_pause_cost;
    auto const prefill_time =
        uncached_tokens(server, wanted) / prefill_tokens_per_ms;
    auto const slowdown_cost =
        prefill_time * server.load.in_flight * delay_of_others_cost +
        wanted.output_tokens * std::min(1.0, server.load.long_prefill_share) *
            prefill_chunk_time * own_delay_cost;
    return expected_first_event(server, wanted) + slowdown_cost +
           server.load.in_flight * in_flight_cost + stream_delay_cost +
           own_pause_risk_cost + cache_locality_cost(server, wanted) +
           memory_cost(server, wanted) +
           server.excess_failures * failed_prompt_cost +
           (server.other_data_centre ? other_data_centre_cost : 0.0);
}

cost_ms plain_cost(candidate const& server)
{
    auto const slots = static_cast<double>(std::max(server.slots, 1U));
    auto const batches_needed =
        std::max(1.0, (server.load.in_flight + 1.0) / slots);
    constexpr cost_ms cost_per_request_in_flight = 1.0;
    return server.latency_ms * batches_needed +
           server.load.in_flight * cost_per_request_in_flight +
           server.excess_failures * failed_request_cost +
           (server.other_data_centre ? other_data_centre_cost : 0.0);
}

} // namespace medlarstall::dispatch
