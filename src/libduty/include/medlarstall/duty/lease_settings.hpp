#ifndef MEDLARSTALL_DUTY_LEASE_SETTINGS_HPP
#define MEDLARSTALL_DUTY_LEASE_SETTINGS_HPP

#include <chrono>

namespace medlarstall::duty {

/// Times of the lease.
struct lease_settings
{
    /// Time from the beginning of a renewal to the end of the lease.
    std::chrono::milliseconds lease{3000};
    /// The holder stops this long before the end of the lease, and others wait
    /// this long after it, since timers are late and clocks drift.
    std::chrono::milliseconds margin{300};
    std::chrono::milliseconds renewal_interval{1000};
    /// Shortest time between two renewals, if there is content to be stored.
    std::chrono::milliseconds urgent_interval{200};
    /// Shortest time after a call to the store that has failed. It doubles with
    /// each further one, up to four times as long.
    std::chrono::milliseconds retry_interval{200};
    /// A daemon reads the store if it has heard of no renewal for this long.
    /// Renewals are announced at once, so that one datagram may be lost.
    std::chrono::milliseconds silence{1500};
    /// Shortest time between two reads of a daemon that is not the holder.
    std::chrono::milliseconds read_interval{1000};
    /// The same for each daemon of the fleet, for times in which none hears of
    /// the others: 350 daemons then read 100 times a second.
    std::chrono::milliseconds read_interval_per_daemon{10};
    /// In the order of the names' hashes, each daemon waits this much longer
    /// than the one before it.
    std::chrono::milliseconds place_delay{250};
    std::chrono::milliseconds max_place_delay{5000};

    /// \param lease length of the lease
    /// \return times that suit it
    [[nodiscard]] static constexpr lease_settings
    of(std::chrono::milliseconds lease)
    {
        lease_settings settings;
        settings.lease = lease;
        settings.margin = lease / 10;
        settings.renewal_interval = lease / 3;
        settings.urgent_interval = lease / 15;
        settings.retry_interval = lease / 15;
        settings.silence = lease / 2;
        settings.read_interval = lease / 3;
        return settings;
    }

    bool operator==(lease_settings const&) const = default;
};

} // namespace medlarstall::duty

#endif
