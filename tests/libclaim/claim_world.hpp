#ifndef MEDLARSTALL_TESTS_LIBCLAIM_CLAIM_WORLD_HPP
#define MEDLARSTALL_TESTS_LIBCLAIM_CLAIM_WORLD_HPP

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

/// Faults planted into the model of a daemon, to show that the checks catch
/// them.
enum class planted_fault
{
    none,
    takeover,        ///< Releases a claim that another daemon holds too long.
    runs_twice,      ///< Sends a call again after its connection broke.
    late_dispatch,   ///< Runs a call whose claim was given back.
    denies_unsettled ///< Tells not_run of a call that broke midway.
};

/// What happens to an append that an engine sent.
enum class append_fate
{
    done,        ///< Takes effect; the reply comes.
    failed,      ///< Has no effect; the engine is told.
    reply_lost,  ///< Takes effect; the reply does not come.
    effect_late, ///< No reply; takes effect at some later time.
    request_lost ///< No reply and no effect.
};

/// Several claim engines over one log, with every source of disorder under
/// the control of the test: replies, reads, forwards, pauses and restarts
/// happen only when it says so.
class claim_world
{
public:
    static constexpr std::size_t daemons = 3;
    static constexpr std::size_t streams = 2;
    static constexpr std::size_t keys = 5;

    explicit claim_world(std::uint64_t seed,
                         planted_fault fault = planted_fault::none);

    void call_key(std::size_t daemon, std::size_t key, bool other_body,
                  std::chrono::milliseconds patience);
    void settle_append(std::size_t daemon, std::size_t choice,
                       append_fate fate);
    void take_late_effect(std::size_t choice);
    void read(std::size_t daemon, std::size_t stream, std::size_t limit);
    void fail_read(std::size_t daemon, std::size_t stream);
    void deliver_forward(std::size_t choice, bool lost);
    void run_attempt(std::size_t daemon, std::size_t choice, unsigned how);
    void finish_run(std::size_t daemon, std::size_t choice, bool known);
    void cancel_call(std::size_t daemon, std::size_t choice);
    void pause(std::size_t daemon, bool paused);
    void restart(std::size_t daemon);
    void expire(std::size_t stream, std::chrono::milliseconds age);
    void prefer(std::size_t stream, std::size_t daemon);
    void advance(std::chrono::milliseconds step);

    /// Lets everything that is under way come to its end without faults.
    void drain();

    /// \return what is wrong so far
    [[nodiscard]] std::vector<history::violation> check() const;

    /// \return figures of the history
    [[nodiscard]] history::verdict_counts count() const
    {
        return history_.count();
    }

private:
    struct sent_append
    {
        std::size_t stream;
        std::uint64_t sequence;
        record_group records;
        std::string writer;
    };
    struct sent_forward
    {
        std::size_t stream;
        std::size_t to;
        std::vector<record> records;
    };
    struct offered_run
    {
        call_id id;
        uuid key;
        uuid attempt;
    };
    struct daemon_model
    {
        std::unique_ptr<claim_engine> engine;
        std::string writer;
        unsigned incarnation = 0;
        bool paused = false;
        std::vector<sent_append> appends;
        std::map<std::size_t, std::uint64_t> reads; ///< Stream and offset.
        std::vector<offered_run> offered;
        std::vector<offered_run> running;
        std::set<call_id> calls; ///< Open; those who wait for an answer.
        std::map<uuid, claim_record> holders; ///< By the records read alone.
        std::set<uuid> released;              ///< Attempts that held a key.
    };

    [[nodiscard]] uuid new_key();
    [[nodiscard]] moment now() const;
    void start_daemon(std::size_t daemon);
    void perform(std::size_t daemon, actions const& todo);
    void perform(std::size_t daemon, append_action const& todo);
    void perform(std::size_t daemon, forward_action const& todo);
    void perform(std::size_t daemon, read_action const& todo);
    void perform(std::size_t daemon, dispatch_action const& todo);
    void perform(std::size_t daemon, answer_action const& todo);
    void execute(offered_run const& run);
    void tell(std::size_t daemon, call_id id, history::verdict told,
              std::string answer = {});
    void take_over(std::size_t daemon);
    void follow(std::size_t daemon, record const& value);
    [[nodiscard]] bool may_have_run(std::size_t daemon, uuid const& key) const;
    void pass_deadlines(std::size_t daemon);
    void expire_offered(std::size_t daemon);
    [[nodiscard]] bool awake(std::size_t daemon) const;

    planted_fault fault_;
    std::mt19937_64 random_;
    time_point steady_;
    wall_time wall_;
    std::array<model_log, streams> logs_;
    std::array<daemon_model, daemons> daemons_;
    std::vector<sent_append> late_;
    std::vector<sent_forward> forwards_;
    std::array<uuid, keys> keys_;
    std::map<call_id, time_point> deadlines_;
    std::map<call_id, uuid> key_of_call_;
    std::set<uuid> executed_; ///< Attempts.
    std::vector<history::violation> denials_;
    history::history history_;
    call_id last_call_ = 0;
};

} // namespace medlarstall::claim

#endif
