#ifndef MEDLARSTALL_MEMBERSHIP_FLAP_DAMPING_HPP
#define MEDLARSTALL_MEMBERSHIP_FLAP_DAMPING_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <map>
#include <string>

namespace medlarstall::membership {

/// Settings of a flap_damping.
struct damping_settings
{
    /// How long a daemon must be reachable again after its first loss before
    /// it counts as live.
    std::chrono::milliseconds initial_hold{1000};
    /// Upper limit for this time, however often the daemon was lost.
    std::chrono::milliseconds max_hold{60'000};
    /// Time in which the penalty for past losses falls to one half.
    std::chrono::milliseconds half_life{60'000};
};

/// Keeps daemons that are lost repeatedly out of the live view. The time for
/// which a daemon is held out doubles with each loss, and the penalty behind
/// it decays exponentially while no loss occurs.
class flap_damping
{
public:
    /// \param settings hold times and half-life of the penalty
    explicit flap_damping(damping_settings settings);

    /// Adds a loss to the penalty of a daemon.
    void on_lost(std::string const& daemon, time_point now);

    /// Tells whether a daemon has been reachable for long enough.
    /// \param daemon id of a daemon that is reachable again
    /// \param since time from which it has been reachable without interruption
    /// \param now current time
    /// \return true if it may count as live again
    [[nodiscard]] bool may_rejoin(std::string const& daemon, time_point since,
                                  time_point now) const;

private:
    struct loss_history
    {
        double penalty = 0.0; ///< Number of losses, each decayed by its age.
        time_point updated;
    };

    [[nodiscard]] double penalty_at(loss_history const& history,
                                    time_point now) const;

    damping_settings settings_;
    std::map<std::string, loss_history> histories_;
};

} // namespace medlarstall::membership

#endif
