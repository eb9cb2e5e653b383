#include <medlarstall/entry/exchange.hpp>

#include "transport.hpp"

namespace medlarstall::entry {

exchange::exchange(http_request request, std::unique_ptr<transport> connection)
    : request_{std::move(request)}, transport_{std::move(connection)}
{}

void exchange::mark_closed()
{
    closed_ = true;
    transport_->on_ended();
}

exchange::~exchange()
{
    if (!response_started_ && !closed_) {
        transport_->abort();
    }
    if (!closed_) {
        mark_closed();
    }
}

void exchange::respond(http_response response)
{
    if (response_started_ || closed_) {
        return;
    }
    response_started_ = true;
    mark_closed();
    on_client_disconnected_ = nullptr;
    transport_->send_response(std::move(response));
}

void exchange::start_stream(int status, header_fields fields)
{
    if (response_started_ || closed_) {
        return;
    }
    response_started_ = true;
    streaming_ = true;
    transport_->send_header(status, std::move(fields));
}

void exchange::write(std::string_view chunk)
{
    if (!streaming_ || closed_ || finish_requested_) {
        return;
    }
    buffered_ += chunk;
    flush();
}

void exchange::finish()
{
    if (!streaming_ || closed_ || finish_requested_) {
        return;
    }
    finish_requested_ = true;
    flush();
}

void exchange::abort()
{
    if (closed_) {
        return;
    }
    mark_closed();
    on_client_disconnected_ = nullptr;
    on_sent_ = nullptr;
    transport_->abort();
}

std::size_t exchange::pending_bytes() const
{
    return buffered_.size() + in_flight_bytes_;
}

void exchange::on_sent(std::function<void()> handler)
{
    on_sent_ = std::move(handler);
}

void exchange::on_caller_disconnected(std::function<void()> handler)
{
    on_client_disconnected_ = std::move(handler);
}

void exchange::connection_closed()
{
    if (closed_) {
        return;
    }
    mark_closed();
    on_sent_ = nullptr;
    if (auto const handler = std::exchange(on_client_disconnected_, nullptr)) {
        handler();
    }
}

void exchange::flush()
{
    if (in_flight_bytes_ > 0) {
        return;
    }
    if (!buffered_.empty()) {
        auto chunk = std::exchange(buffered_, {});
        auto const bytes = chunk.size();
        in_flight_bytes_ = bytes;
        transport_->send_chunk(
            std::move(chunk), [weak = weak_from_this(), bytes](bool succeeded) {
                if (auto const self = weak.lock()) {
                    self->handle_sent(succeeded, bytes);
                }
            });
        return;
    }
    if (finish_requested_) {
        mark_closed();
        on_client_disconnected_ = nullptr;
        on_sent_ = nullptr;
        transport_->send_last_chunk();
    }
}

void exchange::handle_sent(bool succeeded, std::size_t bytes)
{
    in_flight_bytes_ -= bytes;
    if (closed_) {
        return;
    }
    if (!succeeded) {
        connection_closed();
        return;
    }
    flush();
    if (auto const handler = on_sent_) {
        handler();
    }
}

} // namespace medlarstall::entry
