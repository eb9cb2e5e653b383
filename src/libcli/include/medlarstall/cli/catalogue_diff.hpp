#ifndef MEDLARSTALL_CLI_CATALOGUE_DIFF_HPP
#define MEDLARSTALL_CLI_CATALOGUE_DIFF_HPP

#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/catalogue/change.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace medlarstall::cli {

/// Whether entries in force that a file does not name are to be deleted.
enum class absent_entries
{
    are_deleted,
    are_kept
};

/// Reads what GET /admin/v1/catalogue answers.
/// \param answer JSON body
/// \return the catalogue in force with its revisions, or an error
[[nodiscard]] result<catalogue::catalogue>
read_in_force(nlohmann::json const& answer);

/// Computes the edits that lead from one catalogue to another.
/// \param in_force catalogue in force, with revisions
/// \param wanted catalogue that is wanted
/// \param absent what becomes of entries that \p wanted lacks
/// \return the edits, in the order of the tables and names
[[nodiscard]] std::vector<catalogue::edit>
find_edits(catalogue::catalogue const& in_force,
           catalogue::catalogue const& wanted, absent_entries absent);

/// Writes edits for people: a line for each entry, "+" for a new one, "-" for
/// a deleted one and "~" for a changed one, and below a changed entry each
/// member with its old and new value.
/// \param in_force catalogue in force
/// \param edits edits against it
/// \return text, empty if there are no edits
[[nodiscard]] std::string
render_edits(catalogue::catalogue const& in_force,
             std::vector<catalogue::edit> const& edits);

} // namespace medlarstall::cli

#endif
