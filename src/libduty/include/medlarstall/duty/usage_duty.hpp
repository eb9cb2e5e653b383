#ifndef MEDLARSTALL_DUTY_USAGE_DUTY_HPP
#define MEDLARSTALL_DUTY_USAGE_DUTY_HPP

#include <medlarstall/duty/exclusive_duty.hpp>
#include <medlarstall/duty/true_time.hpp>
#include <medlarstall/duty/usage_ledger.hpp>
#include <medlarstall/duty/usage_settings.hpp>
#include <medlarstall/duty/usage_state.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace medlarstall::duty {

/// Reports the use of each window. The content of a window is fixed some time
/// after its end, stored, and only then sent, so that whoever sends it sends
/// the same. Pure code; owned by the part that counts requests.
class usage_duty
{
public:
    /// Counters since the start of the daemon.
    struct statistics
    {
        std::uint64_t fixed = 0;      ///< Windows whose content was fixed.
        std::uint64_t accepted = 0;   ///< Reports that the platform accepted.
        std::uint64_t failed = 0;     ///< Sends that were not accepted.
        std::uint64_t given_up = 0;   ///< Reports that became too old.
        std::uint64_t unreadable = 0; ///< Stored states that were unreadable.
        /// Windows that were left out, as they may have been reported by a
        /// holder whose state was lost.
        std::uint64_t left_out = 0;
    };

    /// \param ledger counts of the fleet; outlives this object
    /// \param time time of day; outlives this object
    /// \param settings how usage is reported
    usage_duty(usage_ledger& ledger, true_time const& time,
               usage_settings settings);

    /// Takes what a peer knows of the windows whose content is fixed. It only
    /// matters to a holder that finds no stored state, or an outdated one.
    /// \param window windows before this one have a fixed content
    /// \param now current time
    void on_told_closed(std::uint64_t window, time_point now);

    /// \return windows before this one have a fixed and stored content, as far
    ///     as this daemon knows; 0 if it does not know of any
    [[nodiscard]] std::uint64_t known_closed_before() const
    {
        return stored_closed_before_;
    }

    /// The functions of exclusive_duty.
    [[nodiscard]] std::string state() const;
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    void on_taken(stored_state const& stored, time_point now);
    void on_lost();
    void on_stored(std::uint64_t revision);
    [[nodiscard]] std::vector<duty_call> due_calls(time_point now);
    void on_result(duty_call const& call, call_outcome outcome, time_point now);

    [[nodiscard]] statistics const& counters() const { return statistics_; }

    /// \return number of reports that were not accepted yet
    [[nodiscard]] std::size_t waiting() const { return reports_.size(); }

private:
    /// A window whose content is fixed.
    struct report
    {
        organisation_counts counts;
        std::uint64_t revision = 0; ///< Revision of the state that contains it.
        bool is_stored = false;
        bool in_flight = false;
        time_point send_after = time_point::min();
    };

    std::uint64_t windows_in(std::chrono::milliseconds span) const;
    std::uint64_t oldest_reported(time_point now) const;
    std::uint64_t latest_closed(time_point now) const;
    std::uint64_t possibly_closed(time_point lost_until) const;
    std::uint64_t first_window(std::uint64_t end) const;
    void close_windows(time_point now);
    void give_up_old(time_point now);

    usage_ledger& ledger_;
    true_time const& time_;
    usage_settings settings_;
    bool holds_ = false;
    time_point taken_at_;
    /// Windows before this one are fixed, perhaps not stored yet.
    std::uint64_t closed_before_ = 0;
    std::uint64_t stored_closed_before_ = 0;
    std::uint64_t revision_ = 0;
    std::map<std::uint64_t, report> reports_; ///< By window.
    statistics statistics_;
};

static_assert(exclusive_duty<usage_duty>);

} // namespace medlarstall::duty

#endif
