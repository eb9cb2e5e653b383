#ifndef MEDLARSTALL_PLACEMENT_WEIGHT_BUDGET_HPP
#define MEDLARSTALL_PLACEMENT_WEIGHT_BUDGET_HPP

#include <medlarstall/placement/placement_record.hpp>
#include <medlarstall/support/time.hpp>
#include <medlarstall/support/uuid.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace medlarstall::placement {

/// Rate limit of the weight store.
struct weight_settings
{
    std::chrono::milliseconds interval{5000}; ///< Between loads in the fleet.
};

/// Spaces the loads of all daemons by the order of their tickets in the log:
/// each ticket gets a turn, one interval after that of the ticket before it or
/// when it was appended, whichever is later. Every daemon finds the same turns,
/// so the budget is kept without anybody who hands it out.
class weight_budget
{
public:
    /// \param settings rate limit
    explicit weight_budget(weight_settings settings);

    /// Applies a record of the log; call it in the order of the offsets.
    /// \param ticket ticket of any daemon
    /// \param written when the platform kept the record
    /// \param now current time
    void on_ticket(ticket_record const& ticket, wall_time written,
                   time_point now);

    /// \param ticket a ticket
    /// \return the time from which it may be used, or nothing if it was not
    ///     read yet or was taken
    [[nodiscard]] std::optional<time_point>
    turn_of(std::string const& ticket) const;

    /// Forgets a ticket.
    void take(std::string const& ticket) { turns_.erase(ticket); }

private:
    weight_settings settings_;
    wall_time last_turn_;
    std::map<std::string, time_point> turns_;
};

} // namespace medlarstall::placement

#endif
