#include "allocation_count.hpp"

#include <cstdlib>
#include <new>

namespace medlarstall::bench {

namespace {

std::uint64_t allocations = 0;

} // namespace

std::uint64_t allocation_count()
{
    return allocations;
}

} // namespace medlarstall::bench

void* operator new(std::size_t size)
{
    ++medlarstall::bench::allocations;
    if (auto* const memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc{};
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}
