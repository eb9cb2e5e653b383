#ifndef MEDLARSTALL_BENCH_WORKLOAD_HPP
#define MEDLARSTALL_BENCH_WORKLOAD_HPP

#include "fake_engine.hpp"

#include <medlarstall/catalogue/catalogue.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::bench {

using seconds = std::chrono::duration<double>;

/// Sizes of one member's installation. Plain data.
struct site
{
    std::string name;
    std::size_t data_centres = 4;
    std::size_t daemons = 5;
    std::size_t engines = 10;
    std::size_t services = 4; ///< Backend servers of the plain service.
    std::size_t organisations = 10;
    std::size_t large = 3; ///< Organisations with a large share.
    engine_speed engine;
    engine_speed service{30, 1, 0, 0, 8, 0};
};

/// What happens in a case besides its load. Plain data.
struct fault_plan
{
    bool slowdown = false;    ///< Two engines run 5x slower for 3 s, twice.
    bool crash = false;       ///< One engine crashes and returns after 7 s.
    bool daemon_lost = false; ///< One daemon is lost, back after 15 s.
};

/// One case of the measurement. Plain data.
struct scenario
{
    std::string name;
    double load = 0.7;     ///< Multiple of the engines' capacity.
    double burst = 0;      ///< Of one class on top, from 15 to 25 s.
    bool swing = false;    ///< Load is 0.5 and 2 in turn, each for 2 s.
    double stragglers = 0; ///< Part of the requests with 20x the length.
    bool flood = false;    ///< One organisation at 10x its share.
    fault_plan faults;
    bool overload = false; ///< Demand exceeds capacity for some time.
};

/// One request of a caller. Plain data.
struct arrival
{
    duration at{0}; ///< From the start of the run.
    std::size_t organisation = 0;
    std::size_t service_class = 0; ///< Position in class_names().
    bool plain_service = false;
    bool long_output = false;
    std::uint32_t document = 0;
    std::uint32_t document_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
};

/// Organisation that floods in the cases with a flood.
inline constexpr std::size_t flooding_organisation = 0;
inline constexpr seconds warm_up{5};
inline constexpr seconds run_length{40};
inline constexpr std::uint32_t document_tokens = 512;
inline constexpr std::uint32_t bytes_per_token = 4;

/// \return the two installations that are measured
[[nodiscard]] std::vector<site> sites();

/// \return the nine cases
[[nodiscard]] std::vector<scenario> scenarios();

/// \return names of the classes, tier 0 first
[[nodiscard]] std::vector<std::string> const& class_names();

/// \param organisation number of an organisation
/// \return its name
[[nodiscard]] std::string organisation_name(std::size_t organisation);

/// \param place installation
/// \return its organisations, classes and groups
[[nodiscard]] catalogue::catalogue make_catalogue(site const& place);

/// \param place installation
/// \param organisation number of an organisation
/// \return its part of the capacity by its weight, from 0 to 1
[[nodiscard]] double entitlement(site const& place, std::size_t organisation);

/// \param place installation
/// \return requests a second that all engines sustain within the targets
[[nodiscard]] double capacity(site const& place);

/// \param place installation
/// \param request a request to the engines
/// \return seconds of one engine that it takes if half of the documents are
///     cached
[[nodiscard]] double engine_seconds(site const& place, arrival const& request);

/// \param what case
/// \param at time from the start of the run
/// \return true at the crest of a swing or within a burst
[[nodiscard]] bool at_crest(scenario const& what, duration at);

/// \param place installation
/// \param what case
/// \param seed seed of all random choices
/// \return the requests in order of time
[[nodiscard]] std::vector<arrival>
make_arrivals(site const& place, scenario const& what, std::uint64_t seed);

} // namespace medlarstall::bench

#endif
