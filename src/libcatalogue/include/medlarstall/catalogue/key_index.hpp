#ifndef MEDLARSTALL_CATALOGUE_KEY_INDEX_HPP
#define MEDLARSTALL_CATALOGUE_KEY_INDEX_HPP

#include <medlarstall/catalogue/catalogue.hpp>

#include <string>
#include <string_view>
#include <unordered_map>

namespace medlarstall::catalogue {

/// Finds the holder of a key in constant time. The index refers to the
/// catalogue from which it was built, which must outlive it and must not
/// change. Keys are looked up by their SHA-256, so the duration of a lookup
/// reveals nothing useful about a key.
class key_index
{
public:
    key_index() = default;

    /// \param entries catalogue to index
    explicit key_index(catalogue const& entries);

    /// \param key key in plain text, as the caller sent it
    /// \return the organisation, or null if the key belongs to none
    [[nodiscard]] organisation const*
    find_organisation(std::string_view key) const;

    /// \param key key in plain text, as the operator sent it
    /// \return the operator key, or null if it is not in the catalogue
    [[nodiscard]] operator_key const*
    find_operator_key(std::string_view key) const;

private:
    std::unordered_map<std::string, organisation const*> organisations_;
    std::unordered_map<std::string, operator_key const*> operator_keys_;
};

} // namespace medlarstall::catalogue

#endif
