#include <medlarstall/entry/exchange.hpp>

#include "transport.hpp"

namespace medlarstall::entry {

exchange::exchange(http_request request, std::unique_ptr<transport> connection)
    : request_{std::move(request)}, transport_{std::move(connection)}
{}

void exchange::close()
{
    closed_ = true;
    transport_->ended();
}

exchange::~exchange()
{
    if (!started_ && !closed_) {
        transport_->abort();
    }
    if (!closed_) {
        close();
    }
}

void exchange::respond(http_response answer)
{
    if (started_ || closed_) {
        return;
    }
    started_ = true;
    close();
    on_caller_left_ = nullptr;
    transport_->send_whole(std::move(answer));
}

void exchange::start_stream(int status, header_fields fields)
{
    if (started_ || closed_) {
        return;
    }
    started_ = true;
    streaming_ = true;
    transport_->send_head(status, std::move(fields));
}

void exchange::write(std::string_view part)
{
    if (!streaming_ || closed_ || finishing_) {
        return;
    }
    waiting_ += part;
    flush();
}

void exchange::finish()
{
    if (!streaming_ || closed_ || finishing_) {
        return;
    }
    finishing_ = true;
    flush();
}

void exchange::abort()
{
    if (closed_) {
        return;
    }
    close();
    on_caller_left_ = nullptr;
    on_sent_ = nullptr;
    transport_->abort();
}

std::size_t exchange::pending_bytes() const
{
    return waiting_.size() + in_flight_;
}

void exchange::on_sent(std::function<void()> handler)
{
    on_sent_ = std::move(handler);
}

void exchange::on_caller_left(std::function<void()> handler)
{
    on_caller_left_ = std::move(handler);
}

void exchange::connection_closed()
{
    if (closed_) {
        return;
    }
    close();
    on_sent_ = nullptr;
    if (auto const handler = std::exchange(on_caller_left_, nullptr)) {
        handler();
    }
}

void exchange::flush()
{
    if (in_flight_ > 0) {
        return;
    }
    if (!waiting_.empty()) {
        auto part = std::exchange(waiting_, {});
        auto const bytes = part.size();
        in_flight_ = bytes;
        transport_->send_part(std::move(part),
                              [weak = weak_from_this(), bytes](bool succeeded) {
                                  if (auto const self = weak.lock()) {
                                      self->sent(succeeded, bytes);
                                  }
                              });
        return;
    }
    if (finishing_) {
        close();
        on_caller_left_ = nullptr;
        on_sent_ = nullptr;
        transport_->send_end();
    }
}

void exchange::sent(bool succeeded, std::size_t bytes)
{
    in_flight_ -= bytes;
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
