#ifndef MEDLARSTALL_MEMBERSHIP_FLAP_DAMPING_HPP
#define MEDLARSTALL_MEMBERSHIP_FLAP_DAMPING_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <map>
#include <string>

namespace medlarstall::membership {

/// How long a daemon that was lost again and again is kept out.
struct damping_settings
{
    std::chrono::milliseconds first_hold{1000};
    std::chrono::milliseconds longest_hold{60'000};
    std::chrono::milliseconds half_life{60'000}; ///< Of the penalty.
};

/// Keeps daemons that come and go out of the live view for a time that doubles
/// with each loss, and halves with time spent without one.
class flap_damping
{
public:
    /// \param settings times
    explicit flap_damping(damping_settings settings);

    /// Notes that a daemon was lost.
    void on_lost(std::string const& daemon, time_point now);

    /// \param daemon id of a daemon that is heard again
    /// \param since since when it is heard without a break
    /// \param now current time
    /// \return true if it may count as live
    [[nodiscard]] bool admits(std::string const& daemon, time_point since,
                              time_point now) const;

private:
    struct history
    {
        double penalty = 0.0; ///< Losses, of which old ones count less.
        time_point updated;
    };

    [[nodiscard]] double penalty_at(history const& past, time_point now) const;

    damping_settings settings_;
    std::map<std::string, history> histories_;
};

} // namespace medlarstall::membership

#endif
