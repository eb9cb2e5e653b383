#include <medlarstall/peer/peer_stream.hpp>

#include "http2_connection.hpp"

#include <algorithm>
#include <cstring>

namespace medlarstall::peer {

namespace {

/// Bytes that were sent are removed from the buffer once they reach this size.
constexpr std::size_t compaction_threshold_bytes = std::size_t{64} * 1024;

} // namespace

peer_stream::peer_stream(std::weak_ptr<http2_connection> connection,
                         std::string path)
    : connection_{std::move(connection)}, path_{std::move(path)}
{}

void peer_stream::send(message const& content)
{
    if (!open_ || sending_finished_) {
        return;
    }
    outgoing_ += encode(content);
    if (auto const connection = connection_.lock()) {
        connection->resume_sending(id_);
    }
}

void peer_stream::half_close()
{
    if (!open_ || sending_finished_) {
        return;
    }
    sending_finished_ = true;
    if (auto const connection = connection_.lock()) {
        connection->resume_sending(id_);
    }
}

void peer_stream::reset()
{
    if (!open_) {
        return;
    }
    on_message_ = nullptr;
    on_closed_ = nullptr;
    on_sent_ = nullptr;
    if (auto const connection = connection_.lock()) {
        connection->reset_stream(id_);
    }
}

void peer_stream::set_reading(bool reading)
{
    reading_ = reading;
    if (reading_) {
        deliver_messages();
    }
}

void peer_stream::on_message(std::function<void(message)> handler)
{
    on_message_ = std::move(handler);
}

void peer_stream::on_closed(std::function<void(stream_outcome)> handler)
{
    on_closed_ = std::move(handler);
}

void peer_stream::on_sent(std::function<void()> handler)
{
    on_sent_ = std::move(handler);
}

void peer_stream::receive(std::string_view bytes)
{
    undelivered_ += bytes;
    deliver_messages();
}

void peer_stream::deliver_messages()
{
    if (!reading_ || delivering_ || undelivered_.empty()) {
        return;
    }
    delivering_ = true;
    auto const self = shared_from_this();
    auto const bytes = std::exchange(undelivered_, {});
    auto const decoded = decoder_.feed(bytes, [this](message content) {
        if (auto const handler = on_message_) {
            handler(std::move(content));
        }
    });
    delivering_ = false;
    auto const connection = connection_.lock();
    if (!connection || !open_) {
        return;
    }
    if (failed(decoded)) {
        connection->reset_stream(id_);
        return;
    }
    connection->acknowledge_consumed(id_, bytes.size());
}

void peer_stream::close(stream_outcome outcome)
{
    if (!open_) {
        return;
    }
    open_ = false;
    on_message_ = nullptr;
    on_sent_ = nullptr;
    if (auto const handler = std::exchange(on_closed_, nullptr)) {
        handler(outcome);
    }
}

std::size_t peer_stream::read_outgoing(std::uint8_t* buffer, std::size_t size)
{
    auto const size_read = std::min(size, pending_bytes());
    std::memcpy(buffer, outgoing_.data() + sent_bytes_, size_read);
    sent_bytes_ += size_read;
    if (sent_bytes_ == outgoing_.size()) {
        outgoing_.clear();
        sent_bytes_ = 0;
    } else if (sent_bytes_ >= compaction_threshold_bytes) {
        outgoing_.erase(0, sent_bytes_);
        sent_bytes_ = 0;
    }
    if (size_read > 0 && on_sent_) {
        on_sent_();
    }
    return size_read;
}

} // namespace medlarstall::peer
