#ifndef MEDLARSTALL_CATALOGUE_ENTRY_KIND_HPP
#define MEDLARSTALL_CATALOGUE_ENTRY_KIND_HPP

#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/support/result.hpp>

#include <string_view>
#include <variant>

namespace medlarstall::catalogue {

/// The tables of a catalogue, in the order of any_entry's alternatives.
enum class entry_kind
{
    service_class,
    organisation,
    group,
    model,
    service,
    operator_key
};

/// An entry of any kind; its index is that of its entry_kind.
using any_entry =
    std::variant<service_class, organisation, backend_server_group, model,
                 service, operator_key>;

/// \param kind kind of entry
/// \return name of its table in the JSON form, for example "organisations"
[[nodiscard]] std::string_view table_name(entry_kind kind);

/// \param name name of a table in the JSON form
/// \return the kind of its entries, or an error that lists the names
[[nodiscard]] result<entry_kind> parse_entry_kind(std::string_view name);

/// Calls a visitor with the kind and the table of each kind of entry, in the
/// order of entry_kind.
/// \param entries a catalogue, constant or not
/// \param visitor callable with (entry_kind, entry_table<Entry>&)
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
