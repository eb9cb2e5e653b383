#ifndef MEDLARSTALL_DUTY_USAGE_STATE_HPP
#define MEDLARSTALL_DUTY_USAGE_STATE_HPP

#include <medlarstall/duty/usage_ledger.hpp>
#include <medlarstall/support/result.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace medlarstall::duty {

/// What a holder stores of the usage reports for the next holder.
struct usage_state
{
    /// Windows before this one have a fixed content or were given up; 0 if none
    /// was fixed yet.
    std::uint64_t closed_before = 0;
    /// Fixed contents of windows whose reports were not accepted yet.
    std::map<std::uint64_t, organisation_counts> fixed;
    /// Rows of the windows that are still open, by the run of the daemon that
    /// counted them. Sums would not do: the daemons go on to tell their rows,
    /// and what a sum contains of them would be counted twice.
    std::map<std::uint64_t, usage_ledger::window_counts> open;

    bool operator==(usage_state const&) const = default;
};

/// \param state state to store
/// \return the state as CBOR, with organisations and counters listed once
[[nodiscard]] std::string encode(usage_state const& state);

/// \param bytes state as stored by a holder
/// \return the state, or an error if the bytes are not a valid one
[[nodiscard]] result<usage_state> decode_usage_state(std::string_view bytes);

} // namespace medlarstall::duty

#endif
