#include <medlarstall/membership/peer_link.hpp>

namespace medlarstall::membership {

heartbeat_kind peer_link::take(heartbeat const& message, time_point now)
{
    if (message.incarnation < incarnation) {
        return heartbeat_kind::outdated;
    }
    auto kind = heartbeat_kind::next;
    if (message.incarnation > incarnation) {
        kind = heartbeat_kind::restarted;
        incarnation = message.incarnation;
        heard_sequence = 0;
        echoed_sequence = 0;
    }
    if (message.sequence <= heard_sequence) {
        return heartbeat_kind::outdated;
    }
    heard_sequence = message.sequence;
    heard = now;
    was_heard = true;
    if (message.heard > echoed_sequence) {
        echoed_sequence = message.heard;
        echoed = now;
    }
    last = message;
    last.reports.clear();
    last.leaving.clear();
    last.quarantine.clear();
    return kind;
}

} // namespace medlarstall::membership
