#include <medlarstall/scheduling/latency_window.hpp>

#include <algorithm>

namespace medlarstall::scheduling {

void latency_window::add(duration latency)
{
    latencies_[next_index_] = latency;
    next_index_ = (next_index_ + 1) % capacity;
    count_ = std::min(count_ + 1, capacity);
}

duration latency_window::median() const
{
    if (count_ == 0) {
        return duration::zero();
    }
    auto sorted = latencies_;
    auto const middle = sorted.begin() + std::ptrdiff_t(count_ / 2);
    std::nth_element(sorted.begin(), middle,
                     sorted.begin() + std::ptrdiff_t(count_));
    return *middle;
}

} // namespace medlarstall::scheduling
