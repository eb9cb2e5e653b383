#ifndef MEDLARSTALL_CATALOGUE_CHECKPOINT_HPP
#define MEDLARSTALL_CATALOGUE_CHECKPOINT_HPP

#include <medlarstall/catalogue/acceptance.hpp>
#include <medlarstall/catalogue/catalogue_version.hpp>
#include <medlarstall/support/result.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::catalogue {

/// The complete state after all records below an offset. Once it is stored,
/// those records may expire. Plain data.
struct checkpoint
{
    catalogue_version version;

    /// Chain digests of the versions before this one, oldest first, at most
    /// max_chain_history.
    std::deque<std::string> chain_history;

    catalogue_state state;

    bool operator==(checkpoint const&) const = default;
};

/// Writes a checkpoint in its canonical form. Equal checkpoints give the same
/// text at every daemon.
/// \param value checkpoint to write
/// \return canonical JSON text
[[nodiscard]] std::string write_checkpoint(checkpoint const& value);

/// Reads a checkpoint and checks that its catalogue is valid.
/// \param text JSON text, at most 64 MiB
/// \return the checkpoint, or an error with the JSON path of the invalid value
[[nodiscard]] result<checkpoint> read_checkpoint(std::string_view text);

/// Splits the canonical form of a checkpoint into parts, each of which is one
/// record of the log.
/// \param value checkpoint to split
/// \param part_bytes maximum payload of a part, in bytes; raised if the
///     checkpoint would otherwise need more than max_checkpoint_parts
/// \return the parts in order; at least one
[[nodiscard]] std::vector<checkpoint_part>
split_checkpoint(checkpoint const& value, std::size_t part_bytes);

} // namespace medlarstall::catalogue

#endif
