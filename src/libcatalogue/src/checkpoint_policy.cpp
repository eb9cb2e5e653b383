#include <medlarstall/catalogue/checkpoint_policy.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>

namespace medlarstall::catalogue {

checkpoint_policy::checkpoint_policy(std::string const& daemon,
                                     checkpoint_settings settings)
    : settings_{settings}
{
    auto const interval_ms = static_cast<std::uint64_t>(
        std::max<std::int64_t>(settings_.attempt_interval.count(), 1));
    start_delay_ = std::chrono::milliseconds{
        static_cast<std::int64_t>(hash64(daemon) % interval_ms)};
}

void checkpoint_policy::on_record(wall_time written_at)
{
    if (!has_reference_time_) {
        reference_time_ = written_at;
        has_reference_time_ = true;
    }
}

void checkpoint_policy::on_checkpoint(std::uint64_t end_offset,
                                      wall_time written_at)
{
    if (has_reference_time_ && end_offset < covered_offset_) {
        return;
    }
    covered_offset_ = end_offset;
    reference_time_ = written_at;
    has_reference_time_ = true;
    waiting_ = false;
}

bool checkpoint_policy::should_write_now(std::uint64_t next_offset,
                                         wall_time now)
{
    if (!is_needed(next_offset, now)) {
        waiting_ = false;
        return false;
    }
    if (!waiting_) {
        waiting_ = true;
        needed_since_ = now;
    }
    if (now - needed_since_ < start_delay_) {
        return false;
    }
    needed_since_ = now + settings_.attempt_interval;
    return true;
}

bool checkpoint_policy::is_needed(std::uint64_t next_offset,
                                  wall_time now) const
{
    if (!has_reference_time_ || next_offset <= covered_offset_) {
        return false;
    }
    return next_offset - covered_offset_ >= settings_.record_interval ||
           now - reference_time_ >= settings_.retention / 4;
}

} // namespace medlarstall::catalogue
