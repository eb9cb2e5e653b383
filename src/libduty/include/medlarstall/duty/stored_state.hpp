#ifndef MEDLARSTALL_DUTY_STORED_STATE_HPP
#define MEDLARSTALL_DUTY_STORED_STATE_HPP

#include <medlarstall/support/time.hpp>

#include <optional>
#include <string_view>

namespace medlarstall::duty {

/// The state of a duty that a new holder takes over.
struct stored_state
{
    /// As the holder before has stored it, in the duty's own encoding. Empty if
    /// no state was stored.
    std::string_view bytes;
    /// Set if the state may be an older one than was stored last, because the
    /// store was restored from a copy: holders may have stored other states,
    /// and acted by them, until this time at the latest.
    std::optional<time_point> lost_until;
};

} // namespace medlarstall::duty

#endif
