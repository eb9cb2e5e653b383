#include "order_link.hpp"

#include "node.hpp"
#include "owner_service.hpp"

#include <medlarstall/peer/peer_stream.hpp>
#include <medlarstall/support/log.hpp>

#include <asio/post.hpp>

namespace medlarstall::daemon {

/// Outlives the link while events are on their way.
struct order_link::state
{
    order_handlers handlers;
    std::shared_ptr<peer::peer_stream> stream;
    scheduling::request_id local_id = 0;
    bool open = true;
};

order_link::order_link(node& shared, std::string const& owner,
                       work_order const& order, order_handlers handlers)
    : node_{shared}, state_{std::make_shared<state>()}
{
    state_->handlers = std::move(handlers);
    if (owner == node_.settings.id) {
        submit_here(order);
    } else {
        send_to(owner, order);
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

void order_link::deliver(std::shared_ptr<state> const& link, work_event event)
{
    if (!link->open) {
        return;
    }
    link->open = !is_last(event);
    // The handler may destroy the link, so it is run from a copy.
    auto const handler = link->handlers.on_event;
    handler(std::move(event));
}

void order_link::submit_here(work_order const& order)
{
    auto const link = state_;
    event_sink sink;
    sink.send = [link, &io = node_.io](work_event event) {
        asio::post(io, [link, event = std::move(event)]() mutable {
            deliver(link, std::move(event));
        });
    };
    sink.pending_bytes = [link] {
        return link->open ? link->handlers.pending_bytes() : 0;
    };
    state_->local_id = node_.owner->submit(order, std::move(sink));
}

void order_link::send_to(std::string const& owner, work_order const& order)
{
    auto const found = node_.known.daemons.find(owner);
    if (found == node_.known.daemons.end()) {
        asio::post(node_.io, [link = state_] {
            deliver(link, work_refused{"owner_unknown",
                                       "the owner is not in the list",
                                       std::chrono::milliseconds{0}, true});
        });
        return;
    }
    auto const& peer = found->second;
    auto const stream =
        node_.peers.open(peer.address, peer.peer_port, std::string{order_path});
    state_->stream = stream;
    auto const link = state_;
    stream->on_message(
        [link, &shared = node_, owner](peer::message const& content) {
            auto event = parse_work_event(content);
            if (failed(event)) {
                ++shared.figures.bad_messages;
                log_line{severity::error, "bad_peer_message"}.with(
                    "message", error_of(event).message);
                return;
            }
            if (content.contains("summary")) {
                shared.take_summary(owner, content["summary"]);
            }
            deliver(link, std::move(value_of(event)));
        });
    stream->on_end([link](peer::stream_end how) { stream_ended(*link, how); });
    stream->send(to_json(order, decision_clock::now()));
}

void order_link::stream_ended(state& link, peer::stream_end how)
{
    link.stream.reset();
    if (!link.open) {
        return;
    }
    link.open = false;
    if (how == peer::stream_end::refused) {
        auto const handler = link.handlers.on_event;
        handler(work_refused{"owner_unreachable",
                             "the owner did not take the order",
                             std::chrono::milliseconds{0}, true});
        return;
    }
    auto const handler = link.handlers.on_lost;
    handler();
}

void order_link::set_reading(bool reading)
{
    if (state_->stream) {
        state_->stream->set_reading(reading);
    }
}

} // namespace medlarstall::daemon
