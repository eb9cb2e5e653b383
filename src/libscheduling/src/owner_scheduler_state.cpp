#include "owner_scheduler_state.hpp"

#include <medlarstall/catalogue/catalogue.hpp>

#include <algorithm>

namespace medlarstall::scheduling {

owner_scheduler::state::state(scheduler_settings settings)
    : settings_{std::move(settings)}
{}

void owner_scheduler::state::apply_catalogue(
    catalogue::catalogue const& entries, time_point now)
{
    organisations_.apply_catalogue(entries, now);
    slots_by_group_.clear();
    for (auto const& [name, entry] : entries.groups) {
        slots_by_group_[name] = entry.value.slots;
    }
    tiers_by_class_.clear();
    floors_by_tier_.fill(0);
    for (auto const& [name, entry] : entries.classes) {
        auto const tier = clamp_tier(entry.value.tier);
        tiers_by_class_[name] = tier;
        floors_by_tier_[tier] += entry.value.floor;
    }
    for (auto const& [name, group] : groups_) {
        group->set_slots_and_floors(slots_of(name), floors_by_tier_);
    }
    for (organisation_index each = 0; each < organisations_.size(); ++each) {
        refresh_limits(each, now);
    }
}

void owner_scheduler::state::add_backend_server(
    backend_server_description const& description, time_point now,
    action_list& actions)
{
    auto const [old_group, server] = find_server(description.id);
    if (old_group != nullptr &&
        server->description().group != description.group) {
        retire_backend_server(description.id, true, now, actions);
    }
    auto& group = find_or_add_group(description.group);
    group.add_or_update_server(description);
    hand_back_unservable(group, actions);
}

void owner_scheduler::state::retire_backend_server(std::string_view id,
                                                   bool remove, time_point,
                                                   action_list& actions)
{
    auto const [group, server] = find_server(id);
    if (group == nullptr) {
        return;
    }
    if (remove) {
        server->mark_removed();
    } else {
        server->mark_leaving();
    }
    hand_back_unservable(*group, actions);
    erase_removed_servers(*group);
}

bool owner_scheduler::state::enqueue(request value, time_point now,
                                     action_list& actions)
{
    auto const [position, added] = records_.try_emplace(value.id);
    if (!added) {
        return false;
    }
    auto& record = position->second;
    value.tier = clamp_tier(value.tier);
    record.value = std::move(value);
    auto const organisation =
        organisations_.index_of(record.value.organisation);
    record.entry.organisation = organisation;
    record.usage =
        &organisations_.usage(organisation, record.value.service_class);
    record.group = &find_or_add_group(record.value.group);
    auto& group = *record.group;
    group.prepare(record);
    if (auto const reason = early_refusal(record, now)) {
        refuse_record(record, *reason, actions);
    } else {
        group.enqueue(record);
        refresh_limits(organisation, now);
    }
    schedule_after_event(group, now, actions);
    return true;
}

void owner_scheduler::state::first_token_received(request_id id, time_point now,
                                                  action_list& actions)
{
    auto* const record = find_record(id);
    if (record == nullptr || record->server == nullptr ||
        record->first_token_seen) {
        return;
    }
    auto const limit_before = record->server->limit(now);
    record->group->observe_first_token(*record, now);
    if (record->server->limit(now) > limit_before) {
        schedule_after_event(*record->group, now, actions);
    }
}

void owner_scheduler::state::tokens_received(request_id id, std::uint32_t count,
                                             time_point now,
                                             action_list& actions)
{
    auto* const record = find_record(id);
    if (record == nullptr) {
        return;
    }
    auto& group = *record->group;
    auto const* const server = record->server;
    auto const limit_before = server ? server->limit(now) : 0;
    if (server != nullptr && !record->first_token_seen) {
        group.observe_first_token(*record, now);
    }
    auto const new_victim = group.observe_tokens(*record, count, now);
    if (refresh_limits(record->entry.organisation, now)) {
        request_wake_up(now, actions);
    }
    auto const limit_increased =
        server != nullptr && server->limit(now) > limit_before;
    if ((limit_increased || new_victim) && group.queued() > 0) {
        schedule_after_event(group, now, actions);
    }
}

void owner_scheduler::state::end_request(request_id id, bool complete,
                                         time_point now, action_list& actions)
{
    auto* const record = find_record(id);
    if (record == nullptr) {
        return;
    }
    auto& group = *record->group;
    auto const organisation = record->entry.organisation;
    if (record->state == request_state::queued) {
        group.dequeue(*record);
    } else {
        group.observe_slot_time(*record, now);
        group.release_slot(*record, now);
    }
    if (complete) {
        group.observe_output(*record);
    }
    group.reconcile_charge(*record, now);
    records_.erase(id);
    refresh_limits(organisation, now);
    erase_removed_servers(group);
    schedule_after_event(group, now, actions);
}

void owner_scheduler::state::rejected_as_busy(request_id id, time_point now,
                                              action_list& actions)
{
    auto* const record = find_record(id);
    if (record == nullptr || record->server == nullptr) {
        return;
    }
    auto& group = *record->group;
    record->server->observe_busy_rejection(now);
    requeue(*record, false, now);
    hand_back_unservable(group, actions); // May erase the record.
    erase_removed_servers(group);
    schedule_after_event(group, now, actions);
}

void owner_scheduler::state::preempted(request_id id, time_point now,
                                       action_list& actions)
{
    auto* const record = find_record(id);
    if (record == nullptr || record->state != request_state::preempting) {
        return;
    }
    auto& group = *record->group;
    auto& server = *record->server;
    auto const tier = record->value.tier;
    ++record->preemptions;
    requeue(*record, true, now);
    auto const* const next =
        group.dispatch_to_freed_slot(server, tier, now, actions);
    if (next != nullptr) {
        refresh_limits(next->entry.organisation, now);
    }
    hand_back_unservable(group, actions);
    erase_removed_servers(group);
    schedule_after_event(group, now, actions);
}

void owner_scheduler::state::load_reported(std::string_view id,
                                           load_report const& report,
                                           time_point now, action_list& actions)
{
    auto const [group, server] = find_server(id);
    if (group == nullptr) {
        return;
    }
    server->observe_load_report(report, now);
    schedule_after_event(*group, now, actions);
}

void owner_scheduler::state::set_remote_usage(std::string_view organisation,
                                              std::string_view service_class,
                                              remote_usage const& usage,
                                              time_point now)
{
    auto const index = organisations_.index_of(organisation);
    auto const served =
        organisations_.set_remote_usage(index, service_class, usage, now);
    auto const tier = tiers_by_class_.find(service_class);
    if (tier != tiers_by_class_.end()) {
        for (auto const& [name, group] : groups_) {
            group->charge_remote(index, tier->second, served);
        }
    }
    refresh_limits(index, now);
}

std::vector<released_request> owner_scheduler::state::drain(time_point)
{
    draining_ = true;
    std::vector<released_request> released;
    for (auto const id : queued_ids()) {
        auto& record = records_.at(id);
        record.group->dequeue(record);
        released.push_back(
            {std::move(record.value), record.tokens, record.has_run});
        records_.erase(id);
    }
    return released;
}

void owner_scheduler::state::schedule_after_event(server_group& group,
                                                  time_point now,
                                                  action_list& actions)
{
    release_due_organisations(now);
    schedule_group(group, now, actions);
    while (organisation_unblocked_) {
        organisation_unblocked_ = false;
        for (auto const& [name, other] : groups_) {
            schedule_group(*other, now, actions);
        }
    }
    request_wake_up(now, actions);
}

void owner_scheduler::state::schedule_all(time_point now, action_list& actions)
{
    release_due_organisations(now);
    do {
        organisation_unblocked_ = false;
        for (auto const& [name, group] : groups_) {
            schedule_group(*group, now, actions);
        }
    } while (organisation_unblocked_);
    request_wake_up(now, actions);
}

void owner_scheduler::state::schedule_group(server_group& group, time_point now,
                                            action_list& actions)
{
    // A deadline is the latest useful start, so a request whose deadline is
    // exactly now may still be dispatched.
    refuse_expired(group, now - duration{1}, now, actions);
    while (auto const* const record = group.dispatch_next(now, actions)) {
        refresh_limits(record->entry.organisation, now);
    }
    refuse_expired(group, now, now, actions);
    group.preempt_for_urgent(now, actions);
    while (auto const id = group.relieve_overflow(now, actions)) {
        refuse_record(records_.at(*id), refusal::queue_full, actions);
    }
    group.update_waiting(now);
}

std::vector<backend_server_summary>
owner_scheduler::state::summaries(time_point now) const
{
    std::vector<backend_server_summary> all;
    for (auto const& [name, group] : groups_) {
        group->summarise(now, all);
    }
    std::ranges::sort(all, {}, &backend_server_summary::backend_server);
    return all;
}

std::vector<organisation_usage> owner_scheduler::state::usage() const
{
    return organisations_.usage();
}

std::size_t owner_scheduler::state::queued() const
{
    std::size_t sum = 0;
    for (auto const& [name, group] : groups_) {
        sum += group->queued();
    }
    return sum;
}

std::size_t owner_scheduler::state::running() const
{
    std::size_t sum = 0;
    for (auto const& [name, group] : groups_) {
        sum += group->running();
    }
    return sum;
}

unsigned owner_scheduler::state::clamp_tier(unsigned tier)
{
    return std::min(tier, unsigned(max_tiers - 1));
}

unsigned owner_scheduler::state::slots_of(std::string_view group) const
{
    auto const found = slots_by_group_.find(group);
    return found == slots_by_group_.end()
               ? catalogue::backend_server_group{}.slots
               : found->second;
}

server_group& owner_scheduler::state::find_or_add_group(std::string const& name)
{
    auto& group = groups_[name];
    if (!group) {
        group = std::make_unique<server_group>(settings_, organisations_);
        group->set_slots_and_floors(slots_of(name), floors_by_tier_);
        for (organisation_index each = 0; each < limit_tracker_.size();
             ++each) {
            group->set_blocked(each, limit_tracker_.is_blocked(each));
        }
    }
    return *group;
}

request_record* owner_scheduler::state::find_record(request_id id)
{
    auto const found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

std::pair<server_group*, backend_server*>
owner_scheduler::state::find_server(std::string_view id)
{
    for (auto const& [name, group] : groups_) {
        auto* const server = group->find_server(id);
        if (server != nullptr && !server->removed()) {
            return {group.get(), server};
        }
    }
    return {nullptr, nullptr};
}

std::vector<request_id> owner_scheduler::state::queued_ids() const
{
    std::vector<request_id> ids;
    for (auto const& [id, record] : records_) {
        if (record.state == request_state::queued) {
            ids.push_back(id);
        }
    }
    std::ranges::sort(ids);
    return ids;
}

std::optional<refusal>
owner_scheduler::state::early_refusal(request_record const& record,
                                      time_point now) const
{
    if (draining_) {
        return refusal::draining;
    }
    if (!record.group->can_run(record.value.model)) {
        return refusal::no_backend_server;
    }
    return record.group->early_refusal(record, now);
}

void owner_scheduler::state::refuse_record(request_record& record,
                                           refusal reason, action_list& actions)
{
    ++record.usage->refused;
    auto const id = record.value.id;
    auto const at_once =
        reason == refusal::draining || reason == refusal::no_backend_server;
    auto const retry_after = at_once ? std::chrono::milliseconds{0}
                                     : record.group->retry_after(record);
    if (record.in_queue) {
        record.group->dequeue(record);
    }
    records_.erase(id);
    actions.emplace_back(refuse{id, reason, retry_after});
}

void owner_scheduler::state::refuse_expired(server_group& group,
                                            time_point latest_deadline,
                                            time_point now,
                                            action_list& actions)
{
    while (auto const id = group.first_expired(latest_deadline)) {
        auto& record = records_.at(*id);
        auto const limit_reached =
            limit_tracker_.is_blocked(record.entry.organisation) ||
            organisations_.at_limit(record.entry.organisation, now);
        refuse_record(record,
                      limit_reached ? refusal::organisation_limit
                                    : refusal::deadline,
                      actions);
    }
}

void owner_scheduler::state::requeue(request_record& record, bool ran,
                                     time_point now)
{
    auto& group = *record.group;
    group.release_slot(record, now);
    group.requeue(record, ran, now);
    refresh_limits(record.entry.organisation, now);
}

void owner_scheduler::state::hand_back_unservable(server_group& group,
                                                  action_list& actions)
{
    if (group.queued() == 0) {
        return;
    }
    for (auto const id : queued_ids()) {
        auto& record = records_.at(id);
        if (record.group != &group || group.can_run(record.value.model)) {
            continue;
        }
        group.dequeue(record);
        actions.emplace_back(hand_back{id, record.tokens, record.has_run});
        records_.erase(id);
    }
}

void owner_scheduler::state::erase_removed_servers(server_group& group)
{
    while (auto* const server = group.find_removable()) {
        for (auto& [id, record] : records_) {
            if (record.preferred == server) {
                record.preferred = nullptr;
            }
        }
        group.erase_server(*server);
    }
}

bool owner_scheduler::state::refresh_limits(organisation_index organisation,
                                            time_point now)
{
    if (!limit_tracker_.refresh(organisation, now)) {
        return false;
    }
    auto const blocked = limit_tracker_.is_blocked(organisation);
    for (auto const& [name, group] : groups_) {
        group->set_blocked(organisation, blocked);
    }
    organisation_unblocked_ = organisation_unblocked_ || !blocked;
    return true;
}

void owner_scheduler::state::release_due_organisations(time_point now)
{
    while (auto const organisation = limit_tracker_.pop_due(now)) {
        refresh_limits(*organisation, now);
    }
}

void owner_scheduler::state::request_wake_up(time_point now,
                                             action_list& actions)
{
    auto next = limit_tracker_.next_release();
    for (auto const& [name, group] : groups_) {
        if (auto const at = group->next_event(now)) {
            next = next ? std::min(*next, *at) : *at;
        }
    }
    // A wake-up that was announced for an earlier time is early enough.
    if (!next || (announced_wake_up_ && *announced_wake_up_ > now &&
                  *announced_wake_up_ <= *next)) {
        return;
    }
    announced_wake_up_ = next;
    actions.emplace_back(wake_up{*next});
}

} // namespace medlarstall::scheduling
