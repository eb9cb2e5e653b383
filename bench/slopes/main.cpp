#include "fleet_run.hpp"

#include <medlarstall/settings/setting_set.hpp>
#include <medlarstall/support/log.hpp>

#include <cstdlib>
#include <iostream>

namespace {

using namespace medlarstall;

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

void print(bench::fleet_shape const& shape, bench::fleet_figures const& figures)
{
    auto const line = [&](char const* metric, double value, char const* unit) {
        std::cout << shape.daemons << ',' << shape.backend_servers << ','
                  << shape.organisations << ',' << shape.requests_per_second
                  << ',' << metric << ',' << value << ',' << unit << '\n';
    };
    line("control_bytes", figures.control_bytes_per_second, "B/s");
    line("processor", figures.processor_percent, "%core");
    line("memory", figures.memory_bytes, "B");
    line("in_force_after_acceptance", figures.in_force_ms, "ms");
    line("log_appends", figures.log_appends_per_second, "appends/s");
}

} // namespace

int main(int argc, char** argv)
{
    bench::fleet_shape shape;
    settings::setting_set set{
        "slopes_bench",
        "Measures what one daemon costs in a fleet that runs in one process.",
        MEDLARSTALL_VERSION};
    set.add_number("daemons", "Daemons", 1, 350, shape.daemons);
    set.add_number("backend-servers", "Engines that the list names", 1, 2'000,
                   shape.backend_servers);
    set.add_number("organisations", "Organisations in the catalogue", 1, 5'000,
                   shape.organisations);
    set.add_number("requests-per-second", "Requests, over all daemons", 0,
                   2'000, shape.requests_per_second);
    set.add_duration("span-ms", "Time to measure",
                     std::chrono::milliseconds{1'000},
                     std::chrono::milliseconds{120'000}, shape.span);
    auto const read = set.read({argv, argv + argc}, [](char const* name) {
        return std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    });
    if (failed(read)) {
        std::cerr << "slopes_bench: " << error_of(read).field << ": "
                  << error_of(read).message << '\n';
        return exit_usage;
    }
    if (value_of(read) == settings::startup_action::stop) {
        return EXIT_SUCCESS;
    }
    start_logging({.min_severity = severity::error});
    auto const figures = bench::fleet_run{shape}.run();
    if (failed(figures)) {
        std::cerr << "slopes_bench: " << error_of(figures).field << ": "
                  << error_of(figures).message << '\n';
        return exit_failure;
    }
    print(shape, value_of(figures));
    return EXIT_SUCCESS;
}
