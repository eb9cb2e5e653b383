#include <medlarstall/gateway/topic_age.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::gateway {

namespace {

/// Most reads that are kept until this daemon knows as much; the oldest are
/// dropped first.
constexpr std::size_t max_reads_ahead = 64;
constexpr unsigned max_interval_doublings = 3;
/// Reads that are older are not announced.
constexpr std::chrono::milliseconds max_announced_age{5000};

std::chrono::milliseconds elapsed(time_point since, time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now - std::min(since, now));
}

} // namespace

topic_age::topic_age(double place, topic_age_settings settings)
    : settings_{settings},
      due_age_{settings.read_age +
               std::chrono::duration_cast<duration>(
                   std::clamp(place, 0.0, 1.0) * settings.read_spread)}
{}

void topic_age::on_read(complete_read read, store_position known)
{
    extend_steady_time(read);
    if (as_of_ && read.as_of <= *as_of_) {
        return;
    }
    if (ahead_.size() == max_reads_ahead) {
        ahead_.erase(
            std::ranges::min_element(ahead_, {}, &complete_read::as_of));
    }
    ahead_.push_back(std::move(read));
    on_position(known);
}

bool topic_age::on_own_read(complete_read const& read, store_position known)
{
    auto const has_grown = !own_read_ || own_read_->end < read.end;
    own_read_ = read;
    on_read(read, known);
    return has_grown;
}

std::optional<announced_read> topic_age::announced(time_point now) const
{
    if (!own_read_ || now - own_read_->as_of > max_announced_age) {
        return std::nullopt;
    }
    return announced_read{own_read_->end, elapsed(own_read_->as_of, now)};
}

std::optional<std::chrono::milliseconds>
topic_age::steady_for(time_point now) const
{
    if (!store_answers(now)) {
        return std::nullopt;
    }
    return elapsed(*steady_since_, now);
}

void topic_age::on_position(store_position known)
{
    for (auto const& read : ahead_) {
        if (read.end <= known && (!as_of_ || read.as_of > *as_of_)) {
            as_of_ = read.as_of;
            reader_ = read.reader;
            reads_begun_ = 0;
        }
    }
    std::erase_if(ahead_, [this](complete_read const& read) {
        return as_of_ && read.as_of <= *as_of_;
    });
}

void topic_age::on_suspended(duration asleep)
{
    auto const shift = [asleep](std::optional<time_point>& time) {
        if (time) {
            *time -= asleep;
        }
    };
    shift(as_of_);
    shift(steady_since_);
    shift(read_begun_at_);
    answered_at_ -= asleep;
    if (own_read_) {
        own_read_->as_of -= asleep;
    }
    for (auto& read : ahead_) {
        read.as_of -= asleep;
    }
}

bool topic_age::read_is_due(time_point now, std::size_t daemons) const
{
    // After an outage the daemons hear of what the readers have read, as usual.
    if (!as_of_ || now - std::max(*as_of_, *steady_since_) < due_age_) {
        return false;
    }
    if (!read_begun_at_) {
        return true;
    }
    if (store_answers(now)) {
        auto const doublings =
            std::clamp(reads_begun_, 1U, max_interval_doublings + 1) - 1;
        return now - *read_begun_at_ >=
               settings_.read_interval * (1U << doublings);
    }
    auto const share =
        std::max<std::size_t>(1, daemons / settings_.outage_readers);
    return now - *read_begun_at_ >= settings_.outage_read_interval * share;
}

void topic_age::on_read_begun(time_point now)
{
    read_begun_at_ = now;
    ++reads_begun_;
}

bool topic_age::store_answers(time_point now) const
{
    return steady_since_ && now - answered_at_ <= settings_.outage_age;
}

/// Joins the time for which the reader knows that the store has answered to
/// that which this daemon knows of. A gap between them that is longer than any
/// between two reads means that the store was away.
void topic_age::extend_steady_time(complete_read const& read)
{
    auto const since =
        std::min(read.steady_since.value_or(read.as_of), read.as_of);
    auto const joins = steady_since_ &&
                       since <= answered_at_ + settings_.outage_age &&
                       *steady_since_ <= read.as_of + settings_.outage_age;
    if (joins) {
        steady_since_ = std::min(*steady_since_, since);
        answered_at_ = std::max(answered_at_, read.as_of);
    } else if (!steady_since_ || read.as_of > answered_at_) {
        steady_since_ = since;
        answered_at_ = read.as_of;
    }
}

} // namespace medlarstall::gateway
