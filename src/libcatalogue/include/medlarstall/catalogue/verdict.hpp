#ifndef MEDLARSTALL_CATALOGUE_VERDICT_HPP
#define MEDLARSTALL_CATALOGUE_VERDICT_HPP

#include <medlarstall/catalogue/entries.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarstall::catalogue {

/// Reason for which a change was refused.
enum class refusal_reason
{
    none,           ///< The change was not refused.
    unknown_author, ///< The author has no operator key at that offset.
    key_mismatch,   ///< The key is not the author's current key, or not the
                    ///< bootstrap key while there are no operator keys.
    not_owner,      ///< The edit is reserved for another owner or for a
                    ///< consortium operator.
    conflict,       ///< The entry is not at the expected revision because
                    ///< another change was accepted first.
    invalid,        ///< The resulting catalogue would not be valid.
    wrong_anchor,   ///< The author had applied a different log.
    malformed       ///< The record is not a readable change.
};

/// \param reason reason to name
/// \return the name used in responses and logs, for example "conflict"
[[nodiscard]] std::string_view name_of(refusal_reason reason);

/// The decision about a change in the log. Plain data.
struct verdict
{
    std::string change_id;    ///< Id of the change.
    std::uint64_t offset = 0; ///< Offset of the record that was decided.
    bool accepted = false;
    bool repeated = false; ///< The id was decided before; nothing changed.
    refusal_reason reason = refusal_reason::none;
    std::string entry;     ///< Refused entry as "table/name", or empty.
    revision expected = 0; ///< Revision that the refused edit expected.
    revision actual = 0;   ///< Revision of the entry at that time.
    std::string winner;    ///< Id of the conflicting change, or empty.
    std::string message;   ///< Explanation for operators, or empty.

    bool operator==(verdict const&) const = default;
};

} // namespace medlarstall::catalogue

#endif
