#include <medlarstall/catalogue/checkpoint_policy.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>

namespace medlarstall::catalogue {

checkpoint_policy::checkpoint_policy(std::string const& daemon,
                                     checkpoint_settings settings)
    : settings_{settings}
{
    auto const spread = static_cast<std::uint64_t>(
        std::max<std::int64_t>(settings_.spread.count(), 1));
    wait_ = std::chrono::milliseconds{
        static_cast<std::int64_t>(hash64(daemon) % spread)};
}

void checkpoint_policy::on_record(wall_time written)
{
    if (!started_) {
        oldest_ = written;
        started_ = true;
    }
}

void checkpoint_policy::on_checkpoint(std::uint64_t prefix, wall_time written)
{
    if (started_ && prefix < prefix_) {
        return;
    }
    prefix_ = prefix;
    oldest_ = written;
    started_ = true;
    waiting_ = false;
}

bool checkpoint_policy::due(std::uint64_t next_offset, wall_time now)
{
    if (!wanted(next_offset, now)) {
        waiting_ = false;
        return false;
    }
    if (!waiting_) {
        waiting_ = true;
        wanted_since_ = now;
    }
    if (now - wanted_since_ < wait_) {
        return false;
    }
    wanted_since_ = now + settings_.spread;
    return true;
}

bool checkpoint_policy::wanted(std::uint64_t next_offset, wall_time now) const
{
    if (!started_ || next_offset <= prefix_) {
        return false;
    }
    return next_offset - prefix_ >= settings_.records ||
           now - oldest_ >= settings_.retention / 4;
}

} // namespace medlarstall::catalogue
