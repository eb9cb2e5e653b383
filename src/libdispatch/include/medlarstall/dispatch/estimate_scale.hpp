#ifndef MEDLARSTALL_DISPATCH_ESTIMATE_SCALE_HPP
#define MEDLARSTALL_DISPATCH_ESTIMATE_SCALE_HPP

#include <chrono>

namespace medlarstall::dispatch {

/// Learns how real times to the first event compare with the estimates of the
/// backend servers of one service, from those that were long enough to tell.
/// Pure; owned by the dispatcher.
class estimate_scale
{
public:
    using milliseconds = std::chrono::duration<double, std::milli>;

    /// Takes in how long a first event took.
    /// \param expected estimate when the request was sent
    /// \param took time that it took
    void note(milliseconds expected, milliseconds took);

    /// Takes in that no first event had come yet when a request ended.
    /// \param expected estimate when the request was sent
    /// \param waited time without an event
    void note_at_least(milliseconds expected, milliseconds waited);

    /// \return factor from estimates to real times
    [[nodiscard]] double factor() const { return took_ / expected_; }

private:
    double expected_ = 1.0; ///< Sum, the older the less it counts.
    double took_ = 1.0;
};

} // namespace medlarstall::dispatch

#endif
