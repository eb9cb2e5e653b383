#ifndef MEDLARSTALL_CATALOGUE_ACCEPTANCE_HPP
#define MEDLARSTALL_CATALOGUE_ACCEPTANCE_HPP

#include <medlarstall/catalogue/change.hpp>
#include <medlarstall/catalogue/verdict.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace medlarstall::catalogue {

/// Outcome of an earlier change, kept to detect duplicates. Plain data.
struct decided_change
{
    std::string id;           ///< Id of the change.
    std::uint64_t offset = 0; ///< Offset of the first record with this id.
    bool accepted = false;
    std::vector<std::string> deleted; ///< Deleted entries as "table/name".

    bool operator==(decided_change const&) const = default;
};

/// The state that decides whether a change is accepted. It depends on nothing
/// but the records of the log so far. Plain data.
struct catalogue_state
{
    catalogue entries;

    /// The last max_decided_changes changes, oldest first.
    std::deque<decided_change> decided_changes;

    bool operator==(catalogue_state const&) const = default;
};

/// Decides whether a change is accepted and, if so, applies it. The outcome
/// depends on the arguments only, so every daemon reaches the same decision.
/// \param state state after the records below \p offset; updated in place
/// \param proposed change to decide
/// \param offset offset of the log record that contains the change
/// \param bootstrap_key_digest SHA-256, in hex, of the key that may make
///     changes while the catalogue has no operator keys; it must be the same
///     at every daemon. If it is empty, no such change is accepted.
/// \return the decision; for a change id decided before, the earlier decision
///     with verdict::repeated set
verdict decide(catalogue_state& state, change const& proposed,
               std::uint64_t offset, std::string const& bootstrap_key_digest);

/// Computes the edits that turn one catalogue into another.
/// \param current catalogue in force
/// \param wanted catalogue to reach; its revisions are ignored
/// \return edits that expect the revisions of \p current, table by table; in
///     each table the deletions come first, and both parts are ordered by name.
///     Empty if all entries are equal.
[[nodiscard]] std::vector<edit> edits_between(catalogue const& current,
                                              catalogue const& wanted);

} // namespace medlarstall::catalogue

#endif
