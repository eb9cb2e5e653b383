#include <medlarstall/emulator/plain_server.hpp>

#include <utility>

namespace medlarstall::emulator {

plain_server::plain_server(event_queue& events, plain_speed speed,
                           listener on_done)
    : events_{events}, speed_{speed}, on_done_{std::move(on_done)}
{}

bool plain_server::submit(std::uint64_t id, duration work)
{
    if (down_) {
        return false;
    }
    if (running_.size() < speed_.slots) {
        begin({id, work});
        return true;
    }
    if (waiting_.size() >= speed_.queue) {
        return false;
    }
    waiting_.push_back({id, work});
    return true;
}

void plain_server::begin(waiting_request const& next)
{
    running_.insert(next.id);
    auto const takes = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{next.work} * slowness_);
    events_.after(takes,
                  [this, id = next.id, epoch = epoch_] { end(id, epoch); });
}

void plain_server::end(std::uint64_t id, std::uint64_t epoch)
{
    if (epoch != epoch_) {
        return;
    }
    running_.erase(id);
    if (!waiting_.empty()) {
        auto const next = waiting_.front();
        waiting_.pop_front();
        begin(next);
    }
    on_done_(id);
}

std::vector<std::uint64_t> plain_server::crash()
{
    std::vector<std::uint64_t> lost{running_.begin(), running_.end()};
    for (auto const& one : waiting_) {
        lost.push_back(one.id);
    }
    running_.clear();
    waiting_.clear();
    down_ = true;
    ++epoch_;
    return lost;
}

} // namespace medlarstall::emulator
