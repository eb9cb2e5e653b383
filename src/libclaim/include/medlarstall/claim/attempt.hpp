#ifndef MEDLARSTALL_CLAIM_ATTEMPT_HPP
#define MEDLARSTALL_CLAIM_ATTEMPT_HPP

#include <medlarstall/claim/record.hpp>

#include <cstdint>

namespace medlarstall::claim {

/// State of an attempt of this daemon. A record takes effect only when it has
/// been read back from the log, hence the states that wait for that.
enum class attempt_state : std::uint8_t
{
    claiming,   ///< The claim has not been read back yet.
    abandoned,  ///< As claiming, but the claim is released if it wins.
    granted,    ///< The claim won; the attempt may be dispatched now.
    dispatched, ///< The attempt may have reached a backend server.
    releasing,  ///< The release has not been read back yet.
    finishing   ///< The outcome has not been read back yet.
};

/// An attempt of this daemon to run the call of a key. Plain data.
struct attempt
{
    uuid key;
    call_digest digest;
    attempt_state state = attempt_state::claiming;
    shared_outcome result; ///< Set only in the state finishing.
};

} // namespace medlarstall::claim

#endif
