#ifndef MEDLARSTALL_EMULATOR_WORKLOAD_HPP
#define MEDLARSTALL_EMULATOR_WORKLOAD_HPP

#include <medlarstall/dispatch/prompt.hpp>
#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <vector>

namespace medlarstall::emulator {

/// One request of a caller. Plain data.
struct arrival
{
    duration at{0};       ///< From the start of the experiment.
    std::size_t kind = 0; ///< Position in the classes.
    std::uint32_t organisation = 0;
    dispatch::prompt asked;          ///< As the caller tells it.
    std::uint32_t output_tokens = 0; ///< As it turns out.
    duration work{0};                ///< Of a service without a model.
    double size = 1;                 ///< Against the mean of its class.
};

/// Draws the requests of an experiment.
/// \param from the experiment
/// \param seed seed of all random choices
/// \return the requests in order of time
[[nodiscard]] std::vector<arrival> make_arrivals(experiment const& from,
                                                 std::uint64_t seed);

} // namespace medlarstall::emulator

#endif
