#ifndef MEDLARSTALL_DUTY_EXCLUSIVE_DUTY_HPP
#define MEDLARSTALL_DUTY_EXCLUSIVE_DUTY_HPP

#include <medlarstall/duty/duty_call.hpp>
#include <medlarstall/duty/stored_state.hpp>
#include <medlarstall/support/time.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::duty {

/// A duty of one daemon at a time. The holder of the lease stores the state of
/// each duty in the lease record; the next holder takes over exactly what was
/// stored. The revision of a state is a number of the duty's own, which
/// increases with each change that must be stored before it takes effect.
template<class Duty>
concept exclusive_duty =
    requires(Duty duty, Duty const& constant, stored_state const& stored,
             time_point now, duty_call const& call, call_outcome outcome,
             std::uint64_t revision) {
        /// \return state to be stored with the next renewal, in the duty's own
        ///     encoding
        { constant.state() } -> std::same_as<std::string>;
        /// \return revision of that state
        { constant.revision() } -> std::same_as<std::uint64_t>;
        /// This daemon has become the holder; the state is what the holder
        /// before has stored, or empty. An unreadable state counts as empty. A
        /// state that may have been lost in part tells only what was done at
        /// least: nothing may be done again that may have been done since.
        duty.on_taken(stored, now);
        /// This daemon is no longer the holder.
        duty.on_lost();
        /// The state up to a revision is stored.
        duty.on_stored(revision);
        /// \return calls to make now, each only once until its result is known
        { duty.due_calls(now) } -> std::same_as<std::vector<duty_call>>;
        /// A call returned by due_calls() has ended.
        duty.on_result(call, outcome, now);
    };

} // namespace medlarstall::duty

#endif
