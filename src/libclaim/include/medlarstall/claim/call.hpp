#ifndef MEDLARSTALL_CLAIM_CALL_HPP
#define MEDLARSTALL_CLAIM_CALL_HPP

#include <medlarstall/claim/record.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <string>

namespace medlarstall::claim {

/// Identifies a call at the daemon that took it; unique while that lives.
using call_id = std::uint64_t;

/// A caller's request to run something at most once. Plain data.
struct call
{
    call_id id = 0;
    std::string key; ///< Value of Idempotency-Key.
    body_digest digest;
    time_point deadline; ///< Latest time to start a run or to be answered.
};

} // namespace medlarstall::claim

#endif
