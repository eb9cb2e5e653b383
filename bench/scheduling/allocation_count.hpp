#ifndef MEDLARSTALL_BENCH_ALLOCATION_COUNT_HPP
#define MEDLARSTALL_BENCH_ALLOCATION_COUNT_HPP

#include <cstdint>

namespace medlarstall::bench {

/// \return memory allocations of this program so far
[[nodiscard]] std::uint64_t allocation_count();

} // namespace medlarstall::bench

#endif
