#ifndef MEDLARSTALL_CATALOGUE_CATALOGUE_HPP
#define MEDLARSTALL_CATALOGUE_CATALOGUE_HPP

#include <medlarstall/catalogue/entries.hpp>

#include <map>
#include <string>
#include <string_view>

namespace medlarstall::catalogue {

/// An entry with its revision and the change that last set it.
template<class Entry>
struct revisioned_entry
{
    Entry value;
    revision at = 0;        ///< Revision of the entry.
    std::string changed_by; ///< Id of the change that set it, or empty.

    bool operator==(revisioned_entry const&) const = default;
};

/// Entries of one kind by name.
template<class Entry>
using entry_table = std::map<std::string, revisioned_entry<Entry>, std::less<>>;

/// All entries of a catalogue, by kind. Plain data.
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

/// Finds an entry by name.
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

/// Finds the organisation that a caller's key belongs to, in time linear in the
/// number of keys. key_index does the same in constant time.
/// \param entries catalogue to search
/// \param key key in plain text, as the caller sent it
/// \return the organisation, or null if the key belongs to none
[[nodiscard]] organisation const*
find_organisation_by_key(catalogue const& entries, std::string_view key);

} // namespace medlarstall::catalogue

#endif
