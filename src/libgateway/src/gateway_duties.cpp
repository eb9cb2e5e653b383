// The exclusive duties of the fleet, as far as this daemon takes part in them.

#include <medlarstall/gateway/gateway.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>

namespace medlarstall::gateway {

std::shared_ptr<duty_service> gateway::make_duty_service()
{
    if (!settings_.duties || !settings_.duties->has_any() ||
        !adapter_.call_duty) {
        return nullptr;
    }
    duty_context context{
        adapter_.store,
        adapter_.call_duty,
        [] { return monotonic_clock::now(); },
        [] { return clock_readings::now(); },
        [this] { send_peer_update(monotonic_clock::now(), true); },
        log_,
        metrics_};
    auto service = std::make_shared<duty_service>(
        std::move(context), *settings_.duties, settings_.name, incarnation_);
    if (settings_.duties->scales) {
        service->add(make_duty_handle("autoscaling", scaling_duty_));
    }
    return service;
}

void gateway::update_duties(time_point now)
{
    if (!duty_service_) {
        return;
    }
    update_scaling(now);
    auto const own = hash64(settings_.name);
    auto const live = members_.live_members(now);
    auto const before = std::count_if(
        live.begin(), live.end(), [own](member_table::member const* peer) {
            return hash64(peer->update.daemon) < own;
        });
    duty_service_->tick(static_cast<std::size_t>(before), live.size(),
                        members_.addresses().size());
}

/// Called before a daemon is removed from the table of members.
void gateway::on_member_left(std::string const& address, time_point now)
{
    if (!duty_service_) {
        return;
    }
    for (auto const* const peer : members_.live_members(now)) {
        if (peer->address == address) {
            duty_service_->on_daemon_left(peer->update.daemon);
        }
    }
}

void gateway::set_duty_gauges()
{
    if (!duty_service_) {
        return;
    }
    using seconds = std::chrono::duration<double>;
    auto const lease = duty_service_->status();
    metrics_.set_gauge("duty_holder", duty_service_->is_active() ? 1 : 0);
    metrics_.set_gauge("duty_token", static_cast<double>(lease.token));
    metrics_.set_gauge("lease_renewal_age_seconds", seconds{lease.age}.count());
    set_scaling_gauges();
}

} // namespace medlarstall::gateway
