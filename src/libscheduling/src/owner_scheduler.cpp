#include <medlarstall/scheduling/owner_scheduler.hpp>

#include "owner_scheduler_state.hpp"

#include <utility>

namespace medlarstall::scheduling {

owner_scheduler::owner_scheduler(scheduler_settings settings)
    : state_{std::make_unique<state>(std::move(settings))}
{}

owner_scheduler::~owner_scheduler() = default;
owner_scheduler::owner_scheduler(owner_scheduler&&) noexcept = default;
owner_scheduler&
owner_scheduler::operator=(owner_scheduler&&) noexcept = default;

void owner_scheduler::apply_catalogue(catalogue::catalogue const& entries,
                                      time_point now, action_list& actions)
{
    state_->apply_catalogue(entries, now);
    state_->schedule_all(now, actions);
}

void owner_scheduler::add_backend_server(
    backend_server_description const& description, time_point now,
    action_list& actions)
{
    state_->add_backend_server(description, now, actions);
    state_->schedule_all(now, actions);
}

void owner_scheduler::mark_backend_server_leaving(std::string_view id,
                                                  time_point now,
                                                  action_list& actions)
{
    state_->retire_backend_server(id, false, now, actions);
    state_->schedule_all(now, actions);
}

void owner_scheduler::remove_backend_server(std::string_view id, time_point now,
                                            action_list& actions)
{
    state_->retire_backend_server(id, true, now, actions);
    state_->schedule_all(now, actions);
}

bool owner_scheduler::enqueue(request value, time_point now,
                              action_list& actions)
{
    return state_->enqueue(std::move(value), now, actions);
}

void owner_scheduler::first_token_received(request_id id, time_point now,
                                           action_list& actions)
{
    state_->first_token_received(id, now, actions);
}

void owner_scheduler::tokens_received(request_id id, std::uint32_t count,
                                      time_point now, action_list& actions)
{
    state_->tokens_received(id, count, now, actions);
}

void owner_scheduler::finished(request_id id, time_point now,
                               action_list& actions)
{
    state_->end_request(id, true, now, actions);
}

void owner_scheduler::failed(request_id id, time_point now,
                             action_list& actions)
{
    state_->end_request(id, false, now, actions);
}

void owner_scheduler::cancelled(request_id id, time_point now,
                                action_list& actions)
{
    state_->end_request(id, false, now, actions);
}

void owner_scheduler::rejected_as_busy(request_id id, time_point now,
                                       action_list& actions)
{
    state_->rejected_as_busy(id, now, actions);
}

void owner_scheduler::preempted(request_id id, time_point now,
                                action_list& actions)
{
    state_->preempted(id, now, actions);
}

void owner_scheduler::load_reported(std::string_view id,
                                    load_report const& report, time_point now,
                                    action_list& actions)
{
    state_->load_reported(id, report, now, actions);
}

void owner_scheduler::set_remote_usage(std::string_view organisation,
                                       std::string_view service_class,
                                       remote_usage const& usage,
                                       time_point now, action_list& actions)
{
    state_->set_remote_usage(organisation, service_class, usage, now);
    state_->schedule_all(now, actions);
}

void owner_scheduler::tick(time_point now, action_list& actions)
{
    state_->clear_wake_up();
    state_->schedule_all(now, actions);
}

std::vector<released_request> owner_scheduler::drain(time_point now,
                                                     action_list& actions)
{
    auto released = state_->drain(now);
    state_->schedule_all(now, actions);
    return released;
}

std::vector<backend_server_summary>
owner_scheduler::summaries(time_point now) const
{
    return state_->summaries(now);
}

std::vector<organisation_usage> owner_scheduler::usage() const
{
    return state_->usage();
}

std::size_t owner_scheduler::queued() const
{
    return state_->queued();
}

std::size_t owner_scheduler::running() const
{
    return state_->running();
}

} // namespace medlarstall::scheduling
