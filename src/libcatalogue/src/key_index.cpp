#include <medlarstall/catalogue/key_index.hpp>

#include <medlarstall/support/digest.hpp>

namespace medlarstall::catalogue {

key_index::key_index(catalogue const& entries)
{
    organisations_.reserve(entries.organisations.size());
    for (auto const& [name, entry] : entries.organisations) {
        for (auto const& digest : entry.value.key_digests) {
            organisations_.emplace(digest, &entry.value);
        }
    }
    for (auto const& [name, entry] : entries.operator_keys) {
        operator_keys_.emplace(entry.value.key_digest, &entry.value);
    }
}

organisation const* key_index::find_organisation(std::string_view key) const
{
    auto const found = organisations_.find(sha256_hex(key));
    return found == organisations_.end() ? nullptr : found->second;
}

operator_key const* key_index::find_operator_key(std::string_view key) const
{
    auto const found = operator_keys_.find(sha256_hex(key));
    return found == operator_keys_.end() ? nullptr : found->second;
}

} // namespace medlarstall::catalogue
