#include <medlarstall/gateway/early_callers.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace medlarstall::gateway {

namespace {

constexpr std::size_t most_waiting = 512;
constexpr std::size_t most_body_bytes = 16777216;
/// Part of its time for which a caller waits.
constexpr int waiting_part = 3;
constexpr std::chrono::milliseconds longest_wait{2000};

bool is_there(early_caller const& item)
{
    return !item.caller->caller_left();
}

} // namespace

duration early_callers::patience(duration left)
{
    return std::min<duration>(left / waiting_part, longest_wait);
}

bool early_callers::add(early_caller& arrived)
{
    auto const bytes = body_bytes_ + arrived.caller->body().size();
    if (waiting_.size() >= most_waiting || bytes > most_body_bytes) {
        return false;
    }
    body_bytes_ = bytes;
    waiting_.push_back(std::move(arrived));
    return true;
}

std::vector<early_caller> early_callers::take_expired(time_point now)
{
    auto const rest = std::ranges::stable_partition(
        waiting_, [now](early_caller const& item) { return now < item.until; });
    std::vector<early_caller> expired;
    std::ranges::move(rest, std::back_inserter(expired));
    waiting_.erase(rest.begin(), waiting_.end());
    for (auto const& item : expired) {
        body_bytes_ -= item.caller->body().size();
    }
    return expired;
}

std::vector<early_caller> early_callers::take_all()
{
    body_bytes_ = 0;
    auto all = std::exchange(waiting_, {});
    auto const left = std::ranges::stable_partition(all, is_there);
    all.erase(left.begin(), left.end());
    return all;
}

} // namespace medlarstall::gateway
