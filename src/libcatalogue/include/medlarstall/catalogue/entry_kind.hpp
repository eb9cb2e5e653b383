#ifndef MEDLARSTALL_CATALOGUE_ENTRY_KIND_HPP
#define MEDLARSTALL_CATALOGUE_ENTRY_KIND_HPP

#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/support/result.hpp>

#include <string_view>
#include <variant>

namespace medlarstall::catalogue {

/// Kinds of entries, in the order of the alternatives of any_entry. Each kind
/// has a table in the catalogue.
enum class entry_kind
{
    service_class,
    organisation,
    group,
    model,
    service,
    operator_key
};

/// An entry of any kind. The index of the alternative is its entry_kind.
using any_entry =
    std::variant<service_class, organisation, backend_server_group, model,
                 service, operator_key>;

/// \param kind kind of entries
/// \return name of their table in the JSON form, for example "organisations"
[[nodiscard]] std::string_view table_name(entry_kind kind);

/// \param name name of a table in the JSON form
/// \return kind of the entries in the table, or an error that lists the valid
///     names
[[nodiscard]] result<entry_kind> parse_entry_kind(std::string_view name);

/// Calls a visitor for each table of a catalogue, in the order of entry_kind.
/// \param entries catalogue to visit, constant or not
/// \param visitor callable with (entry_kind, entry_table<Entry>&) for every
///     type of entry
template<class Catalogue, class Visitor>
void visit_tables(Catalogue& entries, Visitor&& visitor)
{
    visitor(entry_kind::service_class, entries.classes);
    visitor(entry_kind::organisation, entries.organisations);
    visitor(entry_kind::group, entries.groups);
    visitor(entry_kind::model, entries.models);
    visitor(entry_kind::service, entries.services);
    visitor(entry_kind::operator_key, entries.operator_keys);
}

} // namespace medlarstall::catalogue

#endif
