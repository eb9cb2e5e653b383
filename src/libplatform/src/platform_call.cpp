#include "platform_call.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::platform {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t largest_answer = std::size_t{64} << 20U;
constexpr int too_many_requests = 429;
constexpr int first_server_error = 500;
constexpr int unavailable = 503;

} // namespace

/// A call between its first try and its end.
struct platform_caller::call
{
    call_request request;
    done on_done;
    jittered_backoff backoff;
    asio::steady_timer timer;
    std::size_t tries = 0;
    std::size_t address = 0;
    bool ambiguous = false;
};

platform_caller::platform_caller(asio::io_context& context,
                                 backend::http_client& http,
                                 http_platform_settings settings)
    : context_{context}, http_{http}, settings_{std::move(settings)},
      seeds_{settings_.seed}
{}

platform_caller::~platform_caller()
{
    for (auto const transfer : transfers_) {
        http_.cancel(transfer);
    }
}

void platform_caller::perform(call_request request, done on_done)
{
    start_try(
        std::make_shared<call>(call{.request = std::move(request),
                                    .on_done = std::move(on_done),
                                    .backoff = {settings_.backoff, seeds_()},
                                    .timer = asio::steady_timer{context_}}));
}

void platform_caller::start_try(call_ptr const& running)
{
    ++running->tries;
    running->address = preferred_;
    auto timeout = running->request.try_timeout;
    if (running->request.give_up) {
        auto const left = std::chrono::ceil<std::chrono::milliseconds>(
            *running->request.give_up - monotonic_clock::now());
        timeout = std::clamp(left, 1ms, timeout);
    }
    backend::outgoing_request request{
        .method = running->request.method,
        .url = "http://" + settings_.addresses[running->address] +
               running->request.path,
        .fields = running->request.fields,
        .body = running->request.body,
        .repeatable = true,
        .connect_timeout = std::min(settings_.connect_timeout, timeout),
        .receive_timeout = 0ms,
        .total_timeout = timeout};
    if (!request.body.empty()) {
        request.fields.emplace_back("Content-Type", "application/json");
    }
    auto const id = std::make_shared<backend::transfer_id>();
    *id = http_.fetch(
        std::move(request), largest_answer,
        [weak = weak_from_this(), running, id](backend::fetch_result outcome) {
            if (auto const self = weak.lock()) {
                std::erase(self->transfers_, *id);
                self->try_ended(running, std::move(outcome));
            }
        });
    transfers_.push_back(*id);
}

void platform_caller::try_ended(call_ptr const& running,
                                backend::fetch_result outcome)
{
    if (auto const* failure =
            std::get_if<backend::transfer_failure>(&outcome)) {
        running->ambiguous =
            running->ambiguous ||
            failure->stage != backend::transfer_stage::nothing_sent;
        if (preferred_ == running->address) {
            preferred_ = (preferred_ + 1) % settings_.addresses.size();
        }
        retry_or_fail(running, failure->message);
        return;
    }
    auto const& response = std::get<backend::fetched_response>(outcome);
    bool const again = response.status == too_many_requests ||
                       response.status >= first_server_error;
    if (again && running->request.give_up) {
        running->ambiguous =
            running->ambiguous || (response.status > unavailable ||
                                   (response.status < unavailable &&
                                    response.status != too_many_requests));
        retry_or_fail(running, "status " + std::to_string(response.status));
        return;
    }
    running->on_done({.response = &response,
                      .ambiguous = running->ambiguous,
                      .message = {}});
}

void platform_caller::retry_or_fail(call_ptr const& running,
                                    std::string message)
{
    auto const& give_up = running->request.give_up;
    if (!give_up && running->tries < settings_.addresses.size()) {
        start_try(running);
        return;
    }
    auto const delay = running->backoff.next();
    if (give_up && monotonic_clock::now() + delay < *give_up) {
        running->timer.expires_after(delay);
        running->timer.async_wait(
            [weak = weak_from_this(), running](asio::error_code failure) {
                auto const self = weak.lock();
                if (self && !failure) {
                    self->start_try(running);
                }
            });
        return;
    }
    running->on_done({.response = nullptr,
                      .ambiguous = running->ambiguous,
                      .message = std::move(message)});
}

} // namespace medlarstall::platform
