#ifndef MEDLARSTALL_DUTY_TRUE_TIME_HPP
#define MEDLARSTALL_DUTY_TRUE_TIME_HPP

#include <medlarstall/support/time.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace medlarstall::duty {

/// A time of day, as a wall clock shows it.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Time of day that does not depend on the wall clock of one daemon: the median
/// of the clocks of the fleet, each as an offset to the monotonic clock of this
/// daemon. Pure code; owned by the part that counts requests.
///
/// With few clocks the median does not outvote one that has jumped. A clock
/// then keeps the offset that it had before a jump, unless the jump persists.
class true_time
{
public:
    /// Takes the wall clock of this daemon, and computes the median again.
    /// Called several times a second.
    /// \param wall what the wall clock shows
    /// \param now the same time on the monotonic clock
    void on_own_clock(wall_time wall, time_point now);

    /// Takes the wall clock of another daemon.
    /// \param daemon its name
    /// \param wall what its wall clock showed when it sent its update; ignored
    ///     if it cannot be a present time
    /// \param now when the update was received
    void on_peer_clock(std::string const& daemon, wall_time wall,
                       time_point now);

    /// Forgets all clocks, since the monotonic clock has not counted a time in
    /// which the machine was suspended.
    void on_suspended();

    /// \param when a time on the monotonic clock
    /// \return the time of day then; the start of 1970 if no clock is known
    [[nodiscard]] wall_time at(time_point when) const;

    /// \return number of clocks that the last median was taken of
    [[nodiscard]] std::size_t clock_count() const { return clock_count_; }

    /// \return how far the wall clock of this daemon is ahead
    [[nodiscard]] std::chrono::milliseconds own_deviation() const
    {
        return own_deviation_;
    }

    /// \return how often the wall clock of this daemon has jumped
    [[nodiscard]] std::size_t own_jumps() const { return own_.jumps; }

private:
    using offset = std::chrono::milliseconds;
    static constexpr std::size_t sample_count = 3;

    struct clock
    {
        /// The last offsets. The greatest of them is the least delayed.
        std::array<offset, sample_count> samples{};
        std::size_t taken = 0; ///< Number of samples since the start.
        offset held{0};        ///< Without a jump that has just occurred.
        std::optional<time_point> deviates_since;
        time_point heard_at;
        std::size_t jumps = 0;

        [[nodiscard]] offset latest() const;
    };

    static void add_sample(clock& target, wall_time wall, time_point now);
    void forget_silent(time_point now);
    void update_median();

    clock own_;
    std::map<std::string, clock> peers_;
    offset median_{0};
    offset own_deviation_{0};
    std::size_t clock_count_ = 0;
};

} // namespace medlarstall::duty

#endif
