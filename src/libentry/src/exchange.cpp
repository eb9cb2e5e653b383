#include <medlarstall/entry/exchange.hpp>

#include "response_head.hpp"

#include <medlarstall/http/exchange.hpp>

#include <utility>

namespace medlarstall::entry {

namespace {

http_request to_request(http::exchange& call)
{
    auto& head = call.head();
    http_request request;
    request.method = std::move(head.method);
    request.path = std::string{http::path_of(head.target)};
    if (request.path.size() < head.target.size()) {
        request.query = head.target.substr(request.path.size() + 1);
    }
    for (auto const& field : head.headers.entries()) {
        request.fields.emplace_back(field.name, field.value);
    }
    head = {};
    request.shared_body = call.shared_body();
    request.remote_address = call.caller_address();
    return request;
}

} // namespace

exchange::exchange(std::unique_ptr<http::exchange> call,
                   std::shared_ptr<std::size_t> open_count)
    : call_{std::move(call)}, open_count_{std::move(open_count)},
      request_{to_request(*call_)}
{
    ++*open_count_;
    // Those who run the request keep a second copy of its body.
    call_->set_held_bytes(request_.body().size());
}

exchange::~exchange()
{
    if (!closed_) {
        mark_closed();
    }
}

void exchange::watch_connection()
{
    call_->on_caller_disconnected([weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->connection_closed();
        }
    });
    call_->on_sent([weak = weak_from_this()] {
        auto const self = weak.lock();
        if (self && !self->closed_ && self->on_sent_) {
            auto const handler = self->on_sent_;
            handler();
        }
    });
}

void exchange::mark_closed()
{
    closed_ = true;
    --*open_count_;
    on_client_disconnected_ = nullptr;
    on_sent_ = nullptr;
}

void exchange::respond(http_response response)
{
    auto const self = shared_from_this(); // A handler may own this.
    if (response_started_ || closed_) {
        return;
    }
    response_started_ = true;
    mark_closed();
    call_->respond({to_response_head(response.status, response.fields),
                    std::move(response.body)});
}

void exchange::start_stream(int status, header_fields const& fields)
{
    if (response_started_ || closed_) {
        return;
    }
    response_started_ = true;
    streaming_ = true;
    call_->start_response(to_response_head(status, fields));
}

void exchange::write(std::string_view chunk)
{
    if (streaming_ && !closed_) {
        call_->write(chunk);
    }
}

void exchange::finish()
{
    auto const self = shared_from_this(); // A handler may own this.
    if (streaming_ && !closed_) {
        mark_closed();
        call_->finish();
    }
}

void exchange::abort()
{
    auto const self = shared_from_this(); // A handler may own this.
    if (!closed_) {
        mark_closed();
        call_->abort();
    }
}

std::size_t exchange::pending_bytes() const
{
    return closed_ ? 0 : call_->unsent_bytes();
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
    auto const handler = std::exchange(on_client_disconnected_, nullptr);
    mark_closed();
    if (handler) {
        handler();
    }
}

} // namespace medlarstall::entry
