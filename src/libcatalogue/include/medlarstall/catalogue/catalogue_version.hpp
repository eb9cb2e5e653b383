#ifndef MEDLARSTALL_CATALOGUE_CATALOGUE_VERSION_HPP
#define MEDLARSTALL_CATALOGUE_CATALOGUE_VERSION_HPP

#include <cstdint>
#include <string>

namespace medlarstall::catalogue {

/// Identifies a prefix of the catalogue log, including its content. Plain data.
struct catalogue_version
{
    std::uint64_t offset = 0; ///< All records below this offset are applied.
    std::string chain_digest; ///< Chain digest over those records, in hex.

    bool operator==(catalogue_version const&) const = default;
};

/// \return the chain digest of an empty log, in hex
[[nodiscard]] std::string first_chain_digest();

/// Extends the digest chain by one record.
/// \param previous chain digest over the records before this one, in hex
/// \param offset offset of the record
/// \param record_digest SHA-256 of the record's canonical text, in hex
/// \return the chain digest over the log up to and including the record, in hex
[[nodiscard]] std::string next_chain_digest(std::string const& previous,
                                            std::uint64_t offset,
                                            std::string const& record_digest);

} // namespace medlarstall::catalogue

#endif
