#ifndef MEDLARSTALL_TESTS_LIBCLAIM_CLAIM_SIMULATION_HPP
#define MEDLARSTALL_TESTS_LIBCLAIM_CLAIM_SIMULATION_HPP

#include "model_log.hpp"

#include <history/history.hpp>
#include <medlarstall/claim/claim_engine.hpp>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace medlarstall::claim {

/// Faults that can be injected into a simulated daemon, to verify that the
/// checks detect them.
enum class injected_fault
{
    none,
    takes_over_claims,  ///< Releases claims that another holds for long.
    runs_twice,         ///< Runs a call again after its connection was lost.
    runs_after_release, ///< Runs a call although its claim was released.
    denies_unknown_runs ///< Answers not_run if the outcome is unknown.
};

/// Result of an append that an engine sent.
enum class append_result
{
    succeeded,   ///< It takes effect, and the reply is received.
    failed,      ///< It has no effect, and the reply says so.
    reply_lost,  ///< It takes effect, but the reply is lost.
    late_effect, ///< No reply is received; it takes effect later.
    request_lost ///< It has no effect, and no reply is received.
};

/// Simulates several daemons with claim engines that share one log. The test
/// controls every source of nondeterminism: replies, reads, forwarded records,
/// pauses and restarts happen only when it requests them. An argument named
/// choice selects one of the pending items, modulo their number; a call has no
/// effect if nothing is pending.
class claim_simulation
{
public:
    static constexpr std::size_t daemons = 3;
    static constexpr std::size_t streams = 2;
    static constexpr std::size_t keys = 5;

    /// \param seed seed of the keys, of the engines and of random choices
    /// \param fault fault to inject into every daemon
    explicit claim_simulation(std::uint64_t seed,
                              injected_fault fault = injected_fault::none);

    /// Submits a call to a daemon. If other_body is true, its digest differs
    /// from that of the other calls with the same key.
    void submit_call(std::size_t daemon, std::size_t key, bool other_body,
                     std::chrono::milliseconds time_limit);
    /// Ends a pending append of a daemon with a result.
    void complete_append(std::size_t daemon, std::size_t choice,
                         append_result result);
    /// Lets an append without a reply take effect.
    void apply_late_append(std::size_t choice);
    /// Answers the pending read of a stream with up to limit records.
    void read(std::size_t daemon, std::size_t stream, std::size_t limit);
    /// Fails the pending read of a stream.
    void fail_read(std::size_t daemon, std::size_t stream);
    /// Delivers forwarded records to their daemon, or loses them.
    void deliver_forward(std::size_t choice, bool is_lost);
    /// Dispatches a granted attempt. The variant decides whether it is run, is
    /// never dispatched, or is refused by the owner of the backend server.
    void dispatch_attempt(std::size_t daemon, std::size_t choice,
                          unsigned variant);
    /// Ends a dispatched attempt with a known or an unknown outcome.
    void finish_attempt(std::size_t daemon, std::size_t choice, bool known);
    /// Disconnects the caller of a waiting call.
    void cancel_call(std::size_t daemon, std::size_t choice);
    /// Suspends or resumes a daemon. While suspended, it handles no event.
    void pause(std::size_t daemon, bool paused);
    /// Replaces a daemon by a new process; its waiting calls are lost and its
    /// pending appends may take effect late.
    void restart(std::size_t daemon);
    /// Removes the records of a stream that are older than an age.
    void expire(std::size_t stream, std::chrono::milliseconds age);
    /// Makes a daemon the preferred writer of a stream.
    void set_preferred_writer(std::size_t stream, std::size_t daemon);
    /// Advances the time, stopping at every deadline of a waiting call.
    void advance(std::chrono::milliseconds step);

    /// Completes everything that is pending, without faults.
    void run_to_completion();

    /// \return the violations of the rules so far; empty if there are none
    [[nodiscard]] std::vector<history::violation> check() const;

    /// \return how often each verdict was given so far
    [[nodiscard]] history::verdict_counts count() const
    {
        return history_.count();
    }

private:
    struct pending_append
    {
        std::size_t stream;
        std::uint64_t sequence;
        record_group records;
        std::string writer;
    };
    struct pending_forward
    {
        std::size_t stream;
        std::size_t to;
        std::vector<record> records;
    };
    struct granted_attempt
    {
        call_id id;
        uuid key;
        uuid attempt;
    };
    struct simulated_daemon
    {
        std::unique_ptr<claim_engine> engine;
        std::string writer;
        unsigned incarnation = 0;
        bool paused = false;
        std::vector<pending_append> appends;
        std::map<std::size_t, std::uint64_t>
            reads; ///< Offset to read from, by stream.
        std::vector<granted_attempt> granted;
        std::vector<granted_attempt> dispatched;
        std::set<call_id> calls; ///< Calls without an answer.
        std::map<uuid, claim_record>
            holders;             ///< Holders according to the records read.
        std::set<uuid> released; ///< Attempts that released a key.
    };

    [[nodiscard]] uuid new_key();
    [[nodiscard]] event_time now() const;
    void start_daemon(std::size_t daemon);
    void perform(std::size_t daemon, actions const& requested);
    void perform(std::size_t daemon, append_action const& requested);
    void perform(std::size_t daemon, forward_action const& requested);
    void perform(std::size_t daemon, read_action const& requested);
    void perform(std::size_t daemon, dispatch_action const& requested);
    void perform(std::size_t daemon, answer_action const& requested);
    /// Records in the history that an attempt was run.
    void execute(granted_attempt const& run);
    /// Records in the history what the caller of a call was told, once.
    void record_answer(std::size_t daemon, call_id id, history::verdict told,
                       std::string answer = {});
    /// Injects the fault takes_over_claims.
    void forge_releases(std::size_t daemon);
    /// Tracks which attempt holds a key, independently of the engine.
    void track_holder(std::size_t daemon, record const& value);
    /// \return true if, according to the records read, an attempt of another
    ///         daemon holds the key or an attempt of this one that was run
    [[nodiscard]] bool may_have_been_run(std::size_t daemon,
                                         uuid const& key) const;
    /// Lets a daemon act at the current time; the callers of a suspended one
    /// give up at their deadlines.
    void process_deadlines(std::size_t daemon);
    /// Ends the attempts whose deadline has passed.
    void expire_attempts(std::size_t daemon);
    [[nodiscard]] bool is_running(std::size_t daemon) const;

    injected_fault fault_;
    std::mt19937_64 random_;
    time_point steady_;
    wall_time wall_;
    std::array<model_log, streams> logs_;
    std::array<simulated_daemon, daemons> daemons_;
    std::vector<pending_append> late_appends_;
    std::vector<pending_forward> forwards_;
    std::array<uuid, keys> keys_;
    std::map<call_id, time_point> deadlines_;
    std::map<call_id, uuid> keys_by_call_;
    std::set<uuid> executed_attempts_; ///< Attempts that were run.
    std::vector<history::violation> false_denials_;
    history::history history_;
    call_id last_call_ = 0;
};

} // namespace medlarstall::claim

#endif
