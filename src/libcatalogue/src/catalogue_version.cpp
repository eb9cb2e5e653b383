#include <medlarstall/catalogue/catalogue_version.hpp>

#include <medlarstall/support/digest.hpp>

namespace medlarstall::catalogue {

std::string first_chain_digest()
{
    return sha256_hex("");
}

std::string next_chain_digest(std::string const& previous, std::uint64_t offset,
                              std::string const& record_digest)
{
    return sha256_hex(previous + " " + std::to_string(offset) + " " +
                      record_digest);
}

} // namespace medlarstall::catalogue
