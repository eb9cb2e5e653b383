#ifndef MEDLARSTALL_ROUTING_SUSPECT_GATE_HPP
#define MEDLARSTALL_ROUTING_SUSPECT_GATE_HPP

#include <medlarstall/routing/quarantine_record.hpp>
#include <medlarstall/scheduling/request.hpp>

#include <deque>
#include <map>
#include <optional>

namespace medlarstall::routing {

/// Serialises suspected requests with the same fingerprint: only one at a time
/// may proceed to the scheduler. Identical requests that callers send in the
/// meantime wait, since each of them might crash another backend server.
/// Routers send suspects with the same fingerprint to one owner, which owns
/// the gate. Performs no I/O.
class suspect_gate
{
public:
    /// Adds a suspected request.
    /// \param fingerprint fingerprint of the request
    /// \param id id of the request
    /// \return true if it may proceed; otherwise a later call of leave()
    ///     returns its id
    [[nodiscard]] bool enter(request_fingerprint fingerprint,
                             scheduling::request_id id);

    /// Removes a request that ended in any way, whether it was waiting or had
    /// proceeded.
    /// \param fingerprint fingerprint of the request
    /// \param id id of the request
    /// \return the request that may proceed next, or nothing; its level of
    ///     suspicion must be checked again first
    std::optional<scheduling::request_id> leave(request_fingerprint fingerprint,
                                                scheduling::request_id id);

private:
    /// The first request of each queue has proceeded, the others wait.
    std::map<request_fingerprint, std::deque<scheduling::request_id>>
        requests_by_fingerprint_;
};

} // namespace medlarstall::routing

#endif
