#ifndef MEDLARSTALL_DUTY_DUTY_CALL_HPP
#define MEDLARSTALL_DUTY_DUTY_CALL_HPP

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace medlarstall::duty {

/// Number that increases each time the holder of the duties changes. The
/// platform rejects calls with a lower one than it has seen.
using fencing_token = std::uint64_t;

/// Requests of each organisation that began to run, by its name.
using organisation_counts = std::map<std::string, std::uint64_t>;

/// Reports the use of one window of time.
struct usage_report
{
    std::uint64_t window = 0; ///< Number of the window since 1970.
    organisation_counts counts;

    bool operator==(usage_report const&) const = default;
};

/// Orders a number of backend servers of a service in a data centre.
struct scale_order
{
    std::string service;
    std::string data_centre;
    /// Whether the order is for servers that may be reclaimed. They are counted
    /// apart from the others.
    bool reclaimable = false;
    std::uint32_t count = 0;

    bool operator==(scale_order const&) const = default;
};

/// A call to the platform that only the holder of the duties makes.
using duty_call = std::variant<usage_report, scale_order>;

/// How a call has ended.
enum class call_outcome
{
    accepted,
    /// The platform has seen a higher token; the holding has ended.
    fenced,
    /// Nothing was done, and the token is not the reason: too many calls, none
    /// available, or out of service.
    rejected,
    unavailable, ///< The order cannot be met at present.
    /// No answer. The call may have been executed, or may be later.
    unknown
};

/// \param outcome how a call has ended
/// \return its name in log lines
[[nodiscard]] char const* name_of(call_outcome outcome);

} // namespace medlarstall::duty

#endif
