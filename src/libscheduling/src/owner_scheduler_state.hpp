#ifndef MEDLARSTALL_SCHEDULING_OWNER_SCHEDULER_STATE_HPP
#define MEDLARSTALL_SCHEDULING_OWNER_SCHEDULER_STATE_HPP

#include "organisation_limit_tracker.hpp"
#include "organisation_table.hpp"
#include "request_record.hpp"
#include "server_group.hpp"

#include <medlarstall/scheduling/owner_scheduler.hpp>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace medlarstall::scheduling {

/// Implementation of owner_scheduler: the request records and the groups of
/// backend servers.
class owner_scheduler::state
{
public:
    explicit state(scheduler_settings settings);

    void apply_catalogue(catalogue::catalogue const& entries, time_point now);
    void add_backend_server(backend_server_description const& description,
                            time_point now, action_list& actions);
    void retire_backend_server(std::string_view id, bool remove, time_point now,
                               action_list& actions);
    bool enqueue(request value, time_point now, action_list& actions);
    void first_token_received(request_id id, time_point now,
                              action_list& actions);
    void tokens_received(request_id id, std::uint32_t count, time_point now,
                         action_list& actions);
    void end_request(request_id id, bool complete, time_point now,
                     action_list& actions);
    void rejected_as_busy(request_id id, time_point now, action_list& actions);
    void preempted(request_id id, time_point now, action_list& actions);
    void load_reported(std::string_view id, load_report const& report,
                       time_point now, action_list& actions);
    void set_remote_usage(std::string_view organisation,
                          std::string_view service_class,
                          remote_usage const& usage, time_point now);
    std::vector<released_request> drain(time_point now);

    /// Dispatches, preempts and refuses in a group after an event, and in all
    /// groups if organisations are no longer at a limit. Then updates the
    /// wake-up.
    void schedule_after_event(server_group& group, time_point now,
                              action_list& actions);
    void schedule_all(time_point now, action_list& actions);
    void clear_wake_up() { announced_wake_up_.reset(); }

    [[nodiscard]] std::vector<backend_server_summary>
    summaries(time_point now) const;
    [[nodiscard]] std::vector<organisation_usage> usage() const;
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t running() const;

private:
    [[nodiscard]] static unsigned clamp_tier(unsigned tier);
    [[nodiscard]] unsigned slots_of(std::string_view group) const;
    server_group& find_or_add_group(std::string const& name);
    [[nodiscard]] request_record* find_record(request_id id);
    [[nodiscard]] std::pair<server_group*, backend_server*>
    find_server(std::string_view id);
    [[nodiscard]] std::vector<request_id> queued_ids() const;
    [[nodiscard]] std::optional<refusal>
    early_refusal(request_record const& record, time_point now) const;
    void refuse_record(request_record& record, refusal reason,
                       action_list& actions);
    void refuse_expired(server_group& group, time_point latest_deadline,
                        time_point now, action_list& actions);
    void requeue(request_record& record, bool ran, time_point now);
    void hand_back_unservable(server_group& group, action_list& actions);
    void erase_removed_servers(server_group& group);
    void schedule_group(server_group& group, time_point now,
                        action_list& actions);
    bool refresh_limits(organisation_index organisation, time_point now);
    void release_due_organisations(time_point now);
    void request_wake_up(time_point now, action_list& actions);

    scheduler_settings settings_;
    organisation_table organisations_;
    organisation_limit_tracker limit_tracker_{organisations_};
    /// Slots of each backend server in a group.
    std::map<std::string, unsigned, std::less<>> slots_by_group_;
    std::map<std::string, unsigned, std::less<>> tiers_by_class_;
    std::array<double, max_tiers> floors_by_tier_{};
    std::map<std::string, std::unique_ptr<server_group>, std::less<>> groups_;
    std::unordered_map<request_id, request_record> records_;
    /// An organisation left its limit since the last pass over all groups.
    bool organisation_unblocked_ = false;
    bool draining_ = false;
    std::optional<time_point> announced_wake_up_; ///< Time of the last one.
};

} // namespace medlarstall::scheduling

#endif
