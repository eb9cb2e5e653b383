#ifndef MEDLARSTALL_ROUTING_SUSPECT_GATE_HPP
#define MEDLARSTALL_ROUTING_SUSPECT_GATE_HPP

#include <medlarstall/routing/quarantine_record.hpp>
#include <medlarstall/scheduling/request.hpp>

#include <deque>
#include <map>
#include <optional>

namespace medlarstall::routing {

/// Lets one copy of a suspected request at a time go on to the scheduler.
/// Copies that callers send meanwhile wait, since each might crash a backend
/// server of its own. Routers send suspects with one fingerprint to one
/// owner, which owns the gate. Pure.
class suspect_gate
{
public:
    /// \param fingerprint fingerprint of a suspected request
    /// \param id its id
    /// \return true if it may go on; otherwise leave() names it later
    [[nodiscard]] bool enter(request_fingerprint fingerprint,
                             scheduling::request_id id);

    /// Notes that a copy ended, waiting or let through, however it ended.
    /// \param fingerprint its fingerprint
    /// \param id its id
    /// \return the copy that may go on now; judge it again first
    std::optional<scheduling::request_id> leave(request_fingerprint fingerprint,
                                                scheduling::request_id id);

private:
    /// The first has been let through, the others wait.
    std::map<request_fingerprint, std::deque<scheduling::request_id>> copies_;
};

} // namespace medlarstall::routing

#endif
