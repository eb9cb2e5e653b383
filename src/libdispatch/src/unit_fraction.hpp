#ifndef MEDLARSTALL_DISPATCH_UNIT_FRACTION_HPP
#define MEDLARSTALL_DISPATCH_UNIT_FRACTION_HPP

#include <cstdint>

namespace medlarstall::dispatch {

/// \param value a hash
/// \return the hash scaled to the range 0 to 1; the same at all daemons
[[nodiscard]] inline double unit_fraction(std::uint64_t value)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(value) / range;
}

} // namespace medlarstall::dispatch

#endif
