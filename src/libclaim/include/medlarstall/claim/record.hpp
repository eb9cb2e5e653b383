#ifndef MEDLARSTALL_CLAIM_RECORD_HPP
#define MEDLARSTALL_CLAIM_RECORD_HPP

#include <medlarstall/claim/outcome.hpp>
#include <medlarstall/support/uuid.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace medlarstall::claim {

/// Identifies the content of a call: the first 128 bits of a SHA-256 digest
/// over its organisation, operation and body.
struct call_digest
{
    std::array<std::uint8_t, 16> bytes{};

    bool operator==(call_digest const&) const = default;
};

/// Computes the digest of a call. It ensures that one key cannot be used for
/// two different calls. The organisation is part of it, so that nobody learns
/// the outcome of a call of another organisation by using its key.
/// \param organisation name of the caller's organisation
/// \param operation method, service and path of the call
/// \param body body of the call
/// \return the digest; texts that differ in any of the three parts have
///         different digests, but for collisions of SHA-256
[[nodiscard]] call_digest compute_call_digest(std::string_view organisation,
                                              std::string_view operation,
                                              std::string_view body);

/// Claims the exclusive right to run the call of a key. Plain data.
struct claim_record
{
    uuid key;
    call_digest digest;
    uuid attempt;
    std::string writer; ///< Process that holds the key if the claim wins.

    bool operator==(claim_record const&) const = default;
};

/// Releases a claim whose attempt was not and never will be run. Plain data.
struct release_record
{
    uuid key;
    uuid attempt;

    bool operator==(release_record const&) const = default;
};

/// Records the outcome of a dispatched attempt. Plain data.
struct outcome_record
{
    uuid key;
    uuid attempt;
    shared_outcome result;
};

/// Has no content. It is appended to learn the log's current time from the time
/// at which it was appended. Plain data.
struct mark_record
{
    bool operator==(mark_record const&) const = default;
};

/// A record of a claim stream.
using record =
    std::variant<mark_record, claim_record, release_record, outcome_record>;

/// A record as read from a claim stream, with the data of its append. Plain
/// data.
struct log_entry
{
    std::uint64_t offset = 0;
    wall_time time;             ///< Log time at which it was appended.
    std::string writer;         ///< Process that appended it.
    std::uint64_t sequence = 0; ///< Sequence number of the writer's append.
    record value;
};

/// The answer to one read of a claim stream. Plain data.
struct read_batch
{
    std::size_t stream = 0;
    std::uint64_t first_retained_offset =
        0;                        ///< Offset of the log's first record.
    std::uint64_t end_offset = 0; ///< Offset that the next append will get.
    std::vector<log_entry> entries;
};

/// \param value a record
/// \return estimate of its size in an append, in bytes
[[nodiscard]] std::size_t encoded_size(record const& value);

/// \param value a record
/// \return the attempt that it belongs to; the null identifier for a mark
[[nodiscard]] uuid attempt_of(record const& value);

} // namespace medlarstall::claim

#endif
