#include <medlarstall/dispatch/rate_permits.hpp>

#include "unit_fraction.hpp"

#include <algorithm>
#include <cmath>

namespace medlarstall::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

/// Lifetime of a permit: long enough for a request to come to its daemon, and
/// short enough that unused permits do not add up to a burst.
constexpr seconds min_lifetime{1.0};
/// Number of permits of the whole fleet whose interval is added to the
/// lifetime, since few daemons have a permit at a time if the limit is low.
constexpr double added_intervals = 2.0;
/// Part of the lifetime of a permit in which it is reserved for more urgent
/// requests, for a request of the lowest urgency.
constexpr double reserved_part = 0.5;
/// Permits that are added at once are put into at most this many batches.
constexpr std::int64_t max_new_batches = 64;

/// \param value number to hash
/// \return hash of the number, which looks random
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

double seconds_of(shared_time at)
{
    return seconds{at.time_since_epoch()}.count();
}

duration to_duration(double count)
{
    return std::chrono::duration_cast<duration>(seconds{count});
}

} // namespace

bool owns_number(limit_sharers const& sharers, std::int64_t number)
{
    auto const key = mix(sharers.server ^ static_cast<std::uint64_t>(number));
    auto const own_score = mix(sharers.own ^ key);
    return std::ranges::none_of(*sharers.all, [&](std::uint64_t daemon) {
        return mix(daemon ^ key) > own_score;
    });
}

bool limit_sharers::includes_own() const
{
    return all && std::ranges::find(*all, own) != all->end();
}

duration permit_lifetime(double requests_per_second)
{
    return std::chrono::duration_cast<duration>(
        min_lifetime + seconds{added_intervals / requests_per_second});
}

duration time_to_next_permit(double requests_per_second, double urgency_share,
                             shared_time at)
{
    auto const permits = seconds_of(at) * requests_per_second;
    auto const next = (std::floor(permits) + 1 - permits) / requests_per_second;
    auto const reserved = std::chrono::duration_cast<duration>(
        permit_lifetime(requests_per_second) * (urgency_share * reserved_part));
    return to_duration(next) + reserved;
}

void rate_permits::advance(double requests_per_second,
                           limit_sharers const& sharers, shared_time at,
                           time_point now)
{
    lifetime_ = permit_lifetime(requests_per_second);
    while (!batches_.empty() && now - batches_.front().issued_at >= lifetime_) {
        batches_.pop_front();
    }
    auto const last = last_at_;
    auto const sharer_count = static_cast<double>(sharers.count());
    auto const decreased = requests_per_second < last_rate_;
    last_at_ = at;
    last_rate_ = requests_per_second;
    if (!sharers.includes_own()) {
        batches_.clear();
        return;
    }
    if (decreased) {
        drop_excess(requests_per_second / sharer_count);
    }
    if (!last || at <= *last) {
        return; // The limit is new, or the time of day was set back.
    }
    auto const from = std::max(
        *last,
        at - std::chrono::duration_cast<shared_time::duration>(lifetime_));
    if (requests_per_second >= sharer_count) {
        add_equal_share(requests_per_second / sharer_count, sharers, from, at,
                        now);
    } else {
        add_numbered(requests_per_second, sharers, from, at, now);
    }
}

void rate_permits::add_equal_share(double rate, limit_sharers const& sharers,
                                   shared_time from, shared_time at,
                                   time_point now)
{
    // The daemons are at different phases, so that they do not send together.
    auto const phase = unit_fraction(mix(sharers.own ^ sharers.server));
    auto const first = std::floor(seconds_of(from) * rate + phase) + 1;
    auto const last = std::floor(seconds_of(at) * rate + phase);
    auto const count = static_cast<std::int64_t>(last - first) + 1;
    auto const per_batch = std::max<std::int64_t>(
        (count + max_new_batches - 1) / max_new_batches, 1);
    for (std::int64_t done = 0; done < count; done += per_batch) {
        auto const issued = (first + static_cast<double>(done) - phase) / rate;
        batches_.push_back(
            {now - to_duration(std::max(0.0, seconds_of(at) - issued)),
             static_cast<std::size_t>(std::min(per_batch, count - done))});
    }
}

void rate_permits::add_numbered(double rate, limit_sharers const& sharers,
                                shared_time from, shared_time at,
                                time_point now)
{
    auto const before =
        static_cast<std::int64_t>(std::floor(seconds_of(from) * rate));
    auto const last =
        static_cast<std::int64_t>(std::floor(seconds_of(at) * rate));
    for (auto number = before + 1; number <= last; ++number) {
        if (owns_number(sharers, number)) {
            auto const issued = static_cast<double>(number) / rate;
            batches_.push_back(
                {now - to_duration(std::max(0.0, seconds_of(at) - issued)), 1});
        }
    }
}

/// Drops permits above those that the daemon can get during one lifetime.
void rate_permits::drop_excess(double share)
{
    auto keep =
        static_cast<std::size_t>(std::ceil(share * seconds{lifetime_}.count()));
    for (auto batch = batches_.rbegin(); batch != batches_.rend(); ++batch) {
        batch->count = std::min(batch->count, keep);
        keep -= batch->count;
    }
    std::erase_if(batches_, [](batch const& item) { return item.count == 0; });
}

bool rate_permits::available(double urgency_share, time_point now) const
{
    auto const min_age = std::chrono::duration_cast<duration>(
        lifetime_ * (urgency_share * reserved_part));
    return std::ranges::any_of(batches_, [&](batch const& item) {
        auto const age = now - item.issued_at;
        return age >= min_age && age < lifetime_;
    });
}

void rate_permits::take(time_point now)
{
    while (!batches_.empty() && now - batches_.front().issued_at >= lifetime_) {
        batches_.pop_front();
    }
    if (!batches_.empty() && --batches_.front().count == 0) {
        batches_.pop_front();
    }
}

} // namespace medlarstall::dispatch
