#ifndef MEDLARSTALL_CLAIM_ATTEMPT_HPP
#define MEDLARSTALL_CLAIM_ATTEMPT_HPP

#include <medlarstall/claim/record.hpp>

#include <cstdint>

namespace medlarstall::claim {

/// Where an attempt of this daemon stands.
enum class attempt_state : std::uint8_t
{
    claiming,   ///< Its claim was not read back yet.
    abandoned,  ///< As claiming, but it is released if it wins.
    offered,    ///< It won and may be dispatched now.
    dispatched, ///< It may have reached a backend server.
    releasing,  ///< Its release was not read back yet.
    finishing   ///< Its outcome was not read back yet.
};

/// An attempt of this daemon to run a key. Plain data.
struct attempt
{
    uuid key;
    body_digest digest;
    attempt_state state = attempt_state::claiming;
    shared_outcome result; ///< Set if finishing.
};

} // namespace medlarstall::claim

#endif
