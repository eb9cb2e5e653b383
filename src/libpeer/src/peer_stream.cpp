#include <medlarstall/peer/peer_stream.hpp>

#include "connection_core.hpp"

#include <algorithm>
#include <cstring>

namespace medlarstall::peer {

namespace {

/// Sent bytes are dropped from the buffer once they are this many.
constexpr std::size_t compact_bytes = std::size_t{64} * 1024;

} // namespace

peer_stream::peer_stream(std::weak_ptr<connection_core> core, std::string path)
    : core_{std::move(core)}, path_{std::move(path)}
{}

void peer_stream::send(message const& content)
{
    if (!open_ || ended_here_) {
        return;
    }
    outgoing_ += encode(content);
    if (auto const core = core_.lock()) {
        core->data_ready(id_);
    }
}

void peer_stream::end()
{
    if (!open_ || ended_here_) {
        return;
    }
    ended_here_ = true;
    if (auto const core = core_.lock()) {
        core->data_ready(id_);
    }
}

void peer_stream::reset()
{
    if (!open_) {
        return;
    }
    on_message_ = nullptr;
    on_end_ = nullptr;
    on_sent_ = nullptr;
    if (auto const core = core_.lock()) {
        core->reset_stream(id_);
    }
}

void peer_stream::set_reading(bool reading)
{
    reading_ = reading;
    if (reading_) {
        deliver();
    }
}

void peer_stream::on_message(std::function<void(message)> handler)
{
    on_message_ = std::move(handler);
}

void peer_stream::on_end(std::function<void(stream_end)> handler)
{
    on_end_ = std::move(handler);
}

void peer_stream::on_sent(std::function<void()> handler)
{
    on_sent_ = std::move(handler);
}

void peer_stream::receive(std::string_view bytes)
{
    held_ += bytes;
    deliver();
}

void peer_stream::deliver()
{
    if (!reading_ || delivering_ || held_.empty()) {
        return;
    }
    delivering_ = true;
    auto const self = shared_from_this();
    auto const bytes = std::exchange(held_, {});
    auto const fed = decoder_.feed(bytes, [this](message content) {
        if (auto const handler = on_message_) {
            handler(std::move(content));
        }
    });
    delivering_ = false;
    auto const core = core_.lock();
    if (!core || !open_) {
        return;
    }
    if (failed(fed)) {
        core->reset_stream(id_);
        return;
    }
    core->consumed(id_, bytes.size());
}

void peer_stream::finished(stream_end how)
{
    if (!open_) {
        return;
    }
    open_ = false;
    on_message_ = nullptr;
    on_sent_ = nullptr;
    if (auto const handler = std::exchange(on_end_, nullptr)) {
        handler(how);
    }
}

std::size_t peer_stream::take(std::uint8_t* buffer, std::size_t size)
{
    auto const taken = std::min(size, pending_bytes());
    std::memcpy(buffer, outgoing_.data() + sent_, taken);
    sent_ += taken;
    if (sent_ == outgoing_.size()) {
        outgoing_.clear();
        sent_ = 0;
    } else if (sent_ >= compact_bytes) {
        outgoing_.erase(0, sent_);
        sent_ = 0;
    }
    if (taken > 0 && on_sent_) {
        on_sent_();
    }
    return taken;
}

} // namespace medlarstall::peer
