#ifndef MEDLARSTALL_DUTY_LEASE_POLICY_HPP
#define MEDLARSTALL_DUTY_LEASE_POLICY_HPP

#include <medlarstall/duty/lease_action.hpp>
#include <medlarstall/duty/lease_notice.hpp>
#include <medlarstall/duty/lease_settings.hpp>
#include <medlarstall/support/time.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::duty {

/// Decides when a daemon takes, renews and releases the lease. Pure code: the
/// owner passes events in, performs the actions that update() returns, and
/// performs at most one call to the store at a time.
class lease_policy
{
public:
    /// \param settings times of the lease
    /// \param name name of this daemon
    /// \param incarnation number that differs with each start of this daemon
    /// \param now current time
    lease_policy(lease_settings settings, std::string name,
                 std::uint64_t incarnation, time_point now);

    /// A read has returned the topic.
    void on_read(lease_topic const& topic, time_point now);

    /// A read has failed.
    void on_read_failed(time_point now);

    /// An append has ended.
    void on_append(append_response const& response, time_point now);

    /// A peer has told of the lease.
    void on_notice(lease_notice const& notice, time_point now);

    /// A daemon has left the fleet. If it was the holder, it may have released
    /// the lease, although its notice of that is not accepted any more.
    void on_daemon_left(std::string const& name, time_point now);

    /// The store is of this era, as other topics tell.
    void on_era(std::uint64_t era) { era_ = std::max(era_, era); }

    /// This daemon may have been suspended just before. The lease is no longer
    /// valid until a renewal that begins later is acknowledged.
    void on_suspended(time_point now);

    /// The platform has seen a higher token. The holding ends, and the token is
    /// not used again.
    void on_fenced(time_point now);

    /// Renews the lease with the next update, to find out if it is still held.
    void request_renewal() { renewal_requested_ = true; }

    /// Releases the lease with the next update. The caller makes no calls any
    /// more.
    /// \param not_before this daemon does not take the lease before this time
    void release(time_point not_before);

    /// This daemon stops: it takes the lease no more.
    void stop() { stopping_ = true; }

    /// Sets the place of this daemon among the live ones.
    /// \param place number of live daemons that come before this one, in the
    ///     order of the hashes of the names
    /// \param daemons number of known daemons, this one included
    void set_place(std::size_t place, std::size_t daemons);

    /// \param now current time
    /// \param content_to_store the states have changed in a way that should be
    ///     stored soon
    /// \param states returns the present states of the duties of this daemon;
    ///     called if a renewal is due
    /// \return what has happened since the last call; only if nothing has, the
    ///     next call to the store, as the states that it stores depend on what
    ///     has happened
    [[nodiscard]] std::vector<lease_action>
    update(time_point now, bool content_to_store,
           std::function<duty_states()> const& states);

    /// \return true if this daemon is the holder, as far as it knows. Calls
    ///     also need a lease that is valid.
    [[nodiscard]] bool is_holder() const { return holding_.has_value(); }

    /// \return until when the holder may act; empty if this daemon is none
    [[nodiscard]] std::optional<time_point> valid_until() const;

    /// \param now current time
    /// \return true if this daemon is the holder and may act
    [[nodiscard]] bool is_valid(time_point now) const
    {
        return holding_ && now < holding_->valid_until;
    }

    /// \return token of this daemon as the holder; 0 if it is none
    [[nodiscard]] fencing_token token() const
    {
        return holding_ ? holding_->token : 0;
    }

    /// \param since a point in time
    /// \return true if a renewal that began later has been acknowledged
    [[nodiscard]] bool renewed_since(time_point since) const
    {
        return holding_ && holding_->renewed_at > since;
    }

    /// \param now current time
    /// \return what to tell peers; empty if nothing is known
    [[nodiscard]] std::optional<lease_notice> notice(time_point now) const;

private:
    struct holding
    {
        fencing_token token = 0;
        time_point taken_at;
        time_point renewed_at; ///< Beginning of the last acknowledged write.
        time_point valid_until;
        std::uint64_t write = 0; ///< Last acknowledged write.
        std::string previous_holder;
    };

    /// A write without a response so far.
    struct open_write
    {
        std::uint64_t at = 0;
        time_point began;
        lease_record record;
        bool was_released = false; ///< Of a write that takes the lease.
        duration unchanged_for{0}; ///< The same.
        /// The same; as in became_holder.
        std::optional<time_point> states_lost_until;
    };

    enum class store_call
    {
        none,
        read,
        append
    };

    void on_accepted(append_response const& response, time_point now);
    void confirm(open_write const& done, time_point now);
    void become_holder(open_write const& done, time_point now);
    bool recognise(lease_topic const& topic, time_point now);
    void note_topic(lease_topic const& topic, time_point now);
    void lose(loss_reason reason, time_point now);
    void retry_later(time_point now);
    [[nodiscard]] std::optional<lease_action>
    next_call(time_point now, bool content_to_store,
              std::function<duty_states()> const& states);
    void note_record(lease_record const& record, time_point now);
    [[nodiscard]] bool renewal_is_due(time_point now,
                                      bool content_to_store) const;
    [[nodiscard]] bool may_take(time_point now) const;
    [[nodiscard]] bool read_is_due(time_point now) const;
    [[nodiscard]] bool own_record_is_left() const;
    [[nodiscard]] bool is_restored() const;
    [[nodiscard]] std::optional<time_point> states_lost_until() const;
    [[nodiscard]] duration place_delay() const;
    [[nodiscard]] fencing_token next_token() const;
    [[nodiscard]] lease_action begin_read(time_point now);
    [[nodiscard]] lease_action begin_append(lease_record record,
                                            bool is_renewal, time_point now);
    [[nodiscard]] lease_action begin_take(time_point now);
    [[nodiscard]] lease_action begin_renewal(time_point now,
                                             duty_states const& states);

    lease_settings settings_;
    std::string name_;
    std::uint64_t incarnation_;
    time_point started_at_;
    std::optional<holding> holding_;
    /// The topic as last read or written, and since when it has been so.
    std::optional<lease_topic> topic_;
    time_point unchanged_since_;
    /// When the present era of the store was first seen. No state of an earlier
    /// era was stored after that.
    time_point era_seen_at_;
    std::uint64_t era_ = 0; ///< Newest era of the store that is known of.
    bool topic_has_grown_ = false; ///< A conflict has shown that since.
    std::vector<open_write> open_writes_;
    std::uint64_t writes_ = 0; ///< Number of the last write.
    store_call call_ = store_call::none;
    time_point read_began_at_;
    time_point append_began_at_;
    time_point next_call_at_;
    int failures_ = 0;       ///< Calls to the store that have failed in a row.
    bool must_read_ = false; ///< A write has ended without being accepted.
    bool renewal_requested_ = false;
    bool release_requested_ = false;
    bool stopping_ = false;
    /// Newest renewal that this daemon knows of.
    std::optional<lease_notice> heard_;
    time_point heard_at_;     ///< When that renewal took place.
    time_point released_at_;  ///< When its release was heard of.
    std::string left_holder_; ///< Holder that has left the fleet last.
    time_point left_at_;      ///< When it did.
    fencing_token highest_token_ = 0;
    fencing_token fenced_token_ = 0;
    /// Added to the next token; grows while new tokens are fenced, too.
    fencing_token token_step_ = 1;
    /// Until when this daemon may have acted as the holder.
    std::optional<time_point> active_until_;
    time_point not_before_; ///< The lease is not taken before this time.
    /// What a suspended daemon has begun before says nothing of its lease.
    time_point trusted_from_;
    std::size_t place_ = 0;
    std::size_t daemons_ = 1;
    std::vector<lease_action> findings_;
};

} // namespace medlarstall::duty

#endif
