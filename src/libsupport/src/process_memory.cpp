#include <medlarstall/support/process_memory.hpp>

#include <malloc.h>

namespace medlarstall {

void return_freed_memory()
{
    constexpr int large_buffer_bytes = 131072;
    // NOLINTBEGIN(concurrency-mt-unsafe) Start-up only.
    ::mallopt(M_MMAP_THRESHOLD, large_buffer_bytes);
    ::mallopt(M_TRIM_THRESHOLD, large_buffer_bytes);
    // NOLINTEND(concurrency-mt-unsafe)
}

} // namespace medlarstall
