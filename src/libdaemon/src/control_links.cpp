#include "control_links.hpp"

#include "daemon_context.hpp"

#include <medlarstall/peer/peer_stream.hpp>

namespace medlarstall::daemon {

namespace {

/// If a stream holds more unsent bytes than this, messages are dropped.
constexpr std::size_t max_pending_bytes = std::size_t{1024} * 1024;

} // namespace

control_links::control_links(daemon_context& context,
                             message_handler on_message,
                             disconnect_handler on_disconnect)
    : context_{context}, on_message_{std::move(on_message)},
      on_disconnect_{std::move(on_disconnect)}
{}

control_links::~control_links()
{
    alive_.reset();
}

std::size_t control_links::send(std::string const& daemon,
                                nlohmann::json const& message)
{
    auto& stream = streams_[daemon];
    if (!stream || !stream->is_open()) {
        auto const found = context_.known_fleet.listed_daemons.find(daemon);
        if (found == context_.known_fleet.listed_daemons.end()) {
            streams_.erase(daemon);
            return 0;
        }
        stream = context_.peers.open_stream(found->second.address,
                                            found->second.peer_port,
                                            std::string{control_path});
        stream->on_closed([this, daemon, alive = std::weak_ptr{alive_}](
                              peer::stream_outcome) {
            if (!alive.expired()) {
                on_disconnect_(daemon);
            }
        });
    }
    auto const pending_before = stream->pending_bytes();
    if (pending_before > max_pending_bytes) {
        return 0;
    }
    stream->send(message);
    return stream->pending_bytes() - pending_before;
}

void control_links::accept(std::shared_ptr<peer::peer_stream> const& stream)
{
    stream->on_message(
        [this, alive = std::weak_ptr{alive_}](peer::message const& content) {
            if (!alive.expired()) {
                on_message_(content);
            }
        });
}

} // namespace medlarstall::daemon
