#ifndef MEDLARSTALL_CLAIM_WAITING_CALL_SET_HPP
#define MEDLARSTALL_CLAIM_WAITING_CALL_SET_HPP

#include <medlarstall/claim/call.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace medlarstall::claim {

/// A call that waits until the claim for its key is decided. Plain data.
struct waiting_call
{
    call_id id = 0;
    uuid key;
    call_digest digest;
    time_point deadline;
};

/// The calls of one daemon that wait for a claim to be decided, indexed by key
/// in the order of their arrival, and by deadline.
class waiting_call_set
{
public:
    /// \param value call to add; the set must not contain its id yet
    void add(waiting_call const& value);

    /// \param id call to remove
    /// \return the removed call, or nothing if the set does not contain it
    std::optional<waiting_call> remove(call_id id);

    /// \param key an idempotency key
    /// \return the calls with that key in the order of their arrival; empty if
    ///         there are none
    [[nodiscard]] std::vector<waiting_call> with_key(uuid const& key) const;

    /// \param key an idempotency key
    /// \return true if at least one call with that key is waiting
    [[nodiscard]] bool contains_key(uuid const& key) const;

    /// \param now current time
    /// \return the calls whose deadline has passed, the earliest deadline
    ///         first; they stay in the set
    [[nodiscard]] std::vector<waiting_call> expired(time_point now) const;

    /// \return the keys of all calls, each key once
    [[nodiscard]] std::vector<uuid> keys() const;

    /// \return the earliest deadline, or nothing if no call is waiting
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    /// \return number of waiting calls
    [[nodiscard]] std::size_t size() const { return calls_.size(); }

private:
    std::map<call_id, waiting_call> calls_;
    std::map<uuid, std::vector<call_id>> ids_by_key_;
    std::set<std::pair<time_point, call_id>> ids_by_deadline_;
};

} // namespace medlarstall::claim

#endif
