#ifndef MEDLARSTALL_SCHEDULING_PREEMPTION_POLICY_HPP
#define MEDLARSTALL_SCHEDULING_PREEMPTION_POLICY_HPP

#include "request_record.hpp"

#include <cstdint>
#include <span>

namespace medlarstall::scheduling {

/// Decides which running request makes room for a more important one.
class preemption_policy
{
public:
    /// \param least_run_tokens tokens that a request makes between two
    ///     preemptions
    explicit preemption_policy(std::uint32_t least_run_tokens)
        : least_run_tokens_{least_run_tokens}
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
    /// \param long_too true if long requests of the same tier are victims too
    /// \param fits says whether the slot of a victim would help
    /// \return the victim, or null if there is none
    template<class Fits>
    [[nodiscard]] request_record*
    choose(std::span<request_record* const> running, unsigned tier,
           bool long_too, Fits const& fits) const
    {
        request_record* best = nullptr;
        for (auto* const record : running) {
            auto const less_important =
                record->value.tier > tier ||
                (long_too && record->value.tier == tier && record->is_long);
            if (!less_important || !displaceable(*record) || !fits(*record)) {
                continue;
            }
            if (!best || better(*record, *best)) {
                best = record;
            }
        }
        return best;
    }

private:
    std::uint32_t least_run_tokens_;
};

} // namespace medlarstall::scheduling

#endif
