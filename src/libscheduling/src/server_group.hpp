#ifndef MEDLARSTALL_SCHEDULING_SERVER_GROUP_HPP
#define MEDLARSTALL_SCHEDULING_SERVER_GROUP_HPP

#include "backend_server.hpp"
#include "organisation_table.hpp"
#include "preemption_policy.hpp"
#include "request_record.hpp"
#include "service_estimate.hpp"
#include "shed_policy.hpp"

#include <medlarstall/scheduling/action.hpp>
#include <medlarstall/scheduling/long_request_limiter.hpp>
#include <medlarstall/scheduling/tier_queue.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::scheduling {

/// The backend servers of one group at this owner, and the queue for them.
/// Owned by the scheduler, which also owns the request records.
class server_group
{
public:
    /// \param settings limits and thresholds of the scheduler
    /// \param organisations limits and weights; must outlive the group
    server_group(scheduler_settings const& settings,
                 organisation_table& organisations);

    /// Applies the catalogue entries for the group.
    /// \param slots number of requests that one backend server can run at once
    /// \param floors guaranteed fraction of the freed slots, by tier
    void set_slots_and_floors(unsigned slots,
                              std::array<double, max_tiers> const& floors);

    /// Adds a backend server or replaces its description.
    /// \param description properties of the backend server
    void add_or_update_server(backend_server_description const& description);

    /// \param id identifier of a backend server
    /// \return the backend server, or null if it is not in the group
    [[nodiscard]] backend_server* find_server(std::string_view id);

    /// \return a backend server that is marked for removal and runs nothing, or
    ///     null
    [[nodiscard]] backend_server* find_removable() const;

    /// Erases a backend server. No record may refer to it any more.
    /// \param server backend server of this group
    void erase_server(backend_server const& server);

    /// Checks whether any backend server, busy or not, can run a model.
    /// \param model name of the model, or empty
    /// \return false if all that could run it are leaving or removed
    [[nodiscard]] bool can_run(std::string_view model) const;

    /// Fills in the parts of a record that the queue needs.
    /// \param record a new request of this group
    void prepare(request_record& record);

    /// Adds a request to the queue.
    /// \param record a prepared request that holds no slot
    void enqueue(request_record& record);

    /// Removes a request from the queue.
    /// \param record a queued request
    void dequeue(request_record& record);

    /// Dispatches the next request for which a slot is free.
    /// \param now current time
    /// \param actions receives the dispatch
    /// \return the request, or null if none can start
    request_record* dispatch_next(time_point now, action_list& actions);

    /// Gives the slot of a preempted request to one of the same tier or a more
    /// important one, by priority alone.
    /// \param server backend server on which the victim ran
    /// \param tier tier of the victim
    /// \param now current time
    /// \param actions receives the dispatch
    /// \return the dispatched request, or null if there is none
    request_record* dispatch_to_freed_slot(backend_server& server,
                                           unsigned tier, time_point now,
                                           action_list& actions);

    /// Queues a request again after it lost its slot.
    /// \param record a request whose slot was released
    /// \param ran false if the backend server has run nothing of it
    /// \param now current time
    void requeue(request_record& record, bool ran, time_point now);

    /// Releases the slot of a request.
    /// \param record a request that holds a slot
    /// \param now current time
    void release_slot(request_record& record, time_point now);

    /// Preempts running requests for queued ones that would otherwise miss
    /// their first-token target.
    /// \param now current time
    /// \param actions receives the preemptions
    void preempt_for_urgent(time_point now, action_list& actions);

    /// Records a first token and updates the latency estimates.
    /// \param record a running request
    /// \param now current time
    void observe_first_token(request_record& record, time_point now);

    /// Records generated tokens.
    /// \param record a request of this group
    /// \param count number of tokens since the last call
    /// \param now current time
    /// \return true if the request may now be preempted for an urgent one and
    ///     could not be before
    bool observe_tokens(request_record& record, std::uint32_t count,
                        time_point now);

    /// Charges tokens to the organisation of a request.
    /// \param record the request that used them
    /// \param tokens number of tokens; negative to correct an estimate
    /// \param now current time
    void charge(request_record& record, double tokens, time_point now);

    /// Updates the mean time that slots are held when a request ends.
    /// \param record a request that holds a slot
    /// \param now current time
    void observe_slot_time(request_record const& record, time_point now);

    /// Updates the typical output length when an answer is complete.
    /// \param record the finished request
    void observe_output(request_record const& record);

    /// Replaces the estimated charge of a request by what it has generated.
    /// \param record the request whose charge is corrected
    /// \param now current time
    void reconcile_charge(request_record& record, time_point now);

    /// Blocks or unblocks the queued requests of an organisation.
    /// \param organisation index of the organisation
    /// \param blocked true to block them
    void set_blocked(organisation_index organisation, bool blocked);

    /// Counts tokens that other owners served in a tier.
    /// \param organisation index of the organisation
    /// \param tier tier of the service class
    /// \param tokens number of tokens
    void charge_remote(organisation_index organisation, unsigned tier,
                       double tokens);

    /// Updates which tiers are waiting; call it after each event.
    /// \param now current time
    void update_waiting(time_point now) { queue_.update_waiting(now); }

    /// \param now current time
    /// \return the queued request with the earliest deadline among those that
    ///     have not run, if that deadline has passed; empty otherwise
    [[nodiscard]] std::optional<request_id> first_expired(time_point now) const;

    /// Reacts to a queue that is too long: preempts a running request if
    /// possible, and otherwise chooses a queued one to shed.
    /// \param now current time
    /// \param actions receives a preemption
    /// \return the request to shed, from the least important tier queued; empty
    ///     if the queue is short enough or a request was preempted
    std::optional<request_id> relieve_overflow(time_point now,
                                               action_list& actions);

    /// Decides whether a new request is refused without being queued.
    /// \param record a prepared request that is not queued
    /// \param now current time
    /// \return the reason; empty if it is accepted
    [[nodiscard]] std::optional<refusal>
    early_refusal(request_record const& record, time_point now) const;

    /// \param record the refused request
    /// \return delay after which its caller may retry
    [[nodiscard]] std::chrono::milliseconds
    retry_after(request_record const& record) const;

    /// \param now current time
    /// \return when the group has to be scheduled again; empty if only another
    ///     event can change something
    [[nodiscard]] std::optional<time_point> next_event(time_point now) const;

    /// Appends a summary for each backend server, ordered by identifier.
    /// \param now current time
    /// \param summaries receives the summaries
    void summarise(time_point now,
                   std::vector<backend_server_summary>& summaries) const;

    /// \return number of queued requests
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }

    /// \return number of requests that hold a slot
    [[nodiscard]] std::size_t running() const { return running_.size(); }

private:
    /// Restriction on which requests may run at the same time.
    enum class lane_kind : lane_index
    {
        ordinary,
        long_running,
        isolated
    };

    static constexpr lane_index lane_kind_count = 3;

    /// A request with a time by which it is ordered.
    struct timed_request
    {
        time_point at;
        request_id id = 0;
        request_record* record = nullptr;

        auto operator<=>(timed_request const& other) const
        {
            return std::pair{at, id} <=> std::pair{other.at, other.id};
        }
        bool operator==(timed_request const& other) const
        {
            return id == other.id;
        }
    };

    lane_index model_index(std::string_view model);
    void assign_lane(request_record& record);
    eligible_lanes find_eligible_lanes(backend_server const& server,
                                       time_point now);
    [[nodiscard]] bool serves_lane(backend_server const& server,
                                   lane_index lane, time_point now) const;
    [[nodiscard]] unsigned long_allowed_below(time_point now) const;
    [[nodiscard]] bool has_free_slot(time_point now) const;
    [[nodiscard]] unsigned limit(time_point now) const;
    [[nodiscard]] unsigned slots() const;
    request_record* choose_by_affinity(tier_queue::choice const& choice,
                                       backend_server& server) const;
    backend_server& preferred_or_fallback(request_record const& record,
                                          backend_server& fallback,
                                          time_point now) const;
    backend_server* least_utilised_free_server(time_point now);
    void start_request(request_record& record, backend_server& server,
                       bool by_floor, time_point now, action_list& actions);
    void mark_urgent(time_point now);
    void mark_late(time_point now);
    bool preempt_one(unsigned tier, lane_index lane, time_point now,
                     action_list& actions);
    [[nodiscard]] request_record* find_victim(unsigned tier, lane_index lane,
                                              time_point now) const;
    [[nodiscard]] duration expected_wait(unsigned tier, double ahead) const;
    [[nodiscard]] duration expected_wait(request_record const& record,
                                         time_point now) const;
    [[nodiscard]] double queued_at_or_above(unsigned tier) const;
    [[nodiscard]] bool less_important_sheddable(unsigned tier) const;

    scheduler_settings settings_;
    organisation_table& organisations_;
    shed_policy shed_policy_;
    preemption_policy preemption_policy_;
    long_request_limiter long_requests_;
    service_estimate service_estimate_;
    tier_queue queue_;
    unsigned slots_per_server_ = 8;
    std::map<std::string, std::unique_ptr<backend_server>, std::less<>>
        servers_;
    std::vector<std::string> models_; ///< Each model has one lane per kind.
    std::vector<request_record*> running_;
    unsigned preempting_long_ = 0; ///< Long victims being cancelled.
    std::vector<unsigned> preempting_by_lane_; ///< Victims being cancelled.
    std::set<timed_request> deadlines_; ///< Of queued ones that have not run.
    std::set<timed_request> latest_starts_;      ///< Of those not yet urgent.
    std::set<timed_request> urgent_;             ///< Urgent, but not late yet.
    std::vector<lane_index> lanes_buffer_;       ///< Reused between dispatches.
    std::vector<backend_server*> tried_servers_; ///< During one dispatch.
};

} // namespace medlarstall::scheduling

#endif
