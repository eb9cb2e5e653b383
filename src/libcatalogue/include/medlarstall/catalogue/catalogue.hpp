#ifndef MEDLARSTALL_CATALOGUE_CATALOGUE_HPP
#define MEDLARSTALL_CATALOGUE_CATALOGUE_HPP

#include <medlarstall/catalogue/entries.hpp>

#include <map>
#include <string>
#include <string_view>

namespace medlarstall::catalogue {

/// An entry and the change that led to it.
template<class Entry>
struct revised
{
    Entry value;
    revision at = 0;
    std::string changed_by; ///< Id of the change that led to it, or empty.

    bool operator==(revised const&) const = default;
};

template<class Entry>
using entry_table = std::map<std::string, revised<Entry>, std::less<>>;

/// All entries that are in force. Plain data.
struct catalogue
{
    entry_table<service_class> classes;
    entry_table<organisation> organisations;
    entry_table<backend_server_group> groups;
    entry_table<model> models;
    entry_table<service> services;
    entry_table<operator_key> operator_keys;

    bool operator==(catalogue const&) const = default;
};

/// Finds an entry by its name.
/// \param table entries of one kind
/// \param name name of the entry
/// \return the entry, or null if there is none
template<class Entry>
[[nodiscard]] Entry const* find(entry_table<Entry> const& table,
                                std::string_view name)
{
    auto const found = table.find(name);
    return found == table.end() ? nullptr : &found->second.value;
}

/// Finds the organisation that owns a caller's key by looking at each; a
/// key_index answers in constant time.
/// \param entries catalogue in force
/// \param key the key as the caller sent it
/// \return the organisation, or null if no organisation has that key
[[nodiscard]] organisation const* find_by_key(catalogue const& entries,
                                              std::string_view key);

} // namespace medlarstall::catalogue

#endif
