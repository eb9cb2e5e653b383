#ifndef MEDLARSTALL_DUTY_LEASE_ACTION_HPP
#define MEDLARSTALL_DUTY_LEASE_ACTION_HPP

#include <medlarstall/duty/lease_record.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace medlarstall::duty {

/// The topic of the lease as the store has returned it.
struct lease_topic
{
    /// Newest record of the lease; empty if there is none or it is unreadable.
    std::optional<lease_record> record;
    std::uint64_t end = 0; ///< End of the partition.
    std::uint64_t era = 0; ///< Era of the store.
};

/// How an append to the topic of the lease has ended.
enum class append_status
{
    accepted,
    conflict, ///< The partition does not end at the expected offset.
    refused,  ///< The store has done nothing.
    unknown   ///< The append may have been executed, or may be later.
};

/// Response to an append.
struct append_response
{
    append_status status = append_status::unknown;
    std::uint64_t end = 0; ///< End of the partition, if accepted.
    std::uint64_t era = 0; ///< Era of the store, if accepted.
};

/// Read the topic of the lease.
struct read_topic
{};

/// Append a record if the partition ends at an offset.
struct append_record
{
    std::uint64_t at = 0;
    lease_record record;
    bool is_renewal = false;
};

/// This daemon has become the holder.
struct became_holder
{
    fencing_token token = 0;
    duty_states states;          ///< As the holder before has stored them.
    std::string previous_holder; ///< Empty if there was none.
    bool was_released = false;   ///< By that holder.
    /// For how long the record had not changed when the lease was taken.
    duration unchanged_for{0};
    /// Set if later states were lost in a restore of the store: until when
    /// they may have been stored.
    std::optional<time_point> states_lost_until;
};

/// The states of a renewal of this daemon are stored.
struct states_stored
{
    std::uint64_t write = 0; ///< Number of that write.
};

/// Why a daemon is no longer the holder.
enum class loss_reason
{
    superseded, ///< The record is that of another holder, or was removed.
    restored,   ///< The store was restored from an older copy.
    fenced,     ///< The platform has seen a higher token.
    released
};

/// \param reason why a daemon is no longer the holder
/// \return its name in log lines
[[nodiscard]] char const* name_of(loss_reason reason);

/// This daemon is no longer the holder.
struct lost_lease
{
    fencing_token token = 0;
    loss_reason reason = loss_reason::superseded;
    duration renewal_age{0}; ///< Time since the last renewal began.
};

/// What the policy of the lease asks for or has found.
using lease_action = std::variant<read_topic, append_record, became_holder,
                                  states_stored, lost_lease>;

} // namespace medlarstall::duty

#endif
