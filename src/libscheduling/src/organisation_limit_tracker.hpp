#ifndef MEDLARSTALL_SCHEDULING_ORGANISATION_LIMIT_TRACKER_HPP
#define MEDLARSTALL_SCHEDULING_ORGANISATION_LIMIT_TRACKER_HPP

#include "organisation_table.hpp"

#include <medlarstall/support/time.hpp>

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace medlarstall::scheduling {

/// Tracks which organisations are at a limit, and when their rate limits allow
/// them to start a request again.
class organisation_limit_tracker
{
public:
    /// \param organisations limits and usage; must outlive the tracker
    explicit organisation_limit_tracker(organisation_table const& organisations)
        : organisations_{organisations}
    {}

    /// Checks the limits of an organisation again.
    /// \param organisation index of the organisation
    /// \param now current time
    /// \return true if it has reached a limit or is no longer at one
    bool refresh(organisation_index organisation, time_point now);

    /// \param organisation index of the organisation
    /// \return true if it was at a limit at the last check
    [[nodiscard]] bool is_blocked(organisation_index organisation) const;

    /// \return number of organisations, counted up to the largest index that
    /// was
    ///     checked
    [[nodiscard]] std::size_t size() const { return blocked_.size(); }

    /// \return earliest time at which a rate limit allows a request again;
    /// empty
    ///     if no organisation waits for one
    [[nodiscard]] std::optional<time_point> next_release() const;

    /// Removes an organisation whose rate limit allows a request again. Call
    /// refresh() for it.
    /// \param now current time
    /// \return its index; empty if there is none
    [[nodiscard]] std::optional<organisation_index> pop_due(time_point now);

private:
    void update_release_time(organisation_index organisation, time_point now);

    organisation_table const& organisations_;
    std::vector<bool> blocked_;
    std::vector<std::optional<time_point>> release_times_;
    std::set<std::pair<time_point, organisation_index>> release_order_;
};

} // namespace medlarstall::scheduling

#endif
