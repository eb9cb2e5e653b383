#include <medlarstall/emulator/plain_server.hpp>

#include <utility>

namespace medlarstall::emulator {

plain_server::plain_server(event_queue& events, plain_server_settings settings,
                           listener on_done)
    : events_{events}, settings_{settings}, on_done_{std::move(on_done)}
{}

bool plain_server::submit(std::uint64_t id, duration service_time)
{
    if (down_) {
        return false;
    }
    if (running_.size() < settings_.slots) {
        start_request({id, service_time});
        return true;
    }
    if (queue_.size() >= settings_.queue_capacity) {
        return false;
    }
    queue_.push_back({id, service_time});
    return true;
}

void plain_server::start_request(queued_request const& next)
{
    running_.insert(next.id);
    auto const processing_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{next.service_time} * slowdown_);
    events_.schedule_after(
        processing_time,
        [this, id = next.id, epoch = epoch_] { finish_request(id, epoch); });
}

void plain_server::finish_request(std::uint64_t id, std::uint64_t epoch)
{
    if (epoch != epoch_) {
        return;
    }
    running_.erase(id);
    if (!queue_.empty()) {
        auto const next = queue_.front();
        queue_.pop_front();
        start_request(next);
    }
    on_done_(id);
}

std::vector<std::uint64_t> plain_server::crash()
{
    std::vector<std::uint64_t> dropped{running_.begin(), running_.end()};
    for (auto const& waiting : queue_) {
        dropped.push_back(waiting.id);
    }
    running_.clear();
    queue_.clear();
    down_ = true;
    ++epoch_;
    return dropped;
}

} // namespace medlarstall::emulator
