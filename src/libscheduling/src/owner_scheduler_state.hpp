#ifndef MEDLARSTALL_SCHEDULING_OWNER_SCHEDULER_STATE_HPP
#define MEDLARSTALL_SCHEDULING_OWNER_SCHEDULER_STATE_HPP

#include "organisation_gate.hpp"
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

/// What an owner_scheduler keeps: the records, and the groups that decide.
class owner_scheduler::state
{
public:
    explicit state(scheduler_settings settings);

    void set_policy(catalogue::catalogue const& entries, time_point now);
    void add_backend_server(backend_server_description const& description,
                            time_point now, action_list& actions);
    void leave_backend_server(std::string_view id, bool remove, time_point now,
                              action_list& actions);
    bool enqueue(request value, time_point now, action_list& actions);
    void first_token(request_id id, time_point now, action_list& actions);
    void tokens(request_id id, std::uint32_t count, time_point now,
                action_list& actions);
    void end(request_id id, bool whole, time_point now, action_list& actions);
    void bounced(request_id id, time_point now, action_list& actions);
    void preempted(request_id id, time_point now, action_list& actions);
    void load_reported(std::string_view id, load_report const& report,
                       time_point now, action_list& actions);
    void set_remote_usage(std::string_view organisation,
                          std::string_view service_class,
                          remote_usage const& usage, time_point now);
    std::vector<released_request> drain(time_point now);

    /// Dispatches, preempts, refuses what expired, and asks for a wake-up.
    void settle(server_group& group, time_point now, action_list& actions);
    void settle_all(time_point now, action_list& actions);
    void forget_wake_up() { announced_.reset(); }

    [[nodiscard]] std::vector<backend_server_summary>
    summaries(time_point now) const;
    [[nodiscard]] std::vector<organisation_usage> usage() const;
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t running() const;

private:
    [[nodiscard]] static unsigned tier_of(unsigned tier);
    [[nodiscard]] unsigned slots_of(std::string_view group) const;
    server_group& group_of(std::string const& name);
    [[nodiscard]] request_record* find(request_id id);
    [[nodiscard]] std::pair<server_group*, backend_server*>
    find_server(std::string_view id);
    [[nodiscard]] std::vector<request_id> queued_ids() const;
    [[nodiscard]] std::optional<refusal>
    reason_to_refuse(request_record const& record, time_point now) const;
    void refuse_record(request_record& record, refusal reason,
                       action_list& actions);
    void refuse_expired(server_group& group, time_point before, time_point now,
                        action_list& actions);
    void requeue(request_record& record, bool ran, time_point now);
    void hand_over_stranded(server_group& group, action_list& actions);
    void forget_removed_servers(server_group& group);
    void settle_group(server_group& group, time_point now,
                      action_list& actions);
    bool refresh_limits(organisation_index organisation, time_point now);
    void release_limited(time_point now);
    void ask_for_wake_up(time_point now, action_list& actions);

    scheduler_settings settings_;
    organisation_table organisations_;
    organisation_gate gate_{organisations_};
    std::map<std::string, unsigned, std::less<>> slots_; ///< By group.
    std::map<std::string, unsigned, std::less<>> tiers_; ///< By class.
    std::array<double, max_tiers> floors_{};
    std::map<std::string, std::unique_ptr<server_group>, std::less<>> groups_;
    std::unordered_map<request_id, request_record> records_;
    bool others_changed_ = false; ///< A limit changed what groups may start.
    bool draining_ = false;
    std::optional<time_point> announced_;
};

} // namespace medlarstall::scheduling

#endif
