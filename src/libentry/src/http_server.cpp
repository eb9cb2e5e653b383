#include <medlarstall/entry/http_server.hpp>

#include "response_head.hpp"

#include <medlarstall/entry/exchange.hpp>
#include <medlarstall/http/http_listener.hpp>
#include <medlarstall/support/log.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::entry {

namespace {

/// How often connections are checked for timeouts.
constexpr std::chrono::milliseconds check_interval{100};

/// http_parser accepts no more for all fields and the request line.
constexpr std::size_t max_parsed_head_bytes = std::size_t{80} * 1024;

/// Code and text of an error that the server itself answers with.
struct refusal_text
{
    char const* code;
    std::string message;
};

refusal_text refusal_of(int status, http_server_settings const& settings)
{
    switch (status) {
    case 408:
        return {"request_timeout", "the request was not sent in time"};
    case 413:
        return {"body_too_large", "body is larger than " +
                                      std::to_string(settings.max_body_bytes) +
                                      " bytes"};
    case 431:
        return {"fields_too_large",
                "the header fields or the path exceed their limits"};
    case 503:
        return {"memory_scarce",
                "this daemon has no memory for the request now"};
    default:
        return {"malformed_request", "this is no HTTP/1.1 request"};
    }
}

/// \return the response to a request that was not read completely, and so was
///     not run
http::response make_refusal(int status, http_server_settings const& settings)
{
    constexpr int service_unavailable = 503;
    header_fields fields{{"Content-Type", "application/json"},
                         {"Medlarstall-Run", "not-run"}};
    if (status == service_unavailable) {
        fields.emplace_back("Retry-After", "1");
    }
    auto const text = refusal_of(status, settings);
    return {to_response_head(status, fields),
            std::string{R"({"error":{"code":")"} + text.code +
                R"(","message":")" + text.message + "\"}}\n"};
}

http::server_limits limits_of(http_server_settings const& settings)
{
    http::server_limits limits;
    limits.max_target_bytes = settings.max_target_bytes;
    limits.max_field_bytes = settings.max_field_bytes;
    limits.max_fields = settings.max_fields;
    limits.max_head_bytes =
        std::min(max_parsed_head_bytes,
                 2 * settings.max_field_bytes * settings.max_fields);
    limits.max_body_bytes = settings.max_body_bytes;
    limits.head_timeout = settings.request_read_timeout;
    limits.request_timeout = settings.request_read_timeout;
    limits.idle_timeout = settings.request_read_timeout;
    return limits;
}

void log_closure(http::limit_closure const& closure)
{
    log_line{severity::warning, "client_closed"}
        .with("reason", closure.reason)
        .with("holds", name_of(closure.holder.kind))
        .with("bytes", closure.holder.bytes)
        .with("without_progress", closure.holder.without_progress)
        .with("waited", closure.holder.waited)
        .with("held", closure.held)
        .with("limit", closure.limit);
}

} // namespace

struct http_server::implementation
{
    implementation(asio::io_context& io, http_server_settings settings,
                   request_handler on_request);

    http::server_events events();
    void handle_request(std::unique_ptr<http::exchange> call);
    void schedule_check();

    http_server_settings settings_;
    request_handler on_request_;
    /// Number of exchanges whose response is not complete. Shared with the
    /// exchanges, which may outlive the server.
    std::shared_ptr<std::size_t> open_exchange_count_ =
        std::make_shared<std::size_t>(0);
    /// Expires with the server, for handlers that may run after it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    asio::steady_timer check_timer_;
    http::http_listener listener_;
};

http_server::implementation::implementation(asio::io_context& io,
                                            http_server_settings settings,
                                            request_handler on_request)
    : settings_{std::move(settings)}, on_request_{std::move(on_request)},
      check_timer_{io}, listener_{io, events(), settings_.max_connections,
                                  std::make_shared<http::memory_account>(
                                      settings_.max_held_bytes)}
{
    listener_.set_limits(limits_of(settings_));
}

http::server_events http_server::implementation::events()
{
    return {.request = [this](auto call) { handle_request(std::move(call)); },
            .refused =
                [](int status) {
                    log_line{severity::info, "refused"}.with("status", status);
                },
            .closed_for_limit = log_closure,
            .refusal =
                [this](int status) {
                    return make_refusal(status, settings_);
                }};
}

void http_server::implementation::handle_request(
    std::unique_ptr<http::exchange> call)
{
    auto new_exchange =
        std::make_shared<exchange>(std::move(call), open_exchange_count_);
    new_exchange->watch_connection();
    on_request_(std::move(new_exchange));
}

void http_server::implementation::schedule_check()
{
    check_timer_.expires_after(check_interval);
    check_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](std::error_code cancelled) {
            if (!cancelled && !alive.expired()) {
                listener_.close_expired(monotonic_clock::now());
                schedule_check();
            }
        });
}

http_server::http_server(asio::io_context& io, http_server_settings settings,
                         request_handler on_request)
    : implementation_{std::make_unique<implementation>(io, std::move(settings),
                                                       std::move(on_request))}
{}

http_server::~http_server() = default;

result<std::uint16_t> http_server::listen()
{
    auto& self = *implementation_;
    std::error_code failure;
    auto const ip = asio::ip::make_address(self.settings_.address, failure);
    if (failure) {
        return error{"listen " + self.settings_.address, failure.message()};
    }
    if (auto const outcome = self.listener_.listen({ip, self.settings_.port});
        failed(outcome)) {
        return error_of(outcome);
    }
    self.schedule_check();
    return self.listener_.address().port();
}

void http_server::disable_keep_alive()
{
    implementation_->listener_.drain();
}

std::size_t http_server::open_exchange_count() const
{
    return *implementation_->open_exchange_count_;
}

bool http_server::idle() const
{
    return open_exchange_count() == 0 && !implementation_->listener_.busy();
}

} // namespace medlarstall::entry
