#ifndef MEDLARSTALL_GATEWAY_SUSPENSION_WATCH_HPP
#define MEDLARSTALL_GATEWAY_SUSPENSION_WATCH_HPP

#include <chrono>
#include <optional>

namespace medlarstall::gateway {

/// Readings of the clocks of the machine.
struct clock_readings
{
    std::chrono::nanoseconds steady{0}; ///< Does not count a suspension.
    std::chrono::nanoseconds boot{0};   ///< Counts a suspension.
    std::chrono::nanoseconds wall{0};   ///< May be set at any time.

    /// \return the present readings
    [[nodiscard]] static clock_readings now();
};

/// Tells from the clocks whether the machine may have been suspended. A wall
/// clock that moves ahead of the steady clock counts as a suspension: some
/// machines have no other clock that runs on while they are suspended.
class suspension_watch
{
public:
    /// \param readings present readings
    /// \return true if the machine may have been suspended since the last call
    [[nodiscard]] bool check(clock_readings const& readings);

private:
    std::optional<clock_readings> last_;
};

} // namespace medlarstall::gateway

#endif
