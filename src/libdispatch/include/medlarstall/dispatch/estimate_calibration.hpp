#ifndef MEDLARSTALL_DISPATCH_ESTIMATE_CALIBRATION_HPP
#define MEDLARSTALL_DISPATCH_ESTIMATE_CALIBRATION_HPP

#include <chrono>

namespace medlarstall::dispatch {

/// Learns the ratio between the real and the estimated time to the first event
/// at the backend servers of one service. Ignores estimates that are too short
/// to be informative. Does no I/O; owned by the dispatcher.
class estimate_calibration
{
public:
    using milliseconds = std::chrono::duration<double, std::milli>;

    /// Adds the measured time to a first event.
    /// \param expected estimate when the request was sent
    /// \param actual time until the first event
    void add_sample(milliseconds expected, milliseconds actual);

    /// Adds a request that ended before its first event, so that only a lower
    /// bound of the time is known. Ignored unless the bound exceeds the
    /// calibrated estimate.
    /// \param expected estimate when the request was sent
    /// \param waited time without an event
    void add_lower_bound(milliseconds expected, milliseconds waited);

    /// \return factor by which to multiply an estimate to get the likely real
    ///     time; 1 before the first sample
    [[nodiscard]] double factor() const { return actual_ / expected_; }

private:
    double expected_ = 1.0; ///< Exponentially decaying sum of the estimates.
    double actual_ = 1.0;   ///< Exponentially decaying sum of the real times.
};

} // namespace medlarstall::dispatch

#endif
