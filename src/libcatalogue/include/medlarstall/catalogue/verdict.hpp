#ifndef MEDLARSTALL_CATALOGUE_VERDICT_HPP
#define MEDLARSTALL_CATALOGUE_VERDICT_HPP

#include <medlarstall/catalogue/entries.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarstall::catalogue {

/// Why a change was refused.
enum class refusal
{
    none,
    unknown_author, ///< No such operator key at that point of the log.
    key_mismatch,   ///< The author's key was replaced, or is not the bootstrap
                    ///< key.
    not_owner,      ///< Only the owner or a consortium operator may do this.
    conflict,       ///< Another change of the same entry came first.
    invalid,        ///< The catalogue that would result is not valid.
    wrong_anchor,   ///< The writer had applied another log.
    malformed       ///< The record could not be read.
};

/// \param reason why a change was refused
/// \return its stable name, for example "conflict"
[[nodiscard]] std::string_view name_of(refusal reason);

/// What the log decided about a change. Plain data.
struct verdict
{
    std::string change_id;
    std::uint64_t offset = 0; ///< Of the record that was decided.
    bool accepted = false;
    bool repeated = false; ///< The id was seen before; nothing changed now.
    refusal reason = refusal::none;
    std::string entry; ///< Entry at fault as "table/name", or empty.
    revision expected = 0;
    revision actual = 0;
    std::string winner;  ///< Id of the change that came first, or empty.
    std::string message; ///< In words, for operators.

    bool operator==(verdict const&) const = default;
};

} // namespace medlarstall::catalogue

#endif
