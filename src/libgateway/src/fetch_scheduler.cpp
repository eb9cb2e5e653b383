#include <medlarstall/gateway/fetch_scheduler.hpp>

namespace medlarstall::gateway {

std::optional<std::size_t> fetch_scheduler::try_start(std::size_t ahead,
                                                      time_point now)
{
    if (in_progress_ || ahead == 0 || now < not_before_) {
        return std::nullopt;
    }
    in_progress_ = true;
    not_before_ = now + min_interval_;
    return static_cast<std::size_t>(turn_++ % ahead);
}

} // namespace medlarstall::gateway
