#include "control_links.hpp"

#include "node.hpp"

#include <medlarstall/peer/peer_stream.hpp>

namespace medlarstall::daemon {

namespace {

/// A stream with more than this not taken is behind.
constexpr std::size_t max_pending_bytes = std::size_t{1024} * 1024;

} // namespace

control_links::control_links(node& shared, message_handler on_message,
                             lost_handler on_lost)
    : node_{shared}, on_message_{std::move(on_message)},
      on_lost_{std::move(on_lost)}
{}

control_links::~control_links()
{
    alive_.reset();
}

std::size_t control_links::send(std::string const& daemon,
                                nlohmann::json const& message)
{
    auto& stream = streams_[daemon];
    if (!stream || !stream->open()) {
        auto const found = node_.known.listed_daemons.find(daemon);
        if (found == node_.known.listed_daemons.end()) {
            streams_.erase(daemon);
            return 0;
        }
        stream =
            node_.peers.open(found->second.address, found->second.peer_port,
                             std::string{control_path});
        stream->on_end(
            [this, daemon, alive = std::weak_ptr{alive_}](peer::stream_end) {
                if (!alive.expired()) {
                    on_lost_(daemon);
                }
            });
    }
    auto const before = stream->pending_bytes();
    if (before > max_pending_bytes) {
        return 0;
    }
    stream->send(message);
    return stream->pending_bytes() - before;
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
