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

/// All that the records below an offset lead to, so that they may expire.
/// Plain data.
struct checkpoint
{
    catalogue_version version;
    std::deque<std::string> history; ///< Chain digests before the version's.
    catalogue_state state;

    bool operator==(checkpoint const&) const = default;
};

/// Writes a checkpoint in its canonical form, which is the same at every
/// daemon.
/// \param value a checkpoint
/// \return JSON text
[[nodiscard]] std::string write_checkpoint(checkpoint const& value);

/// Reads a checkpoint and checks that its catalogue is valid.
/// \param text JSON text
/// \return the checkpoint, or an error with the path of the value at fault
[[nodiscard]] result<checkpoint> read_checkpoint(std::string_view text);

/// Cuts the canonical form into parts, each a record of its own.
/// \param value a checkpoint
/// \param part_bytes longest payload of a part
/// \return at least one part, in order
[[nodiscard]] std::vector<checkpoint_part>
split_checkpoint(checkpoint const& value, std::size_t part_bytes);

} // namespace medlarstall::catalogue

#endif
