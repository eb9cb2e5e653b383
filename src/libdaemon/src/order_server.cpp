#include "order_server.hpp"

#include "daemon_context.hpp"
#include "owner_service.hpp"
#include "summary_codec.hpp"

#include <medlarstall/peer/peer_stream.hpp>
#include <medlarstall/support/log.hpp>

namespace medlarstall::daemon {

namespace {

/// State of the order that was received on a stream.
struct received_order
{
    scheduling::request_id id = 0; ///< 0 until the order was submitted.
    std::string backend_server; ///< Preferred one, then the one that runs it.
};

void append_summary(owner_service const& owner,
                    std::string const& backend_server, peer::message& message)
{
    if (auto const summary = owner.summary_of(backend_server)) {
        message["summary"] = to_json(*summary);
    }
}

/// \return a sink that sends the events of an order over its stream
event_sink make_event_sink(std::shared_ptr<peer::peer_stream> const& stream,
                           owner_service const& owner,
                           std::shared_ptr<received_order> const& received)
{
    event_sink sink;
    sink.send = [stream, &owner, received](work_event const& event) {
        auto message = to_json(event);
        if (is_last(event)) {
            // The finished order has changed the load, so its last event
            // carries the new load summary.
            append_summary(owner, received->backend_server, message);
        } else if (auto const* dispatched =
                       std::get_if<work_dispatched>(&event)) {
            received->backend_server = dispatched->backend_server;
        }
        stream->send(message);
        if (is_last(event)) {
            stream->half_close();
        }
    };
    sink.pending_bytes = [weak = std::weak_ptr{stream}] {
        auto const live_stream = weak.lock();
        return live_stream && live_stream->is_open()
                   ? live_stream->pending_bytes()
                   : 0;
    };
    return sink;
}

} // namespace

void order_server::accept(std::shared_ptr<peer::peer_stream> const& stream)
{
    auto const received = std::make_shared<received_order>();
    stream->on_message([this, received, weak = std::weak_ptr{stream}](
                           peer::message const& content) {
        auto const live_stream = weak.lock();
        if (!live_stream || received->id != 0) {
            return;
        }
        auto order = parse_work_order(content, monotonic_clock::now());
        if (failed(order)) {
            ++node_.daemon_metrics.bad_peer_messages;
            log_line{severity::error, "bad_peer_message"}.with(
                "message", error_of(order).message);
            live_stream->reset();
            return;
        }
        received->backend_server =
            value_of(order).request.preferred_backend_server;
        received->id = node_.owner->submit(
            std::move(value_of(order)),
            make_event_sink(live_stream, *node_.owner, received));
    });
    stream->on_closed([this, received](peer::stream_outcome how) {
        if (how != peer::stream_outcome::complete && node_.owner != nullptr) {
            node_.owner->on_entry_lost(received->id);
        }
    });
}

} // namespace medlarstall::daemon
