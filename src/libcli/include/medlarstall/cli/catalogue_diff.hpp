#ifndef MEDLARSTALL_CLI_CATALOGUE_DIFF_HPP
#define MEDLARSTALL_CLI_CATALOGUE_DIFF_HPP

#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/catalogue/change.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace medlarstall::cli {

/// What happens to entries of the catalogue in force that are absent from the
/// wanted catalogue.
enum class absent_entry_policy
{
    delete_entries,
    keep_entries
};

/// Parses the response to GET /admin/v1/catalogue.
/// \param response JSON body of the response
/// \return the catalogue in force with the revision of each entry; an error if
///     the response contains no valid catalogue
[[nodiscard]] result<catalogue::catalogue>
parse_catalogue_response(nlohmann::json const& response);

/// Computes the edits that turn one catalogue into another.
/// \param in_force catalogue in force, with revisions
/// \param wanted catalogue after the edits
/// \param policy whether entries that are absent from \p wanted are deleted
/// \return the edits, ordered by table; within a table first the new and
///     changed entries by name, then the deleted ones by name
[[nodiscard]] std::vector<catalogue::edit>
find_edits(catalogue::catalogue const& in_force,
           catalogue::catalogue const& wanted, absent_entry_policy policy);

/// Formats edits as human-readable text: one line for each entry, with "+" for
/// a new, "-" for a deleted and "~" for a changed entry. Below a changed entry
/// follows each changed member with its old and new value.
/// \param in_force catalogue in force
/// \param edits edits that apply to \p in_force
/// \return the text; empty if there are no edits
[[nodiscard]] std::string
render_edits(catalogue::catalogue const& in_force,
             std::vector<catalogue::edit> const& edits);

} // namespace medlarstall::cli

#endif
