#include <medlarstall/claim/group_writer.hpp>

#include <algorithm>
#include <cmath>

namespace medlarstall::claim {

group_writer::group_writer(group_settings const& settings)
    : settings_{settings},
      interval_{std::chrono::duration_cast<duration>(
          std::chrono::duration<double>{1.0 / settings.appends_per_second})}
{}

void group_writer::add(record value, time_point now)
{
    if (pending_.empty()) {
        opened_ = now;
    }
    pending_bytes_ += encoded_size(value);
    pending_.push_back(std::move(value));
}

std::optional<group_append> group_writer::poll(time_point now)
{
    auto const due = next_time();
    if (!due.has_value() || *due > now) {
        return std::nullopt;
    }
    if (!flight_.has_value()) {
        start_flight(now);
    }
    flight_->awaits_reply = true;
    paced_ = std::max(paced_, now) + interval_;
    return flight_->group;
}

void group_writer::done(std::uint64_t sequence)
{
    if (!flight_.has_value() || flight_->group.sequence != sequence) {
        return;
    }
    flight_.reset();
    failures_ = 0;
    retry_at_ = {};
}

void group_writer::failed(std::uint64_t sequence, time_point now, double jitter)
{
    if (!flight_.has_value() || flight_->group.sequence != sequence) {
        return;
    }
    back_off(now, jitter);
    if (flight_->may_have_effect) {
        flight_->awaits_reply = false;
        return;
    }
    auto const& records = *flight_->group.records;
    pending_.insert(pending_.begin(), records.begin(), records.end());
    for (auto const& value : records) {
        pending_bytes_ += encoded_size(value);
    }
    opened_ = now;
    flight_.reset();
}

void group_writer::unknown(std::uint64_t sequence, time_point now,
                           double jitter)
{
    if (!flight_.has_value() || flight_->group.sequence != sequence) {
        return;
    }
    back_off(now, jitter);
    flight_->may_have_effect = true;
    flight_->awaits_reply = false;
}

std::optional<time_point> group_writer::next_time() const
{
    if (flight_.has_value() && flight_->awaits_reply) {
        return std::nullopt;
    }
    if (!flight_.has_value() && pending_.empty()) {
        return std::nullopt;
    }
    auto const rate = paced_ - (settings_.burst - 1) * interval_;
    auto const group = flight_.has_value() ? time_point{} : group_time();
    return std::max({rate, group, retry_at_});
}

bool group_writer::full() const
{
    return pending_.size() >= settings_.max_records ||
           pending_bytes_ >= settings_.max_bytes;
}

time_point group_writer::group_time() const
{
    return full() ? time_point{} : *opened_ + settings_.delay;
}

void group_writer::start_flight(time_point now)
{
    auto records = std::make_shared<std::vector<record>>();
    std::size_t bytes = 0;
    while (!pending_.empty() && records->size() < settings_.max_records) {
        auto const size = encoded_size(pending_.front());
        if (!records->empty() && bytes + size > settings_.max_bytes) {
            break;
        }
        bytes += size;
        records->push_back(std::move(pending_.front()));
        pending_.pop_front();
    }
    pending_bytes_ -= bytes;
    opened_ = now;
    flight_ = flight{
        .group = {.sequence = ++last_sequence_, .records = std::move(records)}};
}

void group_writer::back_off(time_point now, double jitter)
{
    auto const factor = std::ldexp(1.0, int(std::min(failures_, 10U)));
    using real = std::chrono::duration<double, std::milli>;
    auto const wait = std::min(real{settings_.least_retry} * factor,
                               real{settings_.most_retry}) *
                      (0.5 + jitter / 2);
    retry_at_ = now + std::chrono::duration_cast<duration>(wait);
    ++failures_;
}

} // namespace medlarstall::claim
