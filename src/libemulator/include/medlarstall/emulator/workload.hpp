#ifndef MEDLARSTALL_EMULATOR_WORKLOAD_HPP
#define MEDLARSTALL_EMULATOR_WORKLOAD_HPP

#include <medlarstall/dispatch/prompt.hpp>
#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <vector>

namespace medlarstall::emulator {

/// One generated request and the time at which its caller sends it.
struct arrival
{
    duration offset{0};          ///< From the start of the experiment.
    std::size_t class_index = 0; ///< Position in experiment::classes.
    std::uint32_t organisation = 0;
    dispatch::prompt prompt; ///< With the caller's estimate of the output.
    std::uint32_t output_tokens = 0; ///< Actual length of the answer.
    duration service_time{0};        ///< Only for a service without a model.
    double relative_size = 1;        ///< Size divided by the mean of the class.
};

/// Generates all requests of an experiment at random.
/// \param spec experiment with classes, rates and disturbances
/// \param seed seed of the random number generators, one for each class
/// \return the requests, ordered by arrival time
[[nodiscard]] std::vector<arrival> generate_arrivals(experiment const& spec,
                                                     std::uint64_t seed);

} // namespace medlarstall::emulator

#endif
