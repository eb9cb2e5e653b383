#include "owner_scheduler_state.hpp"

#include <medlarstall/catalogue/catalogue.hpp>

#include <algorithm>

namespace medlarstall::scheduling {

owner_scheduler::state::state(scheduler_settings settings)
    : settings_{std::move(settings)}
{}

void owner_scheduler::state::set_policy(catalogue::catalogue const& entries,
                                        time_point now)
{
    organisations_.set_policy(entries, now);
    slots_.clear();
    for (auto const& [name, entry] : entries.groups) {
        slots_[name] = entry.value.slots;
    }
    tiers_.clear();
    floors_.fill(0);
    for (auto const& [name, entry] : entries.classes) {
        auto const tier = tier_of(entry.value.tier);
        tiers_[name] = tier;
        floors_[tier] += entry.value.floor;
    }
    for (auto const& [name, group] : groups_) {
        group->set_policy(slots_of(name), floors_);
    }
    for (organisation_index each = 0; each < organisations_.size(); ++each) {
        refresh_limits(each, now);
    }
}

void owner_scheduler::state::add_backend_server(
    backend_server_description const& description, time_point now,
    action_list& actions)
{
    auto const [former, server] = find_server(description.id);
    if (former != nullptr && server->description().group != description.group) {
        leave_backend_server(description.id, true, now, actions);
    }
    auto& group = group_of(description.group);
    group.add(description);
    hand_over_stranded(group, actions);
}

void owner_scheduler::state::leave_backend_server(std::string_view id,
                                                  bool remove, time_point,
                                                  action_list& actions)
{
    auto const [group, server] = find_server(id);
    if (group == nullptr) {
        return;
    }
    if (remove) {
        server->remove();
    } else {
        server->leave();
    }
    hand_over_stranded(*group, actions);
    forget_removed_servers(*group);
}

bool owner_scheduler::state::enqueue(request value, time_point now,
                                     action_list& actions)
{
    auto const [place, added] = records_.try_emplace(value.id);
    if (!added) {
        return false;
    }
    auto& record = place->second;
    value.tier = tier_of(value.tier);
    record.value = std::move(value);
    auto const organisation =
        organisations_.index_of(record.value.organisation);
    record.entry.organisation = organisation;
    record.usage =
        &organisations_.usage(organisation, record.value.service_class);
    record.group = &group_of(record.value.group);
    auto& group = *record.group;
    group.prepare(record);
    if (auto const reason = reason_to_refuse(record, now)) {
        refuse_record(record, *reason, actions);
    } else {
        group.push(record);
        refresh_limits(organisation, now);
    }
    settle(group, now, actions);
    return true;
}

void owner_scheduler::state::first_token(request_id id, time_point now,
                                         action_list& actions)
{
    auto* const record = find(id);
    if (record == nullptr || record->server == nullptr || record->first_seen) {
        return;
    }
    auto const before = record->server->limit(now);
    record->group->observe_first_token(*record, now);
    if (record->server->limit(now) > before) {
        settle(*record->group, now, actions);
    }
}

void owner_scheduler::state::tokens(request_id id, std::uint32_t count,
                                    time_point now, action_list& actions)
{
    auto* const record = find(id);
    if (record == nullptr) {
        return;
    }
    auto& group = *record->group;
    auto const* const server = record->server;
    auto const before = server ? server->limit(now) : 0;
    if (server != nullptr && !record->first_seen) {
        group.observe_first_token(*record, now);
    }
    auto const new_victim = group.observe_tokens(*record, count, now);
    if (refresh_limits(record->entry.organisation, now)) {
        ask_for_wake_up(now, actions);
    }
    auto const grown = server != nullptr && server->limit(now) > before;
    if ((grown || new_victim) && group.queued() > 0) {
        settle(group, now, actions);
    }
}

void owner_scheduler::state::end(request_id id, bool whole, time_point now,
                                 action_list& actions)
{
    auto* const record = find(id);
    if (record == nullptr) {
        return;
    }
    auto& group = *record->group;
    auto const organisation = record->entry.organisation;
    if (record->state == request_state::queued) {
        group.erase(*record);
    } else {
        group.learn_holding(*record, now);
        group.release(*record, now);
    }
    if (whole) {
        group.learn_output(*record);
    }
    group.settle_charge(*record, now);
    records_.erase(id);
    refresh_limits(organisation, now);
    forget_removed_servers(group);
    settle(group, now, actions);
}

void owner_scheduler::state::bounced(request_id id, time_point now,
                                     action_list& actions)
{
    auto* const record = find(id);
    if (record == nullptr || record->server == nullptr) {
        return;
    }
    auto& group = *record->group;
    record->server->observe_bounce(now);
    requeue(*record, false, now);
    hand_over_stranded(group, actions); // May end the request.
    forget_removed_servers(group);
    settle(group, now, actions);
}

void owner_scheduler::state::preempted(request_id id, time_point now,
                                       action_list& actions)
{
    auto* const record = find(id);
    if (record == nullptr || record->state != request_state::preempting) {
        return;
    }
    auto& group = *record->group;
    auto& slot = *record->server;
    auto const tier = record->value.tier;
    ++record->preemptions;
    requeue(*record, true, now);
    auto const* const next = group.dispatch_instead(slot, tier, now, actions);
    if (next != nullptr) {
        refresh_limits(next->entry.organisation, now);
    }
    hand_over_stranded(group, actions);
    forget_removed_servers(group);
    settle(group, now, actions);
}

void owner_scheduler::state::load_reported(std::string_view id,
                                           load_report const& report,
                                           time_point now, action_list& actions)
{
    auto const [group, server] = find_server(id);
    if (group == nullptr) {
        return;
    }
    server->observe_report(report, now);
    settle(*group, now, actions);
}

void owner_scheduler::state::set_remote_usage(std::string_view organisation,
                                              std::string_view service_class,
                                              remote_usage const& usage,
                                              time_point now)
{
    auto const index = organisations_.index_of(organisation);
    auto const served =
        organisations_.set_remote(index, service_class, usage, now);
    auto const tier = tiers_.find(service_class);
    if (tier != tiers_.end()) {
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
        record.group->erase(record);
        released.push_back(
            {std::move(record.value), record.tokens, record.has_run});
        records_.erase(id);
    }
    return released;
}

void owner_scheduler::state::settle(server_group& group, time_point now,
                                    action_list& actions)
{
    release_limited(now);
    settle_group(group, now, actions);
    while (others_changed_) {
        others_changed_ = false;
        for (auto const& [name, other] : groups_) {
            settle_group(*other, now, actions);
        }
    }
    ask_for_wake_up(now, actions);
}

void owner_scheduler::state::settle_all(time_point now, action_list& actions)
{
    release_limited(now);
    do {
        others_changed_ = false;
        for (auto const& [name, group] : groups_) {
            settle_group(*group, now, actions);
        }
    } while (others_changed_);
    ask_for_wake_up(now, actions);
}

void owner_scheduler::state::settle_group(server_group& group, time_point now,
                                          action_list& actions)
{
    // A deadline is the latest useful start: what is due now may still start.
    refuse_expired(group, now - duration{1}, now, actions);
    while (auto const* const record = group.dispatch_one(now, actions)) {
        refresh_limits(record->entry.organisation, now);
    }
    refuse_expired(group, now, now, actions);
    group.preempt_for_urgent(now, actions);
    while (auto const id = group.overflow(now, actions)) {
        refuse_record(records_.at(*id), refusal::queue_full, actions);
    }
    group.note_waiting(now);
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

unsigned owner_scheduler::state::tier_of(unsigned tier)
{
    return std::min(tier, unsigned(max_tiers - 1));
}

unsigned owner_scheduler::state::slots_of(std::string_view group) const
{
    auto const found = slots_.find(group);
    return found == slots_.end() ? catalogue::backend_server_group{}.slots
                                 : found->second;
}

server_group& owner_scheduler::state::group_of(std::string const& name)
{
    auto& group = groups_[name];
    if (!group) {
        group = std::make_unique<server_group>(settings_, organisations_);
        group->set_policy(slots_of(name), floors_);
        for (organisation_index each = 0; each < gate_.size(); ++each) {
            group->set_blocked(each, gate_.blocked(each));
        }
    }
    return *group;
}

request_record* owner_scheduler::state::find(request_id id)
{
    auto const found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

std::pair<server_group*, backend_server*>
owner_scheduler::state::find_server(std::string_view id)
{
    for (auto const& [name, group] : groups_) {
        auto* const server = group->find(id);
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
owner_scheduler::state::reason_to_refuse(request_record const& record,
                                         time_point now) const
{
    if (draining_) {
        return refusal::draining;
    }
    if (!record.group->can_run(record.value.model)) {
        return refusal::no_backend_server;
    }
    return record.group->hopeless(record, now);
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
    if (record.entry_queued) {
        record.group->erase(record);
    }
    records_.erase(id);
    actions.emplace_back(refuse{id, reason, retry_after});
}

void owner_scheduler::state::refuse_expired(server_group& group,
                                            time_point before, time_point now,
                                            action_list& actions)
{
    while (auto const id = group.expired(before)) {
        auto& record = records_.at(*id);
        auto const limited =
            gate_.blocked(record.entry.organisation) ||
            organisations_.at_limit(record.entry.organisation, now);
        refuse_record(record,
                      limited ? refusal::organisation_limit : refusal::deadline,
                      actions);
    }
}

void owner_scheduler::state::requeue(request_record& record, bool ran,
                                     time_point now)
{
    auto& group = *record.group;
    group.release(record, now);
    group.requeue(record, ran, now);
    refresh_limits(record.entry.organisation, now);
}

void owner_scheduler::state::hand_over_stranded(server_group& group,
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
        group.erase(record);
        actions.emplace_back(hand_over{id, record.tokens, record.has_run});
        records_.erase(id);
    }
}

void owner_scheduler::state::forget_removed_servers(server_group& group)
{
    while (auto* const server = group.removable()) {
        for (auto& [id, record] : records_) {
            if (record.preferred == server) {
                record.preferred = nullptr;
            }
        }
        group.forget(*server);
    }
}

bool owner_scheduler::state::refresh_limits(organisation_index organisation,
                                            time_point now)
{
    if (!gate_.refresh(organisation, now)) {
        return false;
    }
    auto const blocked = gate_.blocked(organisation);
    for (auto const& [name, group] : groups_) {
        group->set_blocked(organisation, blocked);
    }
    others_changed_ = others_changed_ || !blocked;
    return true;
}

void owner_scheduler::state::release_limited(time_point now)
{
    while (auto const organisation = gate_.take_due(now)) {
        refresh_limits(*organisation, now);
    }
}

void owner_scheduler::state::ask_for_wake_up(time_point now,
                                             action_list& actions)
{
    auto next = gate_.next();
    for (auto const& [name, group] : groups_) {
        if (auto const at = group->next_event(now)) {
            next = next ? std::min(*next, *at) : *at;
        }
    }
    // An earlier wake-up that was announced does no harm.
    if (!next || (announced_ && *announced_ > now && *announced_ <= *next)) {
        return;
    }
    announced_ = next;
    actions.emplace_back(wake_up{*next});
}

} // namespace medlarstall::scheduling
