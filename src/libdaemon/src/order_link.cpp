#include "order_link.hpp"

#include "daemon_context.hpp"
#include "owner_service.hpp"

#include <medlarstall/peer/peer_stream.hpp>
#include <medlarstall/support/log.hpp>

#include <asio/post.hpp>

namespace medlarstall::daemon {

/// State that the callbacks share with the link. It outlives the link while
/// events are still queued.
struct order_link::link_state
{
    order_handlers handlers;
    std::shared_ptr<peer::peer_stream> stream;
    scheduling::request_id local_id = 0;
    bool open = true;
};

order_link::order_link(daemon_context& shared, std::string const& owner,
                       work_order const& order, order_handlers handlers)
    : node_{shared}, state_{std::make_shared<link_state>()}
{
    state_->handlers = std::move(handlers);
    if (owner == node_.settings.id) {
        submit_locally(order);
    } else {
        send_to_peer(owner, order);
    }
}

order_link::~order_link()
{
    if (!state_->open) {
        return;
    }
    state_->open = false;
    if (state_->stream) {
        state_->stream->reset();
    } else if (state_->local_id != 0 && node_.owner != nullptr) {
        node_.owner->cancel(state_->local_id);
    }
}

void order_link::deliver_event(std::shared_ptr<link_state> const& link,
                               work_event event)
{
    if (!link->open) {
        return;
    }
    link->open = !is_last(event);
    // The handler may destroy the link and with it the stored handler, so a
    // copy is called.
    auto const handler = link->handlers.on_event;
    handler(std::move(event));
}

void order_link::submit_locally(work_order const& order)
{
    auto const link = state_;
    event_sink sink;
    sink.send = [link, &io = node_.io](work_event event) {
        asio::post(io, [link, event = std::move(event)]() mutable {
            deliver_event(link, std::move(event));
        });
    };
    sink.pending_bytes = [link] {
        return link->open ? link->handlers.pending_bytes() : 0;
    };
    state_->local_id = node_.owner->submit(order, std::move(sink));
}

void order_link::send_to_peer(std::string const& owner, work_order const& order)
{
    auto const found = node_.known_fleet.daemons.find(owner);
    if (found == node_.known_fleet.daemons.end()) {
        asio::post(node_.io, [link = state_] {
            deliver_event(link,
                          work_refused{"owner_unknown",
                                       "the owner is not a known daemon",
                                       std::chrono::milliseconds{0}, true});
        });
        return;
    }
    auto const& peer = found->second;
    auto const stream = node_.peers.open_stream(peer.address, peer.peer_port,
                                                std::string{order_stream_path});
    state_->stream = stream;
    auto const link = state_;
    stream->on_message(
        [link, &shared = node_, owner](peer::message const& content) {
            auto event = parse_work_event(content);
            if (failed(event)) {
                ++shared.daemon_metrics.bad_peer_messages;
                log_line{severity::error, "bad_peer_message"}.with(
                    "message", error_of(event).message);
                return;
            }
            if (content.contains("summary")) {
                shared.apply_summary(owner, content["summary"]);
            }
            deliver_event(link, std::move(value_of(event)));
        });
    stream->on_closed(
        [link](peer::stream_outcome how) { on_stream_ended(*link, how); });
    stream->send(to_json(order, monotonic_clock::now()));
}

void order_link::on_stream_ended(link_state& link, peer::stream_outcome how)
{
    link.stream.reset();
    if (!link.open) {
        return;
    }
    link.open = false;
    if (how == peer::stream_outcome::refused) {
        auto const handler = link.handlers.on_event;
        handler(work_refused{"owner_unreachable",
                             "the owner did not accept the order",
                             std::chrono::milliseconds{0}, true});
        return;
    }
    auto const handler = link.handlers.on_link_lost;
    handler();
}

void order_link::set_reading(bool reading)
{
    if (state_->stream) {
        state_->stream->set_reading(reading);
    }
}

} // namespace medlarstall::daemon
