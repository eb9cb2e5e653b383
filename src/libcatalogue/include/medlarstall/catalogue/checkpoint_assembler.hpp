#ifndef MEDLARSTALL_CATALOGUE_CHECKPOINT_ASSEMBLER_HPP
#define MEDLARSTALL_CATALOGUE_CHECKPOINT_ASSEMBLER_HPP

#include <medlarstall/catalogue/checkpoint.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::catalogue {

/// Puts checkpoints together from parts that several writers may have
/// interleaved. Keeps a few incomplete ones, the newest.
class checkpoint_assembler
{
public:
    /// Takes a part; parts that it has already are ignored.
    /// \param part part in any order
    /// \return the checkpoint if this part made it whole and its digest and
    ///     content are sound
    std::optional<checkpoint> add(checkpoint_part const& part);

    /// Forgets all incomplete checkpoints.
    void clear() { incomplete_.clear(); }

private:
    struct incomplete
    {
        std::uint64_t prefix = 0;
        std::string payload_digest;
        std::vector<std::optional<std::string>> parts;
        std::size_t missing = 0;
    };

    incomplete* find_or_add(checkpoint_part const& part);

    std::vector<incomplete> incomplete_; ///< Oldest first.
};

} // namespace medlarstall::catalogue

#endif
