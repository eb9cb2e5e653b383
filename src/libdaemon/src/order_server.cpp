#include "order_server.hpp"

#include "node.hpp"
#include "owner_service.hpp"
#include "summary_codec.hpp"

#include <medlarstall/peer/peer_stream.hpp>
#include <medlarstall/support/log.hpp>

namespace medlarstall::daemon {

namespace {

/// What is known of an order on its stream.
struct order_state
{
    scheduling::request_id id = 0;
    std::string server; ///< Preferred, then the one that runs it.
};

void add_summary(owner_service const& owner, std::string const& server,
                 peer::message& message)
{
    if (auto const summary = owner.summary_of(server)) {
        message["summary"] = to_json(*summary);
    }
}

/// The sink of an order that came over a stream.
event_sink sink_to(std::shared_ptr<peer::peer_stream> const& stream,
                   owner_service const& owner,
                   std::shared_ptr<order_state> const& asked)
{
    event_sink sink;
    sink.send = [stream, &owner, asked](work_event const& event) {
        auto message = to_json(event);
        if (is_last(event)) {
            // News of the load travels with the answers that cause it.
            add_summary(owner, asked->server, message);
        } else if (auto const* sent = std::get_if<work_dispatched>(&event)) {
            asked->server = sent->backend_server;
        }
        stream->send(message);
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
    auto const asked = std::make_shared<order_state>();
    stream->on_message([this, asked, weak = std::weak_ptr{stream}](
                           peer::message const& content) {
        auto const open = weak.lock();
        if (!open || asked->id != 0) {
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
        asked->server = value_of(order).request.preferred_backend_server;
        asked->id = node_.owner->submit(std::move(value_of(order)),
                                        sink_to(open, *node_.owner, asked));
    });
    stream->on_end([this, asked](peer::stream_end how) {
        if (how != peer::stream_end::complete && node_.owner != nullptr) {
            node_.owner->abandon(asked->id);
        }
    });
}

} // namespace medlarstall::daemon
