#ifndef MEDLARSTALL_TESTS_CHECKED_OWNER_HPP
#define MEDLARSTALL_TESTS_CHECKED_OWNER_HPP

#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/scheduling/owner_scheduler.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::scheduling {

/// State of a request according to the oracle.
enum class oracle_request_state
{
    queued,
    running,
    preempting,
    ended
};

/// A request in the list of the oracle.
struct oracle_request
{
    request value;
    oracle_request_state state = oracle_request_state::queued;
    std::string server;
    std::uint64_t tokens = 0;
    std::uint64_t tokens_before_dispatch = 0;
    unsigned preemptions = 0;
    bool has_run = false;
    bool ran_before_dispatch = false;
    bool by_floor = false;
    bool counted_as_started = false;
    bool rejected_as_busy = false;

    bool is_long() const { return value.expected_output_tokens >= 10'000; }
};

/// State of a backend server according to the oracle.
struct oracle_server
{
    std::string id;
    bool leaving = false;
    bool removed = false;
    bool forgotten = false; ///< Removed by the scheduler: nothing ran there.
    time_point paused_until;
};

/// Runs a scheduler together with an oracle, which is a plain list of requests.
/// Checks each action and each state that is reached against the guarantees of
/// the scheduler. The index parameters select one of the requests or backend
/// servers in question, modulo their number.
class checked_owner
{
public:
    static constexpr unsigned slots = 3;
    static constexpr unsigned concurrency = 4;       ///< Limit of "limited".
    static constexpr double requests_per_second = 5; ///< Limit of "rated".

    checked_owner(std::string const& name, time_point now);

    void add_server(std::string const& id, time_point now);
    void retire_server(std::size_t index, bool remove, time_point now);
    void enqueue(request const& value, time_point now);
    void tokens(std::size_t index, std::uint32_t count, time_point now);
    void finish(std::size_t index, time_point now);
    void fail(std::size_t index, time_point now);
    void reject_as_busy(std::size_t index, time_point now);
    void cancel(std::size_t index, time_point now);
    void confirm_preemption(std::size_t index, time_point now);
    void report(std::size_t index, unsigned running, duration age,
                time_point now);
    void set_remote_usage(std::string const& organisation,
                          remote_usage const& usage, time_point now);
    void tick(time_point now);
    void drain(time_point now);

    /// Ends all remaining requests and checks that none is queued or running
    /// afterwards.
    void finish_all(time_point now);

    std::optional<time_point> next_wake_up() const { return next_wake_up_; }
    std::size_t count(oracle_request_state state) const;
    unsigned running_of(std::string const& organisation) const;
    std::uint64_t served_of(std::string const& organisation) const;

    /// Called with each request that the scheduler shed.
    std::function<void(request const&)> on_shed = [](request const&) {
    };

private:
    void check_actions(time_point now);
    void check(dispatch const& action, time_point now);
    void check(refuse const& action, time_point now);
    void check(preempt const& action, time_point now);
    void check(hand_back const& action, time_point now);
    void check(wake_up const& action, time_point now);
    void check_state(time_point now);
    void check_starvation(time_point now);
    void check_rate(time_point now);

    oracle_request& find_request(request_id id);
    oracle_request* pick_request(oracle_request_state state, std::size_t index);
    oracle_server* find_server(std::string const& id);
    bool any_server() const;
    bool at_concurrency_limit(oracle_request const& tracked) const;
    /// Checks whether the limit on long requests delays a request. If \p
    /// for_certain, waiting requests of "rated" do not count, since their
    /// rate limit may keep them from starting.
    bool held_by_long_limit(oracle_request const& tracked,
                            bool for_certain) const;
    /// Checks whether a request could start on a backend server with a free
    /// slot. If \p replaces_long, the slot is that of a long request, so that
    /// the limit on long requests does not matter.
    bool may_start(oracle_request const& tracked, oracle_server const& on,
                   time_point now, bool replaces_long) const;
    bool next_to_isolated(oracle_request const& tracked,
                          oracle_server const& on) const;
    /// Checks whether a request certainly can start on a backend server with a
    /// free slot.
    bool eligible(oracle_request const& tracked, oracle_server const& on,
                  time_point now) const;
    bool eligible_anywhere(oracle_request const& tracked, time_point now) const;
    bool preemptible(oracle_request const& tracked, time_point now) const;
    bool any_preemptible_below(unsigned tier, time_point now) const;
    unsigned running_on(std::string const& id) const;
    unsigned running_long() const;
    void end_request(oracle_request& tracked);

    owner_scheduler scheduler_;
    action_list actions_;
    std::vector<oracle_request> requests_;
    std::vector<oracle_server> servers_;
    std::map<std::string, remote_usage> remote_usage_;
    std::vector<time_point> rated_starts_;
    std::optional<time_point> next_wake_up_;
    std::optional<unsigned> victim_tier_; ///< Tier that just lost a slot.
    std::string victim_server_;
    std::array<std::optional<time_point>, max_tiers> waiting_since_;
    std::array<unsigned, max_tiers> dispatches_without_{};
    bool draining_ = false;
    bool floor_served_last_ = false;
};

} // namespace medlarstall::scheduling

#endif
