#ifndef MEDLARSTALL_SCHEDULING_TIER_QUEUE_HPP
#define MEDLARSTALL_SCHEDULING_TIER_QUEUE_HPP

#include <medlarstall/scheduling/fair_queue.hpp>
#include <medlarstall/scheduling/scheduler_settings.hpp>
#include <medlarstall/scheduling/summary.hpp>
#include <medlarstall/support/time.hpp>

#include <array>
#include <optional>

namespace medlarstall::scheduling {

/// The queue of one backend server group: strict priority over tiers, except
/// that each tier gets a floor of the slots that become free.
class tier_queue
{
public:
    /// The request to serve next.
    struct choice
    {
        unsigned tier = 0;
        fair_queue::candidate request;
        bool by_floor = false;
    };

    /// \param settings longest gap and most lead
    explicit tier_queue(scheduler_settings const& settings);

    /// \param tier tier to change
    /// \param part least part of freed slots, from 0 to 1
    void set_floor(unsigned tier, double part);

    /// \param tier from 0 to max_tiers - 1
    /// \return the fair queue of the tier
    [[nodiscard]] fair_queue& at(unsigned tier) { return tiers_[tier]; }

    /// \copydoc at
    [[nodiscard]] fair_queue const& at(unsigned tier) const
    {
        return tiers_[tier];
    }

    /// Chooses the request for a slot that is free anyway.
    /// \param lanes lanes that the backend server can serve
    /// \param now current time
    /// \return the choice, or nothing if no request can run there
    [[nodiscard]] std::optional<choice> pick(open_lanes const& lanes,
                                             time_point now) const;

    /// Chooses by priority alone, for a slot that a victim left.
    /// \param lanes lanes that the backend server can serve
    /// \return the choice, or nothing if no request can run there
    [[nodiscard]] std::optional<choice>
    pick_by_priority(open_lanes const& lanes) const;

    /// Notes that a freed slot was given to a tier.
    /// \param tier tier that was served
    /// \param by_floor true if its floor served it
    /// \param now current time
    void note_served(unsigned tier, bool by_floor, time_point now);

    /// Notes which tiers wait; call after each change of the queue.
    /// \param now current time
    void note_waiting(time_point now);

    /// \return requests queued in all tiers
    [[nodiscard]] std::size_t size() const;

    /// \return requests queued in all tiers that have not run
    [[nodiscard]] std::size_t sheddable() const;

    /// \return the least important tier that has a request to shed
    [[nodiscard]] std::optional<unsigned> lowest_sheddable() const;

    /// \param tier a tier
    /// \return least part of freed slots that it gets while it waits
    [[nodiscard]] double floor(unsigned tier) const { return floors_[tier]; }

private:
    [[nodiscard]] bool due(unsigned tier, time_point now) const;

    duration longest_gap_;
    std::array<fair_queue, max_tiers> tiers_;
    std::array<double, max_tiers> floors_{};
    std::array<double, max_tiers> credits_{}; ///< Freed slots owed.
    std::array<std::optional<time_point>, max_tiers> waiting_since_{};
    bool floor_served_last_ = false;
};

} // namespace medlarstall::scheduling

#endif
