#ifndef MEDLARSTALL_SCHEDULING_FAIR_QUEUE_HPP
#define MEDLARSTALL_SCHEDULING_FAIR_QUEUE_HPP

#include <medlarstall/scheduling/request.hpp>
#include <medlarstall/support/time.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <vector>

namespace medlarstall::scheduling {

struct request_record;

/// Stands for an organisation's name inside one owner.
using organisation_index = std::uint32_t;

/// Stands for the requests of a queue that the same backend servers can run.
using lane_index = std::uint32_t;

/// Orders the requests of one organisation: the least time left first, to
/// meet the first-token target or, once that is missed, the deadline.
struct queue_position
{
    bool late = false; ///< The first-token target is missed.
    time_point due;
    request_id id = 0;
    request_record* record = nullptr; ///< Not looked at by the queue.

    auto operator<=>(queue_position const& other) const
    {
        return std::tie(late, due, id) <=>
               std::tie(other.late, other.due, other.id);
    }
    bool operator==(queue_position const& other) const
    {
        return (*this <=> other) == 0;
    }
};

/// The lanes that a backend server can serve. Those of long requests come
/// last and are open to the more important tiers only. Plain data.
struct open_lanes
{
    std::span<lane_index const> lanes;
    std::size_t not_long = 0;
    unsigned long_below = 0; ///< First tier that may not start a long one.

    /// \param tier a tier
    /// \return the lanes from which a request of the tier may start
    [[nodiscard]] std::span<lane_index const> for_tier(unsigned tier) const
    {
        return tier < long_below ? lanes : lanes.first(not_long);
    }
};

/// A request as the fair queue holds it. Plain data.
struct queue_entry
{
    organisation_index organisation = 0;
    lane_index lane = 0;
    queue_position position;
    double tokens = 0;     ///< Estimate of the tokens still to generate.
    bool sheddable = true; ///< False once it has run.
};

/// Weighted fair queue over the organisations of one tier. The organisation
/// with the fewest served tokens for its weight comes first; within it the
/// order of queue_position. Requests that can still meet their target come
/// before late ones, but these get one turn in eight, and more for an
/// organisation that is behind the others. Every operation takes O(log n) for n
/// organisations; charging allocates nothing.
class fair_queue
{
public:
    /// A request at the front of a lane.
    struct candidate
    {
        organisation_index organisation = 0;
        lane_index lane = 0;
        queue_position position;
        double served = 0; ///< Served tokens for the weight.
    };

    /// \param most_lead_tokens most that an organisation with a weight of 1
    ///     can be ahead when it begins to wait
    explicit fair_queue(double most_lead_tokens);

    /// \param organisation whose weight to change
    /// \param weight above 0
    void set_weight(organisation_index organisation, double weight);

    /// Excludes an organisation from the front while it is at a limit.
    /// \param organisation whose requests to hold or release
    /// \param blocked true to hold
    void set_blocked(organisation_index organisation, bool blocked);

    /// \param entry request to add
    void push(queue_entry const& entry);

    /// \param entry request to take out, as it was pushed
    void erase(queue_entry const& entry);

    /// Counts tokens against an organisation.
    /// \param organisation who was served
    /// \param tokens amount; negative corrects an estimate
    void charge(organisation_index organisation, double tokens);

    /// Counts tokens that other owners served; bounded by the most lead.
    /// \param organisation who was served
    /// \param tokens amount
    void charge_remote(organisation_index organisation, double tokens);

    /// \param lanes lanes that a backend server can serve
    /// \return the request to serve next from them, if any
    [[nodiscard]] std::optional<candidate>
    front(std::span<lane_index const> lanes) const;

    /// Gives the first requests of an organisation in a lane.
    /// \param organisation whose requests
    /// \param lane lane to look at
    /// \param late true for the late ones
    /// \return positions in order, or null if there are none
    [[nodiscard]] std::set<queue_position> const*
    line(organisation_index organisation, lane_index lane, bool late) const;

    /// Notes that a request is served now; call before it is erased and
    /// charged.
    /// \param entry the request, as it was pushed
    void advance(queue_entry const& entry);

    /// \return the request to shed first: the last in the order of the
    ///     organisation furthest over its entitlement, if all that it has
    ///     queued were served
    [[nodiscard]] std::optional<request_id> most_over_entitlement() const;

    /// \return requests queued
    [[nodiscard]] std::size_t size() const { return size_; }

    /// \return requests queued that have not run
    [[nodiscard]] std::size_t sheddable() const { return sheddable_; }

    /// \param lane lane to look at
    /// \return true if a request in it could be served
    [[nodiscard]] bool ready(lane_index lane) const;

    /// \return true if any request could be served
    [[nodiscard]] bool ready() const;

    /// Counts requests that miss their target unless they start now.
    /// \param organisation whose request
    /// \param lane lane of the request
    /// \param change 1 to add one, -1 to take one away
    void count_urgent(organisation_index organisation, lane_index lane,
                      int change);

    /// \param lane lane to look at
    /// \return urgent requests in it whose organisations are not blocked
    [[nodiscard]] unsigned urgent(lane_index lane) const;

    /// \param organisation whose requests
    /// \return how many are queued
    [[nodiscard]] std::size_t size_of(organisation_index organisation) const;

    /// \param organisation whose part
    /// \return its part of the weight of all that wait, itself included
    [[nodiscard]] double part_of(organisation_index organisation) const;

private:
    /// Sorts organisations by tokens for their weight.
    struct rank
    {
        double tokens = 0;
        organisation_index organisation = 0;

        auto operator<=>(rank const&) const = default;
    };

    struct lane_line
    {
        lane_index lane = 0; ///< As line_index() gives it.
        unsigned urgent = 0;
        std::set<queue_position> positions;
    };

    struct account
    {
        double weight = 1;
        double served = 0;  ///< Tokens for the weight.
        double backlog = 0; ///< Tokens of the queued requests.
        double over = 0;    ///< Rank among the sheddable, if in there.
        bool blocked = false;
        std::size_t queued = 0;
        std::vector<lane_line> lines;
        std::set<queue_position> sheddable;
    };

    [[nodiscard]] std::optional<candidate>
    front(std::span<lane_index const> lanes, bool late) const;
    account& at(organisation_index organisation);
    void begin_waiting(account& member) const;
    void set_served(organisation_index organisation, account& member,
                    double served);
    void update_over(organisation_index organisation, account& member);
    static lane_index line_index(lane_index lane, bool late);
    static lane_line& line_of(account& member, lane_index line);
    std::set<rank>& ready_of(lane_index line);
    unsigned& urgent_of(lane_index lane);

    double most_lead_tokens_;
    double virtual_time_ = 0; ///< Served tokens of the last one served.
    double waiting_weight_ = 0;
    std::size_t size_ = 0;
    std::size_t sheddable_ = 0;
    std::vector<account> accounts_;
    unsigned turns_ = 0; ///< Requests served since a late one was.
    std::vector<std::set<rank>> ready_; ///< By line_index().
    std::vector<unsigned> urgent_;      ///< By lane, without the blocked.
    std::set<rank> over_;
};

} // namespace medlarstall::scheduling

#endif
