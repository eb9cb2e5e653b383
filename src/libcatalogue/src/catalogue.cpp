#include <medlarstall/catalogue/catalogue.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>

namespace medlarstall::catalogue {

organisation const* find_organisation_by_key(catalogue const& entries,
                                             std::string_view key)
{
    auto const digest = sha256_hex(key);
    for (auto const& [name, entry] : entries.organisations) {
        auto const& digests = entry.value.key_digests;
        if (std::ranges::find(digests, digest) != digests.end()) {
            return &entry.value;
        }
    }
    return nullptr;
}

} // namespace medlarstall::catalogue
