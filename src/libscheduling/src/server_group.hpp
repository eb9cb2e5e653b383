#ifndef MEDLARSTALL_SCHEDULING_SERVER_GROUP_HPP
#define MEDLARSTALL_SCHEDULING_SERVER_GROUP_HPP

#include "backend_server.hpp"
#include "organisation_table.hpp"
#include "preemption_policy.hpp"
#include "request_record.hpp"
#include "service_estimate.hpp"
#include "shed_policy.hpp"

#include <medlarstall/scheduling/action.hpp>
#include <medlarstall/scheduling/straggler_gate.hpp>
#include <medlarstall/scheduling/tier_queue.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::scheduling {

/// The backend servers of one group that this owner has, with their queue.
/// Owned by the scheduler, which also owns the records.
class server_group
{
public:
    /// \param settings how to schedule
    /// \param organisations limits and weights; must outlive the group
    server_group(scheduler_settings const& settings,
                 organisation_table& organisations);

    /// Sets what the catalogue says of the group.
    /// \param slots most requests running at once on a backend server
    /// \param floors least part of freed slots, by tier
    void set_policy(unsigned slots,
                    std::array<double, max_tiers> const& floors);

    /// Adds a backend server or changes its description.
    /// \param description what is known of it
    void add(backend_server_description const& description);

    /// \param id identifier
    /// \return the backend server, or null if the group has none of that name
    [[nodiscard]] backend_server* find(std::string_view id);

    /// \return a removed backend server that runs nothing, or null
    [[nodiscard]] backend_server* removable() const;

    /// Forgets a backend server that no record names any more.
    /// \param server backend server of this group
    void forget(backend_server const& server);

    /// Tells whether a backend server could run requests for a model.
    /// \param model name of the model, or empty
    /// \return false if none is left, even a busy one
    [[nodiscard]] bool can_run(std::string_view model) const;

    /// Fills in a record so that it can be pushed.
    /// \param record a new request of this group
    void prepare(request_record& record);

    /// Queues a request.
    /// \param record a prepared request that holds no slot
    void push(request_record& record);

    /// Takes a request out of the queue.
    /// \param record a queued request
    void erase(request_record& record);

    /// Starts the next request for which there is a slot.
    /// \param now current time
    /// \param actions receives the dispatch
    /// \return the request, or null if nothing can start
    request_record* dispatch_one(time_point now, action_list& actions);

    /// Gives the slot of a victim to a request of its tier or a more important
    /// one, by priority alone.
    /// \param slot backend server that the victim left
    /// \param tier tier of the victim
    /// \param now current time
    /// \param actions receives the dispatch
    /// \return the request, or null if there is none
    request_record* dispatch_instead(backend_server& slot, unsigned tier,
                                     time_point now, action_list& actions);

    /// Takes a request that lost its slot back into the queue.
    /// \param record a request that was released
    /// \param ran false if the backend server ran nothing of it
    /// \param now current time
    void requeue(request_record& record, bool ran, time_point now);

    /// Takes back the slot of a request.
    /// \param record a request that holds a slot
    /// \param now current time
    void release(request_record& record, time_point now);

    /// Preempts for the requests that would miss their target otherwise.
    /// \param now current time
    /// \param actions receives the preemptions
    void preempt_for_urgent(time_point now, action_list& actions);

    /// Notes a first token and learns from it.
    /// \param record a running request
    /// \param now current time
    void observe_first_token(request_record& record, time_point now);

    /// Notes tokens that came.
    /// \param record a running request
    /// \param count tokens
    /// \param now current time
    /// \return true if the request became a victim that urgent ones may need
    bool observe_tokens(request_record& record, std::uint32_t count,
                        time_point now);

    /// Charges tokens to the organisation of a request.
    /// \param record the request
    /// \param tokens amount; negative corrects an estimate
    /// \param now current time
    void charge(request_record& record, double tokens, time_point now);

    /// Notes that a request ends, to learn how long slots are held.
    /// \param record a request that holds a slot
    /// \param now current time
    void learn_holding(request_record const& record, time_point now);

    /// Notes that an answer is whole, to learn the usual output.
    /// \param record the request
    void learn_output(request_record const& record);

    /// Charges what a request generated in place of its estimate.
    /// \param record the request
    /// \param now current time
    void settle_charge(request_record& record, time_point now);

    /// Holds or releases the requests of an organisation.
    /// \param organisation index
    /// \param blocked true to hold
    void set_blocked(organisation_index organisation, bool blocked);

    /// Counts tokens that other owners served in a tier.
    /// \param organisation index
    /// \param tier tier of the class
    /// \param tokens amount
    void charge_remote(organisation_index organisation, unsigned tier,
                       double tokens);

    /// Notes which tiers wait; call after each event.
    /// \param now current time
    void note_waiting(time_point now) { queue_.note_waiting(now); }

    /// \param now current time
    /// \return a queued request that has not run and whose deadline passed
    [[nodiscard]] std::optional<request_id> expired(time_point now) const;

    /// \return the request to shed because too many wait, if that helps no
    ///     less important one; preempts instead where it can
    /// \param now current time
    /// \param actions receives a preemption
    std::optional<request_id> overflow(time_point now, action_list& actions);

    /// Tells whether a new request should be refused at once.
    /// \param record a prepared request that is not queued
    /// \param now current time
    /// \return the reason, or nothing
    [[nodiscard]] std::optional<refusal> hopeless(request_record const& record,
                                                  time_point now) const;

    /// \param record the refused request
    /// \return when its caller may try again
    [[nodiscard]] std::chrono::milliseconds
    retry_after(request_record const& record) const;

    /// \param now current time
    /// \return when the group has to be looked at again, if ever
    [[nodiscard]] std::optional<time_point> next_event(time_point now) const;

    /// Appends a summary for each backend server, in order of names.
    /// \param now current time
    /// \param summaries receives them
    void summarise(time_point now,
                   std::vector<backend_server_summary>& summaries) const;

    /// \return requests that wait
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }

    /// \return requests that hold a slot
    [[nodiscard]] std::size_t running() const { return running_.size(); }

private:
    /// Why a request can not run next to others.
    enum class lane_kind : lane_index
    {
        ordinary,
        long_running,
        isolated
    };

    static constexpr lane_index kinds = 3;

    /// Order of a time, with the request that it belongs to.
    struct timer
    {
        time_point at;
        request_id id = 0;
        request_record* record = nullptr;

        auto operator<=>(timer const& other) const
        {
            return std::pair{at, id} <=> std::pair{other.at, other.id};
        }
        bool operator==(timer const& other) const { return id == other.id; }
    };

    lane_index model_of(std::string_view model);
    void assign_lane(request_record& record);
    open_lanes lanes_of(backend_server const& server, time_point now);
    [[nodiscard]] bool serves_lane(backend_server const& server,
                                   lane_index lane, time_point now) const;
    [[nodiscard]] unsigned long_below(time_point now) const;
    [[nodiscard]] bool has_slot(time_point now) const;
    [[nodiscard]] unsigned limit(time_point now) const;
    [[nodiscard]] unsigned slots() const;
    request_record* affine(tier_queue::choice const& choice,
                           backend_server& server) const;
    backend_server& best_server(request_record const& record,
                                backend_server& otherwise,
                                time_point now) const;
    backend_server* next_free(time_point now);
    void start(request_record& record, backend_server& server, bool by_floor,
               time_point now, action_list& actions);
    void mark_urgent(time_point now);
    void mark_late(time_point now);
    bool preempt_for(unsigned tier, lane_index lane, time_point now,
                     action_list& actions);
    [[nodiscard]] request_record* victim_for(unsigned tier, lane_index lane,
                                             time_point now) const;
    [[nodiscard]] duration expected_wait(unsigned tier, double ahead) const;
    [[nodiscard]] duration expected_wait(request_record const& record,
                                         time_point now) const;
    [[nodiscard]] double queued_above(unsigned tier) const;
    [[nodiscard]] bool lower_tier_queued(unsigned tier) const;

    scheduler_settings settings_;
    organisation_table& organisations_;
    shed_policy shedding_;
    preemption_policy preemption_;
    straggler_gate gate_;
    service_estimate estimate_;
    tier_queue queue_;
    unsigned slots_per_server_ = 8;
    std::map<std::string, std::unique_ptr<backend_server>, std::less<>>
        servers_;
    std::vector<std::string> models_; ///< A model has one lane of each kind.
    std::vector<request_record*> running_;
    unsigned long_victims_ = 0;         ///< Victims under way that are long.
    std::vector<unsigned> replacing_;   ///< Victims under way, by lane.
    std::set<timer> deadlines_;         ///< Of the queued that have not run.
    std::set<timer> latest_starts_;     ///< Of the queued not yet urgent.
    std::set<timer> urgent_;            ///< Of the urgent not yet late.
    std::vector<lane_index> lanes_;     ///< Scratch of one dispatch.
    std::vector<backend_server*> free_; ///< Scratch of one dispatch.
};

} // namespace medlarstall::scheduling

#endif
