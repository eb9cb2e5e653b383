#ifndef MEDLARSTALL_CATALOGUE_ACCEPTANCE_HPP
#define MEDLARSTALL_CATALOGUE_ACCEPTANCE_HPP

#include <medlarstall/catalogue/change.hpp>
#include <medlarstall/catalogue/verdict.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace medlarstall::catalogue {

/// A change that was decided earlier. Plain data.
struct past_change
{
    std::string id;
    std::uint64_t offset = 0;
    bool accepted = false;
    std::vector<std::string> deleted; ///< Entries as "table/name".

    bool operator==(past_change const&) const = default;
};

/// What acceptance depends on: a function of the log prefix alone. Plain data.
struct catalogue_state
{
    catalogue entries;
    std::deque<past_change> past; ///< The last remembered_changes.

    bool operator==(catalogue_state const&) const = default;
};

/// Decides a change and applies it if it is accepted. The outcome depends on
/// the arguments only, so every daemon decides alike.
/// \param state state after the records below \p offset; changed in place
/// \param value change at \p offset
/// \param offset offset of the record
/// \param bootstrap_key_digest SHA-256, in hex, of the key that may make the
///     first change; it must be set alike at every daemon
/// \return what was decided
verdict decide(catalogue_state& state, change const& value,
               std::uint64_t offset, std::string const& bootstrap_key_digest);

/// Finds what turns one catalogue into another.
/// \param current catalogue in force
/// \param wanted catalogue whose revisions do not matter
/// \return edits with the expected revisions, in the order of tables and names
[[nodiscard]] std::vector<edit> difference(catalogue const& current,
                                           catalogue const& wanted);

} // namespace medlarstall::catalogue

#endif
