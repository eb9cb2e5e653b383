#ifndef MEDLARSTALL_SCHEDULING_ORGANISATION_GATE_HPP
#define MEDLARSTALL_SCHEDULING_ORGANISATION_GATE_HPP

#include "organisation_table.hpp"

#include <medlarstall/support/time.hpp>

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace medlarstall::scheduling {

/// Remembers which organisations are at a limit, and when a rate limit lets
/// each of them start a request again.
class organisation_gate
{
public:
    /// \param organisations limits and use; must outlive the gate
    explicit organisation_gate(organisation_table const& organisations)
        : organisations_{organisations}
    {}

    /// Looks at the limits of an organisation again.
    /// \param organisation index
    /// \param now current time
    /// \return true if it came to a limit or left it
    bool refresh(organisation_index organisation, time_point now);

    /// \param organisation index
    /// \return true if it is at a limit
    [[nodiscard]] bool blocked(organisation_index organisation) const;

    /// \return organisations that were looked at
    [[nodiscard]] std::size_t size() const { return blocked_.size(); }

    /// \return when the first rate limit ends, if any is reached
    [[nodiscard]] std::optional<time_point> next() const;

    /// Takes out an organisation whose rate limit ended; refresh it.
    /// \param now current time
    /// \return its index, or nothing
    [[nodiscard]] std::optional<organisation_index> take_due(time_point now);

private:
    void set_timer(organisation_index organisation, time_point now);

    organisation_table const& organisations_;
    std::vector<bool> blocked_;
    std::vector<std::optional<time_point>> timers_;
    std::set<std::pair<time_point, organisation_index>> order_;
};

} // namespace medlarstall::scheduling

#endif
