#include "failure_limiter.hpp"

namespace medlarstall::daemon {

bool failure_limiter::blocks(std::string const& address, time_point now) const
{
    auto const found = records_.find(address);
    return found != records_.end() && found->second.failures >= max_failures &&
           now - found->second.since < window;
}

void failure_limiter::note_failure(std::string const& address, time_point now)
{
    if (records_.size() >= max_addresses) {
        std::erase_if(records_, [now](auto const& one) {
            return now - one.second.since >= window;
        });
    }
    if (records_.size() >= max_addresses && !records_.contains(address)) {
        records_.erase(records_.begin());
    }
    auto& record = records_[address];
    if (now - record.since >= window) {
        record = {.failures = 0, .since = now};
    }
    ++record.failures;
}

} // namespace medlarstall::daemon
