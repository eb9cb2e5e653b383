#ifndef MEDLARSTALL_TESTS_DUTY_SIMULATION_HPP
#define MEDLARSTALL_TESTS_DUTY_SIMULATION_HPP

#include <medlarstall/gateway/duty_service.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// What happens to a machine, to the store or to the platform.
enum class duty_fault
{
    killed,    ///< The daemon is started again when the fault ends.
    stopped,   ///< It stops in order, and is started again.
    paused,    ///< Its clock goes on.
    suspended, ///< Its steady clock stands still.
    cut_off_from_store,
    cut_off_from_peers,
    cut_off_from_platform,
    store_silent,
    store_refusing,
    store_slow,
    store_responses_lost,
    appends_late, ///< Appends are executed seconds later.
    platform_silent,
    platform_refusing,
    calls_late, ///< Calls are executed seconds later.
    all_killed,
    wall_clocks_moved,
    store_restored,       ///< From a copy that is some seconds old.
    store_restored_again, ///< From the copy of the last time.
    count                 ///< Number of the faults above.
};

/// A duty whose state is a number that grows. Each number is reported when it
/// is stored, in turn as a report and as an order.
class counting_duty
{
public:
    /// \param interval time between two changes of the number
    /// \param violated called if a state is taken over that lacks numbers that
    ///     were stored, as if it were the last one
    counting_duty(std::chrono::milliseconds interval,
                  std::uint64_t& stored_by_any,
                  std::function<void(std::string const&)> violated);

    [[nodiscard]] std::string state() const { return std::to_string(number_); }
    [[nodiscard]] std::uint64_t revision() const { return number_; }
    void on_taken(medlarstall::duty::stored_state const& stored,
                  medlarstall::time_point now);
    void on_lost() { is_held_ = false; }
    void on_stored(std::uint64_t revision);
    std::vector<medlarstall::duty::duty_call>
    due_calls(medlarstall::time_point now);
    void on_result(medlarstall::duty::duty_call const& call,
                   medlarstall::duty::call_outcome outcome,
                   medlarstall::time_point now);

private:
    std::chrono::milliseconds interval_;
    std::uint64_t& stored_by_any_;
    std::function<void(std::string const&)> violated_;
    std::uint64_t number_ = 0;
    std::uint64_t stored_ = 0;
    std::uint64_t reported_ = 0;
    bool is_held_ = false;
    bool calling_ = false;
    medlarstall::time_point changed_at_;
};

/// A fleet with the duties of the product. The store, the platform, the links
/// between the daemons and the clocks of the machines are simulated. An oracle
/// checks the rules of exclusive duties.
class duty_simulation
{
public:
    /// \param daemons number of daemons
    /// \param fencing_enforced whether the platform checks tokens
    /// \param seed selects delays, losses and faults
    /// \param content_interval time between two changes of the duty's state
    duty_simulation(std::size_t daemons, bool fencing_enforced,
                    std::uint32_t seed,
                    std::chrono::milliseconds content_interval =
                        std::chrono::milliseconds{500});
    ~duty_simulation();

    /// Runs without new faults.
    void run_for(std::chrono::milliseconds time);

    /// Runs with faults at random times, most of them at the holder.
    void run_with_faults(std::chrono::milliseconds time);

    /// Lets a fault begin now.
    /// \param what the fault
    /// \param target machine that it affects, if it affects one
    /// \param length when it ends
    void begin_fault(duty_fault what, std::size_t target,
                     std::chrono::milliseconds length);

    /// Lets the platform have seen a token, which the store has lost.
    void show_token(medlarstall::duty::fencing_token token)
    {
        shown_token_ = token;
    }

    /// \return machine that may act now; empty if there is none
    [[nodiscard]] std::optional<std::size_t> active_machine() const;

    /// \return rules that were broken
    [[nodiscard]] std::vector<std::string> const& violations() const
    {
        return violations_;
    }

    /// Number of calls to the store and the platform so far.
    struct call_counts
    {
        std::size_t reads = 0;
        std::size_t appends = 0;
        std::size_t platform_calls = 0;
        std::size_t executed = 0; ///< By the platform, in time.
        std::size_t without_servers = 0;
    };

    /// \return calls so far
    [[nodiscard]] call_counts const& calls() const { return calls_; }

    /// \return number of times that a daemon has begun to act as the holder
    [[nodiscard]] std::size_t holders() const { return token_owners_.size(); }

private:
    struct machine;
    struct call
    {
        medlarstall::time_point sent_at;
        std::size_t machine;
        medlarstall::duty::fencing_token token;
    };
    /// The store as it was from a time on.
    struct store_copy
    {
        medlarstall::time_point from;
        std::optional<std::string> lease;
        std::uint64_t end = 0;
    };
    struct event
    {
        medlarstall::time_point at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(event const& other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void start(std::size_t index);
    void tick(std::size_t index, std::uint64_t life);
    void send_notice(std::size_t index);
    void tell_departure(std::size_t index);
    void schedule(medlarstall::duration delay, std::function<void()> action);
    void deliver(std::size_t index, std::uint64_t life,
                 std::function<void()> action);
    void end_fault(duty_fault what, std::size_t target);
    void keep_copy();
    void restore_store();
    void restore_store_again();
    void start_read(std::size_t index, medlarstall::gateway::read_handler done);
    void start_append(std::size_t index,
                      medlarstall::gateway::record const& item,
                      std::uint64_t at,
                      medlarstall::gateway::append_handler done);
    void
    start_call(std::size_t index, medlarstall::duty::duty_call const& what,
               medlarstall::duty::fencing_token token,
               std::function<void(medlarstall::gateway::duty_response)> done);
    medlarstall::gateway::duty_response
    execute(call const& item, medlarstall::duty::duty_call const& what);
    void check_sent(call const& item);
    void check_executed(call const& item, bool late);
    void check_holders();
    void violate(std::string const& rule);
    bool happens(double probability);
    std::chrono::milliseconds between(int least, int most);
    bool has(duty_fault what) const;

    std::size_t cells_;
    bool fencing_enforced_;
    std::chrono::milliseconds content_interval_;
    std::mt19937 random_;
    medlarstall::time_point now_;
    std::uint64_t event_number_ = 0;
    std::priority_queue<event> events_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::map<duty_fault, int> active_faults_;
    medlarstall::time_point calm_since_;
    medlarstall::time_point active_at_; ///< When a machine could act last.
    std::optional<std::string> lease_;  ///< Record in the store.
    std::uint64_t end_ = 0;
    std::uint64_t era_ = 1;
    std::deque<store_copy> copies_; ///< Of the last seconds, oldest first.
    store_copy restored_;           ///< The one that was used last.
    std::uint64_t stored_by_any_ = 0;
    std::deque<call> recent_calls_;
    std::map<medlarstall::duty::fencing_token, std::size_t> token_owners_;
    medlarstall::duty::fencing_token highest_sent_ = 0;
    medlarstall::duty::fencing_token highest_executed_ = 0;
    medlarstall::duty::fencing_token shown_token_ = 0;
    call_counts calls_;
    std::vector<std::string> violations_;
};

#endif
