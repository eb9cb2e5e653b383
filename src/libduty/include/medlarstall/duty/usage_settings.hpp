#ifndef MEDLARSTALL_DUTY_USAGE_SETTINGS_HPP
#define MEDLARSTALL_DUTY_USAGE_SETTINGS_HPP

#include <medlarstall/duty/true_time.hpp>

#include <chrono>
#include <cstdint>

namespace medlarstall::duty {

/// How usage is reported.
struct usage_settings
{
    std::chrono::milliseconds window{5000}; ///< Length of a window.
    /// Time from the end of a window to the fixing of its content. Changed rows
    /// are told within 0.2 s, and all rows once a second, so that one lost
    /// update does no harm.
    std::chrono::milliseconds close_delay{2000};
    /// The times of day of two daemons differ by less. Shorter than
    /// close_delay.
    std::chrono::milliseconds max_clock_difference{1000};
    /// Time for which a new holder collects rows before it fixes a window: that
    /// of one full round of rows.
    std::chrono::milliseconds settle_time{1200};
    /// Time between two sends of a report that was not accepted.
    std::chrono::milliseconds retry_interval{1000};
    /// Reports of windows that ended longer ago are given up.
    std::chrono::milliseconds max_report_age{120'000};

    /// \param when a time of day
    /// \return number of the window that contains it; 0 before 1970
    [[nodiscard]] std::uint64_t window_at(wall_time when) const
    {
        auto const elapsed = when.time_since_epoch();
        return elapsed.count() < 0
                   ? 0
                   : static_cast<std::uint64_t>(elapsed / window);
    }
};

} // namespace medlarstall::duty

#endif
