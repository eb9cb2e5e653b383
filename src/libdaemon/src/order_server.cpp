#include "order_server.hpp"

#include "node.hpp"
#include "owner_service.hpp"

#include <medlarstall/peer/peer_stream.hpp>
#include <medlarstall/support/log.hpp>

namespace medlarstall::daemon {

namespace {

/// The sink of an order that came over a stream.
event_sink sink_to(std::shared_ptr<peer::peer_stream> const& stream)
{
    event_sink sink;
    sink.send = [stream](work_event const& event) {
        stream->send(to_json(event));
        if (is_last(event)) {
            stream->end();
        }
    };
    sink.pending_bytes = [weak = std::weak_ptr{stream}] {
        auto const open = weak.lock();
        return open && open->open() ? open->pending_bytes() : 0;
    };
    return sink;
}

} // namespace

void order_server::accept(std::shared_ptr<peer::peer_stream> const& stream)
{
    auto const id = std::make_shared<scheduling::request_id>(0);
    stream->on_message([this, id, weak = std::weak_ptr{stream}](
                           peer::message const& content) {
        auto const open = weak.lock();
        if (!open || *id != 0) {
            return;
        }
        auto order = parse_work_order(content, decision_clock::now());
        if (failed(order)) {
            ++node_.figures.bad_messages;
            log_line{severity::error, "bad_peer_message"}.with(
                "message", error_of(order).message);
            open->reset();
            return;
        }
        *id = node_.owner->submit(std::move(value_of(order)), sink_to(open));
    });
    stream->on_end([this, id](peer::stream_end how) {
        if (how != peer::stream_end::complete && node_.owner != nullptr) {
            node_.owner->abandon(*id);
        }
    });
}

} // namespace medlarstall::daemon
