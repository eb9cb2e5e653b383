#ifndef MEDLARSTALL_SUPPORT_PROCESS_MEMORY_HPP
#define MEDLARSTALL_SUPPORT_PROCESS_MEMORY_HPP

#include <cstddef>

namespace medlarstall {

/// Part of the machine's memory that unfinished requests and answers may hold.
/// The rest is for the records of the fleet (up to 32 MB), the buffers of the
/// kernel, and the growth of one buffer, which holds it twice for a moment.
inline constexpr double held_memory_share = 0.4;

inline constexpr double bytes_per_megabyte = 1e6;

/// \param memory_mb memory of the machine in MB
/// \return bytes that unfinished requests and answers may hold
[[nodiscard]] constexpr std::size_t held_memory_budget(double memory_mb)
{
    return static_cast<std::size_t>(memory_mb * held_memory_share *
                                    bytes_per_megabyte);
}

/// Lets large buffers return to the kernel when they are freed. By default the
/// allocator keeps them once a few were freed, and the process stays as large
/// as it ever was. To be called before any other thread runs.
void return_freed_memory();

} // namespace medlarstall

#endif
