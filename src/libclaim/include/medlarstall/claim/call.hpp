#ifndef MEDLARSTALL_CLAIM_CALL_HPP
#define MEDLARSTALL_CLAIM_CALL_HPP

#include <medlarstall/claim/record.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <string>

namespace medlarstall::claim {

/// Identifies a call at the daemon that received it. Unique for the lifetime
/// of that daemon's process.
using call_id = std::uint64_t;

/// A request of a caller to run something at most once. Plain data.
struct call
{
    call_id id = 0;
    std::string key; ///< Value of the Idempotency-Key field, not yet parsed.
    call_digest digest;
    time_point deadline; ///< Latest time to start a run or to be answered.
};

} // namespace medlarstall::claim

#endif
