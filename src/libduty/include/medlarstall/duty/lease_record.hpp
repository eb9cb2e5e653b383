#ifndef MEDLARSTALL_DUTY_LEASE_RECORD_HPP
#define MEDLARSTALL_DUTY_LEASE_RECORD_HPP

#include <medlarstall/duty/duty_call.hpp>
#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace medlarstall::duty {

/// State of each duty by the name of the duty, in the duty's own encoding.
using duty_states = std::map<std::string, std::string>;

/// Content of the record of the lease. Every write of the holder replaces it.
struct lease_record
{
    fencing_token token = 0;
    std::string holder;            ///< Name of the daemon.
    std::uint64_t incarnation = 0; ///< Of that daemon; 0 if unknown.
    /// Number of the write among all writes of that incarnation, by which the
    /// holder recognises the ones that were not answered; 0 if unknown.
    std::uint64_t write = 0;
    std::string previous_holder; ///< Empty if there was none.
    /// For how long the holder held the lease at the time of the write.
    std::chrono::milliseconds held{0};
    bool released = false; ///< The holder makes no further calls.
    /// Era of the store for which the record was written.
    std::uint64_t era = 0;
    /// Era in which a holder has stored the states itself. Earlier than era
    /// while a holder has only taken over the states of a restored record; 0 if
    /// unknown.
    std::uint64_t states_era = 0;
    duty_states states;

    bool operator==(lease_record const&) const = default;
};

/// \param record record to write
/// \return the record as CBOR
[[nodiscard]] std::string encode(lease_record const& record);

/// \param bytes value of a record of the store
/// \return the record, or an error if the bytes are not a valid one
[[nodiscard]] result<lease_record> decode_lease_record(std::string_view bytes);

} // namespace medlarstall::duty

#endif
