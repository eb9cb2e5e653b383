#include <medlarstall/claim/group_writer.hpp>

#include <algorithm>
#include <cmath>

namespace medlarstall::claim {

group_writer::group_writer(group_settings const& settings)
    : settings_{settings},
      append_interval_{std::chrono::duration_cast<duration>(
          std::chrono::duration<double>{1.0 / settings.appends_per_second})}
{}

void group_writer::add(record value, time_point now)
{
    if (queue_.empty()) {
        group_opened_ = now;
    }
    queued_bytes_ += encoded_size(value);
    queue_.push_back(std::move(value));
}

std::optional<group_append> group_writer::poll(time_point now)
{
    auto const due = next_poll_time();
    if (!due.has_value() || *due > now) {
        return std::nullopt;
    }
    if (!in_flight_.has_value()) {
        start_append(now);
    }
    in_flight_->awaits_reply = true;
    rate_time_ = std::max(rate_time_, now) + append_interval_;
    return in_flight_->group;
}

void group_writer::on_append_succeeded(std::uint64_t sequence)
{
    if (!in_flight_.has_value() || in_flight_->group.sequence != sequence) {
        return;
    }
    in_flight_.reset();
    failures_ = 0;
    retry_at_ = {};
}

void group_writer::on_append_failed(std::uint64_t sequence, time_point now,
                                    double jitter)
{
    if (!in_flight_.has_value() || in_flight_->group.sequence != sequence) {
        return;
    }
    back_off(now, jitter);
    if (in_flight_->may_take_effect) {
        in_flight_->awaits_reply = false;
        return;
    }
    auto const& records = *in_flight_->group.records;
    queue_.insert(queue_.begin(), records.begin(), records.end());
    for (auto const& value : records) {
        queued_bytes_ += encoded_size(value);
    }
    group_opened_ = now;
    in_flight_.reset();
}

void group_writer::on_append_unknown(std::uint64_t sequence, time_point now,
                                     double jitter)
{
    if (!in_flight_.has_value() || in_flight_->group.sequence != sequence) {
        return;
    }
    back_off(now, jitter);
    in_flight_->may_take_effect = true;
    in_flight_->awaits_reply = false;
}

std::optional<time_point> group_writer::next_poll_time() const
{
    if (in_flight_.has_value() && in_flight_->awaits_reply) {
        return std::nullopt;
    }
    if (!in_flight_.has_value() && queue_.empty()) {
        return std::nullopt;
    }
    auto const rate_due = rate_time_ - (settings_.burst - 1) * append_interval_;
    auto const group_due =
        in_flight_.has_value() ? time_point{} : group_due_time();
    return std::max({rate_due, group_due, retry_at_});
}

bool group_writer::group_is_full() const
{
    return queue_.size() >= settings_.max_records ||
           queued_bytes_ >= settings_.max_bytes;
}

time_point group_writer::group_due_time() const
{
    return group_is_full() ? time_point{}
                           : *group_opened_ + settings_.max_delay;
}

void group_writer::start_append(time_point now)
{
    auto records = std::make_shared<std::vector<record>>();
    std::size_t bytes = 0;
    while (!queue_.empty() && records->size() < settings_.max_records) {
        auto const size = encoded_size(queue_.front());
        if (!records->empty() && bytes + size > settings_.max_bytes) {
            break;
        }
        bytes += size;
        records->push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    queued_bytes_ -= bytes;
    group_opened_ = now;
    in_flight_ = in_flight_append{
        .group = {.sequence = ++last_sequence_, .records = std::move(records)}};
}

void group_writer::back_off(time_point now, double jitter)
{
    auto const factor = std::ldexp(1.0, int(std::min(failures_, 10U)));
    using real_milliseconds = std::chrono::duration<double, std::milli>;
    auto const wait =
        std::min(real_milliseconds{settings_.min_retry_delay} * factor,
                 real_milliseconds{settings_.max_retry_delay}) *
        (0.5 + jitter / 2);
    retry_at_ = now + std::chrono::duration_cast<duration>(wait);
    ++failures_;
}

} // namespace medlarstall::claim
