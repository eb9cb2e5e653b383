#ifndef MEDLARSTALL_CATALOGUE_LIMITS_HPP
#define MEDLARSTALL_CATALOGUE_LIMITS_HPP

#include <cstddef>

namespace medlarstall::catalogue {

// Largest values that a catalogue, a change or a checkpoint may have. What is
// above them is rejected.

/// Highest tier of a service class; tiers range from 0 to 7.
inline constexpr unsigned max_tier = 7;

/// Largest floor of one service class.
inline constexpr double max_floor = 0.99;

/// Most entries of one kind in a catalogue.
inline constexpr std::size_t max_entries = 20'000;

/// Most service classes that one organisation may use.
inline constexpr std::size_t max_classes = 64;

/// Most keys of one organisation.
inline constexpr std::size_t max_keys = 16;

/// Most adapters of one model.
inline constexpr std::size_t max_adapters = 256;

/// Most operations of one service.
inline constexpr std::size_t max_operations = 256;

/// Most roles of one group.
inline constexpr std::size_t max_roles = 16;

/// Most static backend servers of one group.
inline constexpr std::size_t max_static_backend_servers = 4'096;

/// Most edits in one change.
inline constexpr std::size_t max_edits = 4'096;

/// Most records over which one checkpoint is split.
inline constexpr unsigned max_checkpoint_parts = 256;

/// Number of decided changes that are kept to detect duplicate change ids.
inline constexpr std::size_t max_decided_changes = 2'048;

/// Number of earlier chain digests that are kept to compare versions with.
inline constexpr std::size_t max_chain_history = 64;

} // namespace medlarstall::catalogue

#endif
