#include <medlarstall/membership/peer_link.hpp>

namespace medlarstall::membership {

heartbeat_kind peer_link::on_heartbeat(heartbeat const& message, time_point now)
{
    if (message.incarnation < incarnation) {
        return heartbeat_kind::outdated;
    }
    auto kind = heartbeat_kind::next;
    if (message.incarnation > incarnation) {
        kind = heartbeat_kind::restarted;
        incarnation = message.incarnation;
        received_sequence = 0;
        acknowledged_sequence = 0;
    }
    if (message.sequence <= received_sequence) {
        return heartbeat_kind::outdated;
    }
    received_sequence = message.sequence;
    last_received = now;
    ever_received = true;
    if (message.received_sequence > acknowledged_sequence) {
        acknowledged_sequence = message.received_sequence;
        last_acknowledged = now;
    }
    last_heartbeat = message;
    last_heartbeat.link_reports.clear();
    last_heartbeat.leaving_notices.clear();
    last_heartbeat.quarantine_notices.clear();
    return kind;
}

} // namespace medlarstall::membership
