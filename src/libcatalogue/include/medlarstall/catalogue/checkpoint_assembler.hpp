#ifndef MEDLARSTALL_CATALOGUE_CHECKPOINT_ASSEMBLER_HPP
#define MEDLARSTALL_CATALOGUE_CHECKPOINT_ASSEMBLER_HPP

#include <medlarstall/catalogue/checkpoint.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::catalogue {

/// Assembles checkpoints from their parts, which several writers may have
/// interleaved in the log. Keeps only the few newest incomplete checkpoints.
class checkpoint_assembler
{
public:
    /// Adds a part. A part that has been added before is ignored.
    /// \param part part of any checkpoint; parts may arrive in any order
    /// \return the checkpoint if this part completes it and its digest and
    ///     content are valid, otherwise nothing
    std::optional<checkpoint> add(checkpoint_part const& part);

    /// Discards all incomplete checkpoints.
    void clear() { incomplete_.clear(); }

private:
    struct incomplete_checkpoint
    {
        std::uint64_t end_offset = 0;
        std::string payload_digest;
        std::vector<std::optional<std::string>> parts;
        std::size_t missing_count = 0; ///< Parts that have not arrived.
    };

    /// \return the checkpoint that the part belongs to, or null if the part
    ///     contradicts it in the number of parts
    incomplete_checkpoint* find_or_add(checkpoint_part const& part);

    std::vector<incomplete_checkpoint> incomplete_; ///< Oldest first.
};

} // namespace medlarstall::catalogue

#endif
