#ifndef MEDLARSTALL_CATALOGUE_LIMITS_HPP
#define MEDLARSTALL_CATALOGUE_LIMITS_HPP

#include <cstddef>

namespace medlarstall::catalogue {

inline constexpr unsigned max_tier = 7;            ///< Tiers are 0 to 7.
inline constexpr double max_floor = 0.99;          ///< Of one class.
inline constexpr std::size_t max_entries = 20'000; ///< Of one kind.
inline constexpr std::size_t max_classes = 64;     ///< Of an organisation.
inline constexpr std::size_t max_keys = 16;        ///< Of an organisation.
inline constexpr std::size_t max_adapters = 256;   ///< Of a model.
inline constexpr std::size_t max_operations = 256; ///< Of a service.
inline constexpr std::size_t max_roles = 16;       ///< Of a group.
inline constexpr std::size_t max_static_backend_servers = 4'096; ///< Of one.
inline constexpr std::size_t max_edits = 4'096; ///< Of one change.
inline constexpr unsigned max_checkpoint_parts = 256;
inline constexpr std::size_t remembered_changes = 2'048; ///< By their ids.
inline constexpr std::size_t remembered_chain = 64; ///< Chain digests kept.

} // namespace medlarstall::catalogue

#endif
