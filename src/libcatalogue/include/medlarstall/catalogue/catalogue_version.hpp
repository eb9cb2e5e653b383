#ifndef MEDLARSTALL_CATALOGUE_CATALOGUE_VERSION_HPP
#define MEDLARSTALL_CATALOGUE_CATALOGUE_VERSION_HPP

#include <cstdint>
#include <string>

namespace medlarstall::catalogue {

/// Names a prefix of the catalogue's log and its content. Plain data.
struct catalogue_version
{
    std::uint64_t offset = 0; ///< Records below this offset are applied.
    std::string chain;        ///< Digest chain over those records, in hex.

    bool operator==(catalogue_version const&) const = default;
};

/// \return the digest chain of the empty prefix
[[nodiscard]] std::string first_chain_digest();

/// Extends the digest chain by one record.
/// \param previous chain over the records before
/// \param offset offset of the record
/// \param record_digest SHA-256 of the record's canonical text, in hex
/// \return the chain that ends with the record
[[nodiscard]] std::string next_chain_digest(std::string const& previous,
                                            std::uint64_t offset,
                                            std::string const& record_digest);

} // namespace medlarstall::catalogue

#endif
