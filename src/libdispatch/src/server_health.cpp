#include <medlarstall/dispatch/server_health.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

char const* name_of(health state)
{
    switch (state) {
    case health::up:
        return "up";
    case health::suspect:
        return "suspect";
    case health::down:
        return "down";
    }
    return "unknown";
}

server_health::server_health(probe_settings settings)
    : settings_{settings}, interval_{settings.initial_interval}
{}

void server_health::on_unreachable(time_point now)
{
    if (state_ != health::down) {
        interval_ = settings_.initial_interval;
        schedule_probe(now + interval_);
    }
    state_ = health::down;
}

void server_health::on_connection_lost(time_point now)
{
    if (state_ == health::up) {
        state_ = health::suspect;
        interval_ = settings_.initial_interval;
        schedule_probe(now);
    }
}

void server_health::on_no_data(time_point now)
{
    if (now >= trusted_until_) {
        on_connection_lost(now);
    }
}

void server_health::on_probe_succeeded(time_point now)
{
    trusted_until_ = now + settings_.trust_after_probe;
    on_data_received();
}

void server_health::on_data_received()
{
    state_ = health::up;
    probing_ = false;
    interval_ = settings_.initial_interval;
}

void server_health::on_outcome(bool succeeded)
{
    auto const failure = succeeded ? 0.0 : 1.0;
    failure_share_ += settings_.failure_weight * (failure - failure_share_);
}

bool server_health::start_probe(time_point now)
{
    if (state_ == health::up || probing_ || now < next_probe_) {
        return false;
    }
    probing_ = true;
    return true;
}

void server_health::on_probe_failed(time_point now)
{
    probing_ = false;
    state_ = health::down;
    interval_ = std::min(interval_ * 2, settings_.max_interval);
    schedule_probe(now + interval_);
}

} // namespace medlarstall::dispatch
