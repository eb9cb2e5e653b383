#ifndef MEDLARSTALL_SCHEDULING_PREEMPTION_POLICY_HPP
#define MEDLARSTALL_SCHEDULING_PREEMPTION_POLICY_HPP

#include "request_record.hpp"

#include <span>

namespace medlarstall::scheduling {

/// Decides which running request makes room for a more important one.
class preemption_policy
{
public:
    /// \param most_preemptions how often a request may be preempted
    explicit preemption_policy(unsigned most_preemptions)
        : most_preemptions_{most_preemptions}
    {}

    /// \param record a request
    /// \return true if it could be preempted for a more important tier
    [[nodiscard]] bool displaceable(request_record const& record) const;

    /// Compares what two victims would waste: the least important tier
    /// first, then those that lose no tokens, then the fewest tokens to
    /// compute again.
    /// \param left a victim
    /// \param right another victim
    /// \return true if \p left is the better victim
    [[nodiscard]] static bool better(request_record const& left,
                                     request_record const& right);

    /// Chooses a victim.
    /// \param running requests that run
    /// \param tier tier to make room for; victims are less important
    /// \param fits says whether the slot of a victim would help
    /// \return the victim, or null if there is none
    template<class Fits>
    [[nodiscard]] request_record*
    choose(std::span<request_record* const> running, unsigned tier,
           Fits const& fits) const
    {
        request_record* best = nullptr;
        for (auto* const record : running) {
            if (record->value.tier <= tier || !displaceable(*record) ||
                !fits(*record)) {
                continue;
            }
            if (!best || better(*record, *best)) {
                best = record;
            }
        }
        return best;
    }

private:
    unsigned most_preemptions_;
};

} // namespace medlarstall::scheduling

#endif
