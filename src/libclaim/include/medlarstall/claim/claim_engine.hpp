#ifndef MEDLARSTALL_CLAIM_CLAIM_ENGINE_HPP
#define MEDLARSTALL_CLAIM_CLAIM_ENGINE_HPP

#include <medlarstall/claim/action.hpp>
#include <medlarstall/claim/attempt.hpp>
#include <medlarstall/claim/call_book.hpp>
#include <medlarstall/claim/claim_settings.hpp>
#include <medlarstall/claim/claim_stream.hpp>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace medlarstall::claim {

/// The time of an event by both clocks.
struct moment
{
    time_point steady;
    wall_time wall;
};

/// Figures for metrics. Plain data.
struct claim_figures
{
    std::size_t keys = 0;     ///< Kept in the tables.
    std::size_t evicted = 0;  ///< Dropped by the bounds, not by age.
    std::size_t calls = 0;    ///< Waiting.
    std::size_t attempts = 0; ///< Of this daemon, not settled.
    std::uint64_t won = 0;
    std::uint64_t lost = 0;
    std::uint64_t released = 0;
};

/// Decides which calls this daemon may run. The first claim for a key in the
/// order of the log wins; only its holder dispatches, once; nobody takes a
/// claim over. Holds no socket and no clock: events in, actions out.
class claim_engine
{
public:
    /// \param settings settings for which check() succeeded
    explicit claim_engine(claim_settings settings);

    /// Starts to read every stream. Call once.
    [[nodiscard]] actions start(moment now);

    /// Takes a call. It is answered or dispatched exactly once, unless it is
    /// cancelled.
    [[nodiscard]] actions request(call const& value, moment now);

    /// Forgets a call that waits, because its caller left.
    [[nodiscard]] actions cancel(call_id id, moment now);

    /// Takes the answer to a read_action.
    [[nodiscard]] actions records(read_batch const& batch, moment now);

    /// Takes note that a read_action got no answer.
    [[nodiscard]] actions read_failed(std::size_t stream, moment now);

    /// Takes the reply that an append took effect.
    [[nodiscard]] actions append_done(std::size_t stream,
                                      std::uint64_t sequence, moment now);

    /// Takes the reply that an append had and will have no effect, such as a
    /// refused connection or a status of 503.
    [[nodiscard]] actions append_failed(std::size_t stream,
                                        std::uint64_t sequence, moment now);

    /// Takes note that an append may or may not take effect, now or later.
    [[nodiscard]] actions append_unknown(std::size_t stream,
                                         std::uint64_t sequence, moment now);

    /// Queues records that another daemon sent here to be appended.
    [[nodiscard]] actions forwarded(std::size_t stream,
                                    std::vector<record> const& values,
                                    moment now);

    /// Names the daemon to which records of a stream are forwarded. A hint.
    /// \param stream a stream
    /// \param daemon its preferred writer; empty if that is this daemon
    void prefer(std::size_t stream, std::string daemon);

    /// Takes note that bytes of an attempt may leave for a backend server.
    /// \return false if the attempt may not be dispatched, because it was
    ///         dispatched or given back before
    [[nodiscard]] bool dispatched(uuid const& attempt);

    /// Gives a claim back whose attempt was not and never will be dispatched.
    [[nodiscard]] actions not_dispatched(uuid const& attempt, moment now);

    /// Gives a claim back whose attempt was sent to an owner that promised
    /// that it did not run and never will.
    [[nodiscard]] actions withdrawn(uuid const& attempt, moment now);

    /// Takes the outcome of an attempt, known or not.
    [[nodiscard]] actions finished(uuid const& attempt, outcome result,
                                   moment now);

    /// Does what is due. Call at next_time() or before.
    [[nodiscard]] actions tick(moment now);

    /// \return when tick() is due, if it ever is
    [[nodiscard]] std::optional<time_point> next_time() const;

    /// \return true if every stream was read up to its end once
    [[nodiscard]] bool ready() const;

    /// \param key a key
    /// \return the stream of its records
    [[nodiscard]] std::size_t stream_of(uuid const& key) const;

    /// \return figures for metrics
    [[nodiscard]] claim_figures figures() const;

private:
    using attempt_map = std::map<uuid, attempt>;

    void answer(waiting_call const& to, answer_kind kind, refusal reason,
                actions& out, shared_outcome result = {});
    void answer_all(uuid const& key, answer_kind kind, refusal reason,
                    actions& out);
    void answer_finished(uuid const& key, body_digest const& digest,
                         shared_outcome const& result, actions& out);
    void refuse_others(uuid const& key, body_digest const& digest,
                       actions& out);
    /// \return true if an attempt of this daemon that won decides
    [[nodiscard]] bool resolve_from_attempt(uuid const& key, actions& out);
    /// \return true if the table decides, or may once it was read on
    [[nodiscard]] bool resolve_from_table(uuid const& key, actions& out);
    void resolve(uuid const& key, moment now, actions& out);
    void submit_claim(waiting_call const& value, moment now);
    void expire(waiting_call const& value, actions& out);
    [[nodiscard]] bool may_run(uuid const& key) const;
    void abandon_if_unwanted(uuid const& key);

    void review(claim_stream& stream, moment now, actions& out);
    void apply(claim_stream& stream, log_entry const& entry, moment now,
               actions& out);
    void apply_claim(claim_record const& value, applied effect, wall_time time,
                     moment now, actions& out);
    void claim_won(claim_record const& value, wall_time time, moment now,
                   actions& out);
    void release(uuid const& id, attempt& held, moment now);
    void settle(uuid const& id, attempt_state expected);
    void restart_stream(claim_stream& stream, moment now);
    [[nodiscard]] std::optional<record>
    unsettled_record(uuid const& id, attempt const& value) const;

    void submit(uuid const& key, record value, moment now);
    void resend_forwarded(claim_stream& stream, moment now);
    [[nodiscard]] std::chrono::milliseconds
    mark_interval(claim_stream const& stream) const;
    void mark_if_idle(claim_stream& stream, moment now);
    void flush(moment now, actions& out);
    [[nodiscard]] double jitter();

    claim_settings settings_;
    std::mt19937_64 random_;
    std::deque<claim_stream> streams_;
    call_book calls_;
    attempt_map attempts_;        ///< Of this daemon, until settled.
    std::map<uuid, uuid> by_key_; ///< Attempt that calls of a key wait for.
    claim_figures counted_;
};

} // namespace medlarstall::claim

#endif
