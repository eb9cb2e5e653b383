#ifndef MEDLARSTALL_BENCH_FLEET_RUN_HPP
#define MEDLARSTALL_BENCH_FLEET_RUN_HPP

#include <medlarstall/support/result.hpp>
#include <medlarstall/tests/test_cluster.hpp>

#include <chrono>
#include <cstddef>

namespace medlarstall::bench {

/// Size of the fleet and of its load.
struct fleet_shape
{
    std::size_t daemons = 5;
    std::size_t backend_servers = 14; ///< Most are names in the list only.
    std::size_t organisations = 10;
    std::size_t requests_per_second = 0;
    std::chrono::milliseconds span{10'000};
};

/// Means for one daemon.
struct fleet_figures
{
    double control_bytes_per_second = 0; ///< Sent and received.
    double processor_percent = 0;        ///< Of a core; stand-ins are included.
    double memory_bytes = 0;             ///< Resident, beyond a fleet of none.
    double in_force_ms = 0;            ///< From acceptance to the last daemon.
    double log_appends_per_second = 0; ///< Of the whole fleet.
};

/// Runs a fleet in this process and measures what a daemon costs.
class fleet_run
{
public:
    explicit fleet_run(fleet_shape shape);

    /// \return the figures, or what did not work
    [[nodiscard]] result<fleet_figures> run();

private:
    struct reading
    {
        double bytes = 0; ///< Both ways, on the links that daemons opened.
        double processor_ms = 0;
        double appends = 0;
    };

    [[nodiscard]] reading read();
    [[nodiscard]] status publish_organisations();
    [[nodiscard]] result<double> time_change();
    [[nodiscard]] bool all_at(std::uint64_t offset);
    void drive(std::chrono::milliseconds span);

    fleet_shape shape_;
    double memory_before_;
    tests::test_cluster cluster_;
};

} // namespace medlarstall::bench

#endif
