#ifndef MEDLARSTALL_DUTY_USAGE_REPORTER_HPP
#define MEDLARSTALL_DUTY_USAGE_REPORTER_HPP

#include <medlarstall/duty/true_time.hpp>
#include <medlarstall/duty/usage_duty.hpp>
#include <medlarstall/duty/usage_ledger.hpp>
#include <medlarstall/duty/usage_settings.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace medlarstall::duty {

/// The part of a daemon that counts its requests, exchanges counts with the
/// other daemons and reports them while it holds the duties. Pure code; owned
/// by the gateway.
class usage_reporter
{
public:
    /// Counters since the start of the daemon.
    struct statistics
    {
        std::uint64_t counted = 0; ///< Requests of this daemon.
        /// Requests of this daemon that were not counted, as their window was
        /// fixed when it became known that they had begun.
        std::uint64_t late = 0;
        std::uint64_t rejected_rows = 0; ///< Rows of peers that were invalid.
    };

    /// \param daemon name of this daemon
    /// \param incarnation increases with each start of this daemon
    /// \param settings how usage is reported
    usage_reporter(std::string_view daemon, std::uint64_t incarnation,
                   usage_settings settings);
    usage_reporter(usage_reporter const&) = delete;
    usage_reporter& operator=(usage_reporter const&) = delete;

    /// Takes the wall clock of this daemon. Called several times a second.
    /// \param wall what the wall clock shows
    /// \param now current time
    void tick(wall_time wall, time_point now);

    /// The machine was suspended; tick() must follow.
    void on_suspended() { time_.on_suspended(); }

    /// Counts a request of this daemon.
    /// \param organisation organisation of its caller
    /// \param began_at when it began to run
    void count(std::string const& organisation, time_point began_at);

    /// Takes the wall clock of another daemon.
    /// \param daemon its name
    /// \param wall what its wall clock showed when it sent its update
    /// \param now when the update was received
    void on_peer_clock(std::string const& daemon, wall_time wall,
                       time_point now);

    /// Merges what another daemon tells of its counts.
    /// \param daemon its name
    /// \param incarnation its incarnation
    /// \param note what it tells
    /// \param now current time
    void on_peer_note(std::string_view daemon, std::uint64_t incarnation,
                      usage_note const& note, time_point now);

    /// Merges the rows of several daemons that one of them has collected.
    /// \param bytes rows as encoded by collected_rows()
    void on_collected_rows(std::string_view bytes);

    /// Builds what to tell the other daemons. It contains the rows that have
    /// changed since the last call, and all rows that may matter about once a
    /// second, so that a loss is repaired.
    /// \param all whether to tell all rows in any case
    /// \param now current time
    /// \return the rows and what this daemon knows of fixed windows
    [[nodiscard]] usage_note take_note(bool all, time_point now);

    /// \param now current time
    /// \return rows of all daemons that this one knows, for a holder of the
    ///     duties that does not hear these daemons itself
    [[nodiscard]] std::string collected_rows(time_point now) const;

    /// \param now current time
    /// \return known counts of the fleet by window, of those still told
    [[nodiscard]] std::map<std::uint64_t, organisation_counts>
    open_sums(time_point now) const;

    [[nodiscard]] usage_duty& duty() { return duty_; }
    [[nodiscard]] usage_duty const& duty() const { return duty_; }
    [[nodiscard]] true_time const& time() const { return time_; }
    [[nodiscard]] statistics const& counters() const { return statistics_; }
    /// \return number of counts that are held, of all daemons
    [[nodiscard]] std::size_t held_counts() const { return ledger_.size(); }

private:
    std::uint64_t first_to_tell(time_point now) const;

    usage_settings settings_;
    true_time time_;
    usage_ledger ledger_;
    usage_duty duty_;
    time_point all_told_at_ = time_point::min();
    statistics statistics_;
};

} // namespace medlarstall::duty

#endif
