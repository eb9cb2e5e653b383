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

/// The first 128 bits of a SHA-256 over everything that a call asks for.
struct body_digest
{
    std::array<std::uint8_t, 16> bytes{};

    bool operator==(body_digest const&) const = default;
};

/// Digests a call, so that one key cannot stand for two of them. The
/// organisation is part of it: nobody learns the outcome of another's key.
/// \param organisation name of the caller's organisation
/// \param operation method, service and path
/// \param body body of the call
/// \return the digest
[[nodiscard]] body_digest digest_of(std::string_view organisation,
                                    std::string_view operation,
                                    std::string_view body);

/// Asks to be the only one that runs a key. Plain data.
struct claim_record
{
    uuid key;
    body_digest digest;
    uuid attempt;
    std::string writer; ///< Process that holds the claim if it wins.

    bool operator==(claim_record const&) const = default;
};

/// Gives a claim back that was not and never will be dispatched. Plain data.
struct release_record
{
    uuid key;
    uuid attempt;

    bool operator==(release_record const&) const = default;
};

/// Says what came of a dispatched attempt. Plain data.
struct outcome_record
{
    uuid key;
    uuid attempt;
    shared_outcome result;
};

/// Carries nothing but the log's time of its append. Plain data.
struct mark_record
{
    bool operator==(mark_record const&) const = default;
};

/// A record of a claim stream.
using record =
    std::variant<mark_record, claim_record, release_record, outcome_record>;

/// A record as read from a claim stream. Plain data.
struct log_entry
{
    std::uint64_t offset = 0;
    wall_time time; ///< By the log's clock.
    std::string writer;
    std::uint64_t sequence = 0;
    record value;
};

/// The answer to one read of a claim stream. Plain data.
struct read_batch
{
    std::size_t stream = 0;
    std::uint64_t first_retained = 0;
    std::uint64_t end = 0; ///< Offset that the next append gets.
    std::vector<log_entry> entries;
};

/// \param value a record
/// \return about how many bytes it takes in an append
[[nodiscard]] std::size_t encoded_size(record const& value);

/// \param value a record
/// \return its attempt; a mark has the null identifier
[[nodiscard]] uuid attempt_of(record const& value);

} // namespace medlarstall::claim

#endif
