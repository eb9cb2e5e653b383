#ifndef MEDLARSTALL_CLAIM_CLAIM_ENGINE_HPP
#define MEDLARSTALL_CLAIM_CLAIM_ENGINE_HPP

#include <medlarstall/claim/action.hpp>
#include <medlarstall/claim/attempt.hpp>
#include <medlarstall/claim/claim_settings.hpp>
#include <medlarstall/claim/claim_stream.hpp>
#include <medlarstall/claim/waiting_call_set.hpp>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace medlarstall::claim {

/// The time of an event on the steady clock and on the wall clock. Plain data.
struct event_time
{
    time_point steady;
    wall_time wall;
};

/// Statistics of an engine for metrics. The counters of claims refer to claims
/// of this daemon since its start. Plain data.
struct claim_statistics
{
    std::size_t kept_keys = 0;     ///< Keys kept in the tables.
    std::size_t evicted_keys = 0;  ///< Dropped by a limit, not by age.
    std::size_t waiting_calls = 0; ///< Calls not yet dispatched or answered.
    std::size_t unsettled_attempts =
        0; ///< Attempts of this daemon, not settled yet.
    std::uint64_t claims_won = 0;
    std::uint64_t claims_lost = 0;
    std::uint64_t claims_released = 0;
};

/// Decides which calls this daemon may run, so that a call runs at most once
/// across all daemons. The first claim for a key in the order of the log wins.
/// Only the daemon that holds it dispatches the call, and only once; no other
/// daemon takes a claim over. The engine is a state machine without sockets,
/// clocks and threads: it receives events with their time and returns actions
/// for the daemon to perform. Not thread-safe.
class claim_engine
{
public:
    /// \param settings settings for which check() succeeded
    explicit claim_engine(claim_settings settings);

    /// Starts to read every stream. To be called once, before other events.
    [[nodiscard]] actions start(event_time now);

    /// Accepts a call. It is answered or dispatched exactly once, unless it is
    /// cancelled before.
    [[nodiscard]] actions submit_call(call const& value, event_time now);

    /// Removes a waiting call whose caller has disconnected. Has no effect on
    /// a call that was already answered or dispatched.
    [[nodiscard]] actions cancel_call(call_id id, event_time now);

    /// Handles the answer to a read_action.
    [[nodiscard]] actions on_records_read(read_batch const& batch,
                                          event_time now);

    /// Handles a read_action that got no answer. The read is repeated later.
    [[nodiscard]] actions on_read_failed(std::size_t stream, event_time now);

    /// Handles the confirmation that an append took effect.
    [[nodiscard]] actions on_append_succeeded(std::size_t stream,
                                              std::uint64_t sequence,
                                              event_time now);

    /// Handles an append that had no effect and will have none, because for
    /// example the connection was refused or the status was 503.
    [[nodiscard]] actions on_append_failed(std::size_t stream,
                                           std::uint64_t sequence,
                                           event_time now);

    /// Handles an append that may or may not take effect, now or later.
    [[nodiscard]] actions on_append_unknown(std::size_t stream,
                                            std::uint64_t sequence,
                                            event_time now);

    /// Queues records that another daemon sent here to be appended.
    [[nodiscard]] actions
    on_records_forwarded(std::size_t stream, std::vector<record> const& values,
                         event_time now);

    /// Sets the daemon to which records of a stream are forwarded. This only
    /// reduces the number of appends; daemons that disagree on it still decide
    /// every claim alike.
    /// \param stream index of the stream
    /// \param daemon identifier of the preferred writer; empty if that is this
    ///        daemon
    void set_preferred_writer(std::size_t stream, std::string daemon);

    /// Has to be called before the first byte of an attempt may be sent to a
    /// backend server.
    /// \param attempt attempt of a dispatch_action
    /// \return false if the attempt must not be dispatched, because it was
    ///         dispatched or released before
    [[nodiscard]] bool begin_dispatch(uuid const& attempt);

    /// Releases the claim of an attempt that was not and never will be
    /// dispatched.
    [[nodiscard]] actions on_not_dispatched(uuid const& attempt,
                                            event_time now);

    /// Releases the claim of an attempt that was dispatched to the owner of a
    /// backend server, which guaranteed that it did not run and never will.
    [[nodiscard]] actions on_not_executed(uuid const& attempt, event_time now);

    /// Handles the end of an attempt, whether its outcome is known or not.
    [[nodiscard]] actions on_finished(uuid const& attempt, outcome result,
                                      event_time now);

    /// Performs the work that is due. To be called at next_tick_time() or
    /// before.
    [[nodiscard]] actions tick(event_time now);

    /// \return time at which tick() is due; nothing if no work is pending
    [[nodiscard]] std::optional<time_point> next_tick_time() const;

    /// \return true if every stream was read up to the end that it had at the
    ///         first read
    [[nodiscard]] bool ready() const;

    /// \param key an idempotency key
    /// \return index of the stream that holds the records of the key
    [[nodiscard]] std::size_t stream_index_of(uuid const& key) const;

    /// \return current statistics for metrics
    [[nodiscard]] claim_statistics statistics() const;

private:
    using attempt_map = std::map<uuid, attempt>;

    // Decisions on the calls that wait for a key.
    void answer(waiting_call const& to, answer_kind kind, refusal_reason reason,
                actions& out, shared_outcome result = {});
    void answer_all(uuid const& key, answer_kind kind, refusal_reason reason,
                    actions& out);
    void answer_all_with_outcome(uuid const& key, call_digest const& digest,
                                 shared_outcome const& result, actions& out);
    /// Answers the calls of a key whose digest differs from the given one.
    void refuse_mismatches(uuid const& key, call_digest const& digest,
                           actions& out);
    /// \return true if an attempt of this daemon that won the claim determines
    ///         the answer
    [[nodiscard]] bool decide_by_attempt(uuid const& key, actions& out);
    /// \return true if the table determines the answer, or may do so when more
    ///         of the stream has been read
    [[nodiscard]] bool decide_by_table(uuid const& key, actions& out);
    /// Answers or refuses the waiting calls of a key as far as possible, and
    /// submits a claim if the key can be claimed.
    void decide_calls(uuid const& key, event_time now, actions& out);
    void submit_claim(waiting_call const& value, event_time now);
    /// Answers a call whose deadline has passed.
    void expire_call(waiting_call const& value, actions& out);
    /// \return true if an attempt, of this daemon or another, may be running
    ///         the call of the key or may have run it
    [[nodiscard]] bool may_be_running(uuid const& key) const;
    /// Abandons the claim of this daemon for a key that no call waits for.
    void abandon_if_unwanted(uuid const& key);

    // Processing of the records read from the streams.
    void decide_all_calls(claim_stream& stream, event_time now, actions& out);
    void apply_entry(claim_stream& stream, log_entry const& entry,
                     event_time now, actions& out);
    void apply_claim(claim_record const& value, apply_result effect,
                     wall_time time, event_time now, actions& out);
    void handle_won_claim(claim_record const& value, wall_time time,
                          event_time now, actions& out);
    /// Releases a claim that this daemon holds or may get.
    void release(uuid const& id, attempt& own_attempt, event_time now);
    /// Removes an attempt if it is in the expected state.
    void settle_attempt(uuid const& id, attempt_state expected);
    /// Drops the state of a stream of which records were missed. Releases the
    /// claims of this daemon that were not read back, and queues its unsettled
    /// releases and outcomes again, as they may be among the missed records.
    void reset_stream(claim_stream& stream, event_time now);
    /// \return the record that an attempt waits to read back; nothing if it
    ///         waits for none
    [[nodiscard]] std::optional<record>
    unsettled_record(uuid const& id, attempt const& value) const;

    // Output of records and of other actions that are due.
    void queue_record(uuid const& key, record value, event_time now);
    /// Appends forwarded records that were not settled in time directly.
    void requeue_overdue_records(claim_stream& stream, event_time now);
    [[nodiscard]] std::chrono::milliseconds
    mark_interval(claim_stream const& stream) const;
    void queue_mark_if_idle(claim_stream& stream, event_time now);
    void emit_due_actions(event_time now, actions& out);
    /// \return random number from 0 to 1
    [[nodiscard]] double random_jitter();

    claim_settings settings_;
    std::mt19937_64 random_;
    std::deque<claim_stream> streams_;
    waiting_call_set calls_;
    attempt_map attempts_; ///< Attempts of this daemon, until settled.
    std::map<uuid, uuid>
        attempt_by_key_; ///< The attempt that the calls of a key wait for.
    claim_statistics counters_;
};

} // namespace medlarstall::claim

#endif
