#ifndef MEDLARSTALL_GATEWAY_DUTY_SETTINGS_HPP
#define MEDLARSTALL_GATEWAY_DUTY_SETTINGS_HPP

#include <chrono>

namespace medlarstall::gateway {

/// Which duties the daemons take on, one daemon at a time, and their limits.
struct duty_settings
{
    bool reports_usage = false; ///< Reports the use by organisation.
    bool scales = false;        ///< Orders backend servers.
    /// Calls to the platform per second that all daemons may make together.
    double calls_per_second = 50;
    /// For how long a daemon holds the duties after a renewal.
    std::chrono::milliseconds lease{3000};
    /// The platform rejects calls with a lower fencing token than it has seen.
    bool fencing_enforced = true;
    /// For how long after a suspension a call with an old token is tolerated.
    std::chrono::milliseconds thaw{300};
    std::chrono::milliseconds report_window{5000}; ///< Length of a window.
    /// Largest deviation of a reported count, as a share of the true one.
    double usage_tolerance = 0.05;
    /// A report is due this long after the end of its window.
    std::chrono::milliseconds usage_delay{10000};

    /// \return true if there is any duty
    [[nodiscard]] bool has_any() const { return reports_usage || scales; }

    bool operator==(duty_settings const&) const = default;
};

} // namespace medlarstall::gateway

#endif
