#include <medlarstall/dispatch/server_room.hpp>

#include <algorithm>
#include <chrono>

namespace medlarstall::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

/// Part of the rejections that sends with permits may cause. The rest is left
/// to sends to own slots.
constexpr double permit_part = 0.5;
/// Permits that may be used in one second besides those issued in it: the
/// lifetime of a permit is 1 s and two intervals, and one is rounded up.
constexpr double permits_kept = 3;
/// Share of the slots that only the daemons use for which they are reserved.
constexpr double reserved_share = 0.5;
/// Daemons under load hear of each other's sends within this time.
constexpr std::chrono::milliseconds update_interval{600};
/// Shortest pause after a rejection.
constexpr seconds min_pause{1.0};
/// Longest pause: a backend server that survives no rejection is not left
/// unused for longer.
constexpr seconds max_pause{10.0};

/// \return permits per second of which no more than the allowed part of the
///     rejections can be used in any second; zero if there are none
double permit_rate(double rejections_per_second)
{
    return std::max(0.0,
                    (permit_part * rejections_per_second - permits_kept) / 2.0);
}

} // namespace

char const* name_of(room_decision decision)
{
    switch (decision) {
    case room_decision::free:
        return "free";
    case room_decision::own_slot:
        return "own_slot";
    case room_decision::equal_part:
        return "equal_part";
    case room_decision::permit:
        return "permit";
    case room_decision::full:
        return "full";
    case room_decision::no_permit:
        return "no_permit";
    case room_decision::paused:
        return "paused";
    }
    return "unknown";
}

void server_room::advance(double rejections_per_second, std::uint32_t slots,
                          limit_sharers const& sharers, shared_time at,
                          time_point now)
{
    rejections_per_second_ = rejections_per_second;
    if (slots_ != slots || divided_among_ != sharers.all) {
        divide_slots(slots, sharers);
    }
    auto const rate = permit_rate(rejections_per_second);
    if (rate > 0) {
        permits_.advance(rate, sharers, at, now);
    } else {
        permits_ = {};
    }
}

void server_room::divide_slots(std::uint32_t slots,
                               limit_sharers const& sharers)
{
    slots_ = slots;
    divided_among_ = sharers.all;
    daemons_ = sharers.count();
    own_slots_ = 0;
    if (!sharers.includes_own()) {
        return;
    }
    own_slots_ = static_cast<std::uint32_t>(slots / daemons_);
    auto const rest = static_cast<std::uint32_t>(slots % daemons_);
    for (std::uint32_t number = 0; number < rest; ++number) {
        own_slots_ += owns_number(sharers, number) ? 1 : 0;
    }
}

double server_room::slots_of_each() const
{
    auto const whole = daemons_ == 0 ? 0 : slots_ / daemons_;
    return static_cast<double>(whole);
}

double server_room::other_slots() const
{
    return daemons_ == 0 ? 0.0 : static_cast<double>(slots_ % daemons_);
}

room_decision server_room::decide(room_load const& load, double urgency_share,
                                  time_point now) const
{
    if (now < paused_until_) {
        return room_decision::paused;
    }
    if (load.all >= slots_) {
        return room_decision::full;
    }
    if (!load.crowded) {
        return room_decision::free;
    }
    // While another daemon uses more than its slots, as from the time before,
    // several would take the same slot when it becomes free.
    auto const unreserved = (1.0 - reserved_share) * slots_;
    auto const is_reserved = load.excess <= 0 || load.all <= unreserved;
    if (load.own < own_slots_ && is_reserved) {
        return room_decision::own_slot;
    }
    if (has_equal_part(load.all, now)) {
        return room_decision::equal_part;
    }
    return permits_.available(urgency_share, now) ? room_decision::permit
                                                  : room_decision::no_permit;
}

/// All daemons see about the same free slots, until they hear of each other's
/// sends.
bool server_room::has_equal_part(double all, time_point now) const
{
    if (daemons_ == 0) {
        return false;
    }
    auto const recent =
        std::ranges::count_if(equal_part_sends_, [now](time_point sent) {
            return now - sent < update_interval;
        });
    auto const spare = (1.0 - reserved_share) * slots_ - all;
    auto const part = spare / static_cast<double>(daemons_);
    return static_cast<double>(recent) + 1 <= part;
}

void server_room::on_sent(room_decision decision, time_point now)
{
    if (decision == room_decision::permit) {
        permits_.take(now);
    }
    while (!equal_part_sends_.empty() &&
           now - equal_part_sends_.front() >= update_interval) {
        equal_part_sends_.pop_front();
    }
    if (decision == room_decision::equal_part) {
        equal_part_sends_.push_back(now);
    }
}

/// The daemons that have slots could cause one rejection each in every pause.
void server_room::on_rejected(time_point now)
{
    auto const holders =
        static_cast<double>(std::min<std::size_t>(daemons_, slots_));
    auto const borne =
        std::max((1.0 - permit_part) * rejections_per_second_, 0.1);
    auto const pause =
        std::clamp(seconds{holders / borne}, min_pause, max_pause);
    paused_until_ = now + std::chrono::duration_cast<duration>(pause);
}

} // namespace medlarstall::dispatch
