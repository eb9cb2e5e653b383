#include <medlarstall/gateway/early_request_queue.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace medlarstall::gateway {

namespace {

constexpr std::size_t max_queued_requests = 512;
constexpr std::size_t max_queued_body_bytes = 16777216;
/// A request waits for at most its time left divided by this.
constexpr int wait_divisor = 3;
constexpr std::chrono::milliseconds max_wait_time{2000};

bool is_connected(early_request const& item)
{
    return !item.caller->caller_disconnected();
}

} // namespace

duration early_request_queue::max_wait(duration left)
{
    return std::min<duration>(left / wait_divisor, max_wait_time);
}

bool early_request_queue::add(early_request& arrived)
{
    auto const bytes = body_bytes_ + arrived.caller->body().size();
    if (queued_.size() >= max_queued_requests ||
        bytes > max_queued_body_bytes) {
        return false;
    }
    body_bytes_ = bytes;
    queued_.push_back(std::move(arrived));
    return true;
}

std::vector<early_request> early_request_queue::take_expired(time_point now)
{
    auto const rest = std::ranges::stable_partition(
        queued_,
        [now](early_request const& item) { return now < item.expires_at; });
    std::vector<early_request> expired;
    std::ranges::move(rest, std::back_inserter(expired));
    queued_.erase(rest.begin(), queued_.end());
    for (auto const& item : expired) {
        body_bytes_ -= item.caller->body().size();
    }
    return expired;
}

std::vector<early_request> early_request_queue::take_all()
{
    body_bytes_ = 0;
    auto all = std::exchange(queued_, {});
    auto const left = std::ranges::stable_partition(all, is_connected);
    all.erase(left.begin(), left.end());
    return all;
}

} // namespace medlarstall::gateway
