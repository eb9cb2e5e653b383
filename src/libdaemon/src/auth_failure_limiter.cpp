#include "auth_failure_limiter.hpp"

namespace medlarstall::daemon {

bool auth_failure_limiter::is_blocked(std::string const& address,
                                      time_point now) const
{
    auto const found = records_.find(address);
    return found != records_.end() && found->second.failures >= max_failures &&
           now - found->second.window_start < window;
}

void auth_failure_limiter::record_failure(std::string const& address,
                                          time_point now)
{
    if (records_.size() >= max_addresses) {
        std::erase_if(records_, [now](auto const& entry) {
            return now - entry.second.window_start >= window;
        });
    }
    if (records_.size() >= max_addresses && !records_.contains(address)) {
        records_.erase(records_.begin());
    }
    auto& record = records_[address];
    if (now - record.window_start >= window) {
        record = {.failures = 0, .window_start = now};
    }
    ++record.failures;
}

} // namespace medlarstall::daemon
