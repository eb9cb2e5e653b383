#ifndef MEDLARSTALL_SCHEDULING_PREEMPTION_POLICY_HPP
#define MEDLARSTALL_SCHEDULING_PREEMPTION_POLICY_HPP

#include "request_record.hpp"

#include <cstdint>
#include <span>

namespace medlarstall::scheduling {

/// Decides which running request is preempted for a more important one.
class preemption_policy
{
public:
    /// \param min_tokens_between_preemptions tokens that a request generates
    ///     before it may be preempted again
    explicit preemption_policy(std::uint32_t min_tokens_between_preemptions)
        : min_tokens_between_preemptions_{min_tokens_between_preemptions}
    {}

    /// \param record request that may hold a slot
    /// \return true if it may be preempted for a more important tier
    [[nodiscard]] bool preemptible(request_record const& record) const;

    /// Compares two victims. The better one has the less important tier; within
    /// a tier it is resumable, so that no tokens are lost, and then has the
    /// fewest tokens to compute again.
    /// \param left first victim
    /// \param right second victim
    /// \return true if preempting \p left wastes less work
    [[nodiscard]] static bool wastes_less(request_record const& left,
                                          request_record const& right);

    /// Chooses the request to preempt.
    /// \param running requests that hold a slot
    /// \param tier tier of the request that needs a slot; victims are less
    ///     important
    /// \param include_long true if long requests of the same tier may be
    ///     victims too
    /// \param fits predicate that is true if the request that needs a slot
    ///     could use the slot of the given one
    /// \return the victim, or null if there is none
    template<class Fits>
    [[nodiscard]] request_record*
    choose_victim(std::span<request_record* const> running, unsigned tier,
                  bool include_long, Fits const& fits) const
    {
        request_record* best = nullptr;
        for (auto* const record : running) {
            auto const less_important =
                record->value.tier > tier ||
                (include_long && record->value.tier == tier && record->is_long);
            if (!less_important || !preemptible(*record) || !fits(*record)) {
                continue;
            }
            if (!best || wastes_less(*record, *best)) {
                best = record;
            }
        }
        return best;
    }

private:
    std::uint32_t min_tokens_between_preemptions_;
};

} // namespace medlarstall::scheduling

#endif
