#ifndef MEDLARSTALL_GATEWAY_DUTY_SERVICE_HPP
#define MEDLARSTALL_GATEWAY_DUTY_SERVICE_HPP

#include <medlarstall/duty/lease_policy.hpp>
#include <medlarstall/gateway/duty_client.hpp>
#include <medlarstall/gateway/duty_handle.hpp>
#include <medlarstall/gateway/duty_settings.hpp>
#include <medlarstall/gateway/gateway_metrics.hpp>
#include <medlarstall/gateway/record_store.hpp>
#include <medlarstall/gateway/structured_log.hpp>
#include <medlarstall/gateway/suspension_watch.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::gateway {

/// What a service of duties needs of its gateway.
struct duty_context
{
    record_store store;
    duty_client client;
    std::function<time_point()> now;
    std::function<clock_readings()> clocks;
    /// Tells the peers of the lease at once.
    std::function<void()> announce;
    structured_log& log;
    gateway_metrics& metrics;
};

/// Takes part in the lease of the exclusive duties, and makes their calls while
/// this daemon is the holder. Created by the gateway if the settings name a
/// duty.
class duty_service : public std::enable_shared_from_this<duty_service>
{
public:
    /// State of the lease for operators.
    struct lease_status
    {
        bool is_holder = false;
        duty::fencing_token token = 0; ///< Newest one known; 0 if none is.
        std::string holder;            ///< Newest one known.
        duration valid_for{0}; ///< For how long this daemon may still act.
        duration age{0}; ///< Time since the last renewal that is known of.
    };

    /// \param context what it needs of its gateway
    /// \param settings limits of the duties
    /// \param daemon name of this daemon
    /// \param incarnation number that differs with each start of this daemon
    duty_service(duty_context context, duty_settings const& settings,
                 std::string daemon, std::uint64_t incarnation);

    /// Adds a duty before the first tick.
    /// \param duty functions of the duty
    void add(duty_handle duty);

    /// Does what is due. Called about every 100 ms.
    /// \param place number of live daemons before this one, in the order of the
    ///     hashes of the names
    /// \param live number of the other daemons that are live
    /// \param known number of the other daemons that are known
    void tick(std::size_t place, std::size_t live, std::size_t known);

    /// A peer has told of the lease.
    /// \param notice what it has told
    void on_notice(duty::lease_notice const& notice);

    /// A daemon has left the fleet.
    /// \param name name of that daemon
    void on_daemon_left(std::string const& name);

    /// \param era era of the store, as other topics tell
    void on_era(std::uint64_t era) { policy_.on_era(era); }

    /// The machine was suspended.
    void on_suspended();

    /// Makes no further calls, and releases the lease.
    void stop();

    /// Selects what to tell peers with the next update. Only the holder, the
    /// first daemons in the order of the names, and those that have just read
    /// the store tell of each renewal, and only once: if all daemons of a cell
    /// did with each update, that would take most of the bytes that control
    /// work may take.
    /// \return the notice; empty if there is nothing to tell
    [[nodiscard]] std::optional<duty::lease_notice> take_notice();

    /// \return true if this daemon is the holder and may act
    [[nodiscard]] bool is_active() const;

    /// \return state of the lease
    [[nodiscard]] lease_status status() const;

private:
    /// A duty of this daemon and what is stored of it.
    struct held_duty
    {
        duty_handle functions;
        std::optional<std::uint64_t> stored_revision;
    };

    /// A call of a duty.
    struct open_call
    {
        std::size_t duty = 0; ///< Index of the duty.
        duty::duty_call call;
        duty::fencing_token token = 0;
        time_point sent_at;
    };

    using revisions = std::vector<std::uint64_t>;

    void check_suspension();
    void run_policy();
    void perform(duty::read_topic const& action);
    void perform(duty::append_record const& action);
    void perform(duty::became_holder const& action);
    void perform(duty::states_stored const& action);
    void perform(duty::lost_lease const& action);
    void on_topic_read(read_result const& outcome);
    void on_appended(append_outcome const& outcome);
    [[nodiscard]] bool has_content_to_store() const;
    [[nodiscard]] duty::duty_states collect_states();
    void make_calls();
    void queue_due_calls(time_point now);
    void send_call(open_call call, time_point now);
    void on_response(open_call const& call, duty_response response);
    void on_conflict(open_call const& call, time_point now);
    void on_unanswered(open_call const& call, duty_response response,
                       time_point now);
    void end_call(open_call const& call, duty::call_outcome outcome,
                  time_point now);
    void return_unsent_calls(time_point now);
    void settle_conflicts(time_point now);
    void delay_calls(time_point now);
    void consider_step_down(time_point now, std::size_t live);
    void release_when_quiet(time_point now);
    [[nodiscard]] bool may_call(time_point now) const;

    duty_context context_;
    duty_settings settings_;
    std::string daemon_;
    duty::lease_settings times_;
    duty::lease_policy policy_;
    suspension_watch watch_;
    std::size_t place_ = 0; ///< In the order of the names.
    /// What peers were told last, and when that renewal took place.
    std::optional<duty::lease_notice> told_;
    time_point told_renewal_;
    time_point told_first_at_;  ///< When they were told of that token first.
    bool read_to_tell_ = false; ///< The store was read since.
    std::vector<held_duty> duties_;
    /// Revisions of the states in the renewal that was built last, and of those
    /// that are not acknowledged yet, by the number of the write.
    revisions built_revisions_;
    std::map<std::uint64_t, revisions> written_revisions_;
    std::deque<open_call> unsent_;
    std::optional<open_call> in_flight_;
    /// Calls that may have been rejected because of the token.
    std::vector<open_call> conflicts_;
    time_point conflict_at_;
    time_point next_call_at_;
    duration backoff_{0};
    /// Since when no call was answered; empty if the last one was.
    std::optional<time_point> unanswered_since_;
    std::size_t unanswered_ = 0; ///< Number of calls since then.
    /// When the last call began that may still be executed.
    std::optional<time_point> last_unanswered_sent_;
    bool stopping_ = false;
    bool stepping_down_ = false;
    bool running_policy_ = false;
};

} // namespace medlarstall::gateway

#endif
