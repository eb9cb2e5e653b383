#ifndef MEDLARSTALL_SCHEDULING_TIER_QUEUE_HPP
#define MEDLARSTALL_SCHEDULING_TIER_QUEUE_HPP

#include <medlarstall/scheduling/fair_queue.hpp>
#include <medlarstall/scheduling/scheduler_settings.hpp>
#include <medlarstall/scheduling/summary.hpp>
#include <medlarstall/support/time.hpp>

#include <array>
#include <optional>

namespace medlarstall::scheduling {

/// The queue of one backend server group. Tiers have strict priority, except
/// that each tier is guaranteed a fraction of the freed slots, its floor.
class tier_queue
{
public:
    /// The request to serve next.
    struct choice
    {
        unsigned tier = 0;
        fair_queue::candidate front;
        bool by_floor = false; ///< Chosen because of the floor of its tier.
    };

    /// \param settings provides the maximum wait of a tier and the maximum
    ///     lead of an organisation
    explicit tier_queue(scheduler_settings const& settings);

    /// \param tier tier whose floor changes
    /// \param fraction guaranteed fraction of the freed slots, from 0 to 1
    void set_floor(unsigned tier, double fraction);

    /// \param tier from 0 to max_tiers - 1
    /// \return the fair queue of the tier
    [[nodiscard]] fair_queue& at(unsigned tier) { return tiers_[tier]; }

    /// \copydoc at
    [[nodiscard]] fair_queue const& at(unsigned tier) const
    {
        return tiers_[tier];
    }

    /// Chooses the request for a free slot, by priority and floors.
    /// \param lanes lanes that the backend server can serve
    /// \param now current time
    /// \return the choice; empty if no queued request can run there
    [[nodiscard]] std::optional<choice> pick(eligible_lanes const& lanes,
                                             time_point now) const;

    /// Chooses by priority alone, for a slot that a preempted request freed.
    /// \param lanes lanes that the backend server can serve
    /// \return the choice; empty if no queued request can run there
    [[nodiscard]] std::optional<choice>
    pick_by_priority(eligible_lanes const& lanes) const;

    /// Updates the floor accounting after a freed slot was given to a tier.
    /// \param tier tier that was served
    /// \param by_floor true if it was served because of its floor
    /// \param now current time
    void record_service(unsigned tier, bool by_floor, time_point now);

    /// Updates which tiers are waiting; call it after each change of the
    /// queue.
    /// \param now current time
    void update_waiting(time_point now);

    /// \return number of queued requests in all tiers
    [[nodiscard]] std::size_t size() const;

    /// \return number of queued requests in all tiers that have not run
    [[nodiscard]] std::size_t sheddable() const;

    /// \return the least important tier with a request that can be shed; empty
    ///     if there is none
    [[nodiscard]] std::optional<unsigned> least_important_sheddable() const;

    /// \param tier from 0 to max_tiers - 1
    /// \return fraction of the freed slots guaranteed to it while it waits
    [[nodiscard]] double floor(unsigned tier) const { return floors_[tier]; }

private:
    [[nodiscard]] bool floor_due(unsigned tier, time_point now) const;

    duration max_tier_wait_;
    std::array<fair_queue, max_tiers> tiers_;
    std::array<double, max_tiers> floors_{};
    std::array<double, max_tiers> floor_credits_{}; ///< Freed slots owed.
    std::array<std::optional<time_point>, max_tiers> waiting_since_{};
    bool floor_served_last_ = false;
};

} // namespace medlarstall::scheduling

#endif
