#ifndef MEDLARSTALL_DUTY_USAGE_ROW_HPP
#define MEDLARSTALL_DUTY_USAGE_ROW_HPP

#include <medlarstall/duty/duty_call.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::duty {

/// Identifies one run of a daemon.
using counter_id = std::uint64_t;

/// \param daemon name of a daemon
/// \param incarnation number that increases with each start of it
/// \return identifier of that run of the daemon
[[nodiscard]] counter_id counter_of(std::string_view daemon,
                                    std::uint64_t incarnation);

/// What one run of a daemon has counted in one window, since its start.
struct usage_row
{
    std::uint64_t window = 0; ///< Number of the window since 1970.
    organisation_counts counts;

    bool operator==(usage_row const&) const = default;
};

/// What a daemon tells its peers of the requests that it has counted.
struct usage_note
{
    /// Windows before this one have a fixed content, as far as the sender
    /// knows; 0 if it does not know of any.
    std::uint64_t closed_before = 0;
    std::vector<usage_row> rows;

    bool operator==(usage_note const&) const = default;
};

} // namespace medlarstall::duty

#endif
