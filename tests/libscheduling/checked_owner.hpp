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

/// Where a request is, as the oracle sees it.
enum class item_state
{
    queued,
    running,
    preempting,
    ended
};

/// A request in the plain list of the oracle.
struct item
{
    request value;
    item_state state = item_state::queued;
    std::string server;
    std::uint64_t tokens = 0;
    std::uint64_t tokens_before = 0;
    unsigned preemptions = 0;
    bool has_run = false;
    bool had_run = false;
    bool by_floor = false;
    bool counted = false;
    bool bounced = false;

    bool is_long() const { return value.expected_output_tokens >= 10'000; }
};

/// A backend server in the oracle.
struct oracle_server
{
    std::string id;
    bool leaving = false;
    bool removed = false;
    bool forgotten = false; ///< Removed, and nothing runs there.
    time_point paused_until;
};

/// Runs a scheduler beside a plain list of requests and checks each action
/// and each state that is reached against the promises.
class checked_owner
{
public:
    static constexpr unsigned slots = 3;
    static constexpr unsigned concurrency = 4;       ///< Of "limited".
    static constexpr double requests_per_second = 5; ///< Of "rated".

    checked_owner(std::string const& name, time_point now);

    void add_server(std::string const& id, time_point now);
    void leave_server(std::size_t pick, bool remove, time_point now);
    void enqueue(request const& value, time_point now);
    void tokens(std::size_t pick, std::uint32_t count, time_point now);
    void finish(std::size_t pick, time_point now);
    void fail(std::size_t pick, time_point now);
    void bounce(std::size_t pick, time_point now);
    void cancel(std::size_t pick, time_point now);
    void confirm_preemption(std::size_t pick, time_point now);
    void report(std::size_t pick, unsigned running, duration age,
                time_point now);
    void remote(std::string const& organisation, remote_usage const& usage,
                time_point now);
    void tick(time_point now);
    void drain(time_point now);

    /// Ends all that is left; afterwards nothing may be queued or running.
    void finish_all(time_point now);

    std::optional<time_point> wake() const { return wake_; }
    std::size_t count(item_state state) const;
    unsigned running_of(std::string const& organisation) const;
    std::uint64_t served_of(std::string const& organisation) const;

    /// Called with each request that was shed.
    std::function<void(request const&)> on_shed = [](request const&) {
    };

private:
    void check_actions(time_point now);
    void check(dispatch const& action, time_point now);
    void check(refuse const& action, time_point now);
    void check(preempt const& action, time_point now);
    void check(hand_over const& action, time_point now);
    void check(wake_up const& action, time_point now);
    void check_state(time_point now);
    void check_service(time_point now);
    void check_rate(time_point now);

    item& at(request_id id);
    item* nth(item_state state, std::size_t pick);
    oracle_server* server(std::string const& id);
    bool any_server() const;
    bool limited(item const& one) const;
    bool gated(item const& one, bool surely) const;
    bool could_start(item const& one, oracle_server const& on, time_point now,
                     bool after_long) const;
    bool beside_isolated(item const& one, oracle_server const& on) const;
    bool eligible(item const& one, oracle_server const& on,
                  time_point now) const;
    bool eligible_anywhere(item const& one, time_point now) const;
    bool displaceable(item const& one, time_point now) const;
    bool displaceable_below(unsigned tier, time_point now) const;
    unsigned running_on(std::string const& id) const;
    unsigned running_long() const;
    void end(item& one);

    owner_scheduler scheduler_;
    action_list actions_;
    std::vector<item> items_;
    std::vector<oracle_server> servers_;
    std::map<std::string, remote_usage> remote_;
    std::vector<time_point> rated_starts_;
    std::optional<time_point> wake_;
    std::optional<unsigned> victim_tier_; ///< Of the slot just given up.
    std::string victim_server_;
    std::array<std::optional<time_point>, max_tiers> waiting_since_;
    std::array<unsigned, max_tiers> passed_over_{};
    bool drained_ = false;
    bool floor_served_last_ = false;
};

} // namespace medlarstall::scheduling

#endif
