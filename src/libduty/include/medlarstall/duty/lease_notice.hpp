#ifndef MEDLARSTALL_DUTY_LEASE_NOTICE_HPP
#define MEDLARSTALL_DUTY_LEASE_NOTICE_HPP

#include <medlarstall/duty/duty_call.hpp>

#include <chrono>
#include <string>

namespace medlarstall::duty {

/// What a daemon tells its peers of the lease: as the holder, or as told by
/// others. It only spares the peers reads of the store.
struct lease_notice
{
    fencing_token token = 0;
    std::string holder; ///< Name of the daemon.
    /// Time since the last renewal that is known of.
    std::chrono::milliseconds age{0};
    bool released = false; ///< The holder has released the lease.

    bool operator==(lease_notice const&) const = default;
};

} // namespace medlarstall::duty

#endif
