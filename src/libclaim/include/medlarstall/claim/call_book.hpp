#ifndef MEDLARSTALL_CLAIM_CALL_BOOK_HPP
#define MEDLARSTALL_CLAIM_CALL_BOOK_HPP

#include <medlarstall/claim/call.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace medlarstall::claim {

/// A call that waits for its key. Plain data.
struct waiting_call
{
    call_id id = 0;
    uuid key;
    body_digest digest;
    time_point deadline;
};

/// The calls of one daemon that wait for a claim to be decided, by key in the
/// order of their arrival, and by deadline.
class call_book
{
public:
    /// \param value call to keep; its id must not be kept yet
    void add(waiting_call const& value);

    /// \param id call to forget
    /// \return the call, if it was kept
    std::optional<waiting_call> remove(call_id id);

    /// \param key a key
    /// \return its calls, the first to arrive first
    [[nodiscard]] std::vector<waiting_call> of(uuid const& key) const;

    /// \param key a key
    /// \return true if a call waits for it
    [[nodiscard]] bool waits_for(uuid const& key) const;

    /// \param now current time
    /// \return calls whose deadline has passed, the earliest first
    [[nodiscard]] std::vector<waiting_call> expired(time_point now) const;

    /// \return keys that calls wait for, each once
    [[nodiscard]] std::vector<uuid> keys() const;

    /// \return the earliest deadline
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    /// \return calls kept
    [[nodiscard]] std::size_t size() const { return calls_.size(); }

private:
    std::map<call_id, waiting_call> calls_;
    std::map<uuid, std::vector<call_id>> by_key_;
    std::set<std::pair<time_point, call_id>> by_deadline_;
};

} // namespace medlarstall::claim

#endif
