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

/// Index of an organisation inside one owner.
using organisation_index = std::uint32_t;

/// Index of a lane. All requests in a lane can run on the same backend
/// servers.
using lane_index = std::uint32_t;

/// Sort key of a request among those of its organisation: earliest due first.
/// A request is due at the latest start that meets its first-token target or,
/// once that is missed, at its deadline.
struct queue_position
{
    bool late = false; ///< The first-token target is missed.
    time_point due;
    request_id id = 0;
    request_record* record = nullptr; ///< Not used by the queue.

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

/// The lanes that a backend server can serve. Lanes of long requests come last
/// and may be open to the more important tiers only. Plain data.
struct eligible_lanes
{
    std::span<lane_index const> lanes;
    std::size_t not_long_count = 0; ///< Lanes before those of long requests.
    /// First tier that may not start a long request.
    unsigned long_allowed_below = 0;

    /// \param tier tier of the requests to start
    /// \return the lanes from which a request of the tier may start
    [[nodiscard]] std::span<lane_index const> for_tier(unsigned tier) const
    {
        return tier < long_allowed_below ? lanes : lanes.first(not_long_count);
    }
};

/// A request as the fair queue stores it. Plain data.
struct queue_entry
{
    organisation_index organisation = 0;
    lane_index lane = 0;
    queue_position position;
    double expected_tokens = 0; ///< Estimate of the tokens still to generate.
    bool sheddable = true;      ///< False once the request has run.
};

/// Weighted fair queue over the organisations of one tier. The organisation
/// with the fewest served tokens relative to its weight comes first; its own
/// requests are ordered by queue_position. Requests that can still meet their
/// target come before late ones, but one request in eight is a late one, and
/// more for an organisation that is behind the others. Every operation takes
/// O(log n) for n organisations; charging allocates no memory.
class fair_queue
{
public:
    /// A request at the front of a lane.
    struct candidate
    {
        organisation_index organisation = 0;
        lane_index lane = 0;
        queue_position position;
        /// Served tokens of the organisation divided by its weight.
        double normalised_service = 0;
    };

    /// \param max_lead_tokens tokens by which an organisation with a weight of
    ///     1 can be ahead of the others when its first request is queued
    explicit fair_queue(double max_lead_tokens);

    /// \param organisation organisation whose weight changes
    /// \param weight relative entitlement, above 0
    void set_weight(organisation_index organisation, double weight);

    /// Skips the requests of an organisation while it is at a limit.
    /// \param organisation organisation to block or unblock
    /// \param blocked true to block it
    void set_blocked(organisation_index organisation, bool blocked);

    /// \param entry request to add
    void push(queue_entry const& entry);

    /// \param entry request to remove, equal to what was pushed
    void erase(queue_entry const& entry);

    /// Adds served tokens to the account of an organisation.
    /// \param organisation organisation that was served
    /// \param tokens number of tokens; negative to correct an estimate
    void charge(organisation_index organisation, double tokens);

    /// Adds tokens that other owners served. They never put the organisation
    /// further ahead than the maximum lead.
    /// \param organisation organisation that was served
    /// \param tokens number of tokens
    void charge_remote(organisation_index organisation, double tokens);

    /// \param lanes lanes that a backend server can serve
    /// \return the request to serve next from them; empty if there is none
    [[nodiscard]] std::optional<candidate>
    front(std::span<lane_index const> lanes) const;

    /// Returns the queued requests of an organisation in a lane.
    /// \param organisation organisation of the requests
    /// \param lane lane of the requests
    /// \param late true for those that missed their first-token target
    /// \return their positions in order, or null if there are none
    [[nodiscard]] std::set<queue_position> const*
    queued_positions(organisation_index organisation, lane_index lane,
                     bool late) const;

    /// Advances the virtual time for a request that is served now. Call it
    /// before the request is erased and charged.
    /// \param entry the request, equal to what was pushed
    void begin_service(queue_entry const& entry);

    /// Chooses the request to shed first. It is the last sheddable request of
    /// the organisation that would exceed its entitlement most if all its
    /// queued requests were served.
    /// \return the request; empty if none is sheddable
    [[nodiscard]] std::optional<request_id> shed_candidate() const;

    /// \return number of queued requests
    [[nodiscard]] std::size_t size() const { return size_; }

    /// \return number of queued requests that have not run
    [[nodiscard]] std::size_t sheddable() const { return sheddable_; }

    /// \param lane lane to check
    /// \return true if it holds a request whose organisation is not blocked
    [[nodiscard]] bool has_ready(lane_index lane) const;

    /// \return true if any lane holds a request whose organisation is not
    ///     blocked
    [[nodiscard]] bool has_ready() const;

    /// Changes the count of urgent requests, which miss their target unless
    /// they start now.
    /// \param organisation organisation of the request
    /// \param lane lane of the request
    /// \param change 1 to add a request, -1 to remove one
    void adjust_urgent(organisation_index organisation, lane_index lane,
                       int change);

    /// \param lane lane to check
    /// \return number of its urgent requests whose organisations are not
    ///     blocked
    [[nodiscard]] unsigned urgent_count(lane_index lane) const;

    /// \param organisation organisation of the requests
    /// \return number of its queued requests
    [[nodiscard]] std::size_t queued_of(organisation_index organisation) const;

    /// \param organisation organisation to compare with those that wait
    /// \return its weight divided by the total weight of all organisations
    ///     with queued requests, itself included
    [[nodiscard]] double weight_fraction(organisation_index organisation) const;

private:
    /// Orders organisations by service relative to their weight.
    struct rank
    {
        double service = 0;
        organisation_index organisation = 0;

        auto operator<=>(rank const&) const = default;
    };

    /// Requests of one organisation in one lane, either late or not.
    struct sub_queue
    {
        lane_index index = 0; ///< As sub_queue_index() returns it.
        unsigned urgent = 0;
        std::set<queue_position> positions;
    };

    struct organisation_state
    {
        double weight = 1;
        double normalised_service = 0; ///< Served tokens divided by weight.
        double backlog = 0;            ///< Tokens of the queued requests.
        /// Normalised service if the backlog were served as well. Only kept
        /// while the organisation has sheddable requests.
        double projected_service = 0;
        bool blocked = false;
        std::size_t queued = 0;
        std::vector<sub_queue> sub_queues;
        std::set<queue_position> sheddable;
    };

    [[nodiscard]] std::optional<candidate>
    front(std::span<lane_index const> lanes, bool late) const;
    organisation_state& state_of(organisation_index organisation);
    void clamp_service(organisation_state& state) const;
    void set_normalised_service(organisation_index organisation,
                                organisation_state& state, double service);
    void update_projected_service(organisation_index organisation,
                                  organisation_state& state);
    static lane_index sub_queue_index(lane_index lane, bool late);
    static sub_queue& sub_queue_of(organisation_state& state, lane_index index);
    std::set<rank>& ready_of(lane_index index);
    unsigned& urgent_of(lane_index lane);

    double max_lead_tokens_;
    /// Normalised service of the organisation that was served last.
    double virtual_time_ = 0;
    double backlogged_weight_ = 0; ///< Of organisations with requests.
    std::size_t size_ = 0;
    std::size_t sheddable_ = 0;
    std::vector<organisation_state> organisations_;
    /// Requests served since the last late one.
    unsigned served_since_late_ = 0;
    /// Organisations that are not blocked, by sub_queue_index().
    std::vector<std::set<rank>> ready_organisations_;
    /// Urgent requests by lane, without those of blocked organisations.
    std::vector<unsigned> urgent_by_lane_;
    std::set<rank> by_projected_service_; ///< With sheddable requests.
};

} // namespace medlarstall::scheduling

#endif
