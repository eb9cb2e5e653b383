#ifndef MEDLARSTALL_GATEWAY_DUTY_HANDLE_HPP
#define MEDLARSTALL_GATEWAY_DUTY_HANDLE_HPP

#include <medlarstall/duty/exclusive_duty.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::gateway {

/// Functions of one duty, so that a service can hold duties of different types.
/// Each corresponds to the member of duty::exclusive_duty with its name.
struct duty_handle
{
    std::string name; ///< Key of its state in the lease record.
    std::function<std::string()> state;
    std::function<std::uint64_t()> revision;
    std::function<void(duty::stored_state const&, time_point)> on_taken;
    std::function<void()> on_lost;
    std::function<void(std::uint64_t)> on_stored;
    std::function<std::vector<duty::duty_call>(time_point)> due_calls;
    std::function<void(duty::duty_call const&, duty::call_outcome, time_point)>
        on_result;
};

/// \param name key of the duty's state in the lease record
/// \param target the duty, which must outlive the handle
/// \return functions that call the duty
template<duty::exclusive_duty Duty>
[[nodiscard]] duty_handle make_duty_handle(std::string name, Duty& target)
{
    return {std::move(name),
            [&target] { return target.state(); },
            [&target] { return target.revision(); },
            [&target](duty::stored_state const& stored, time_point now) {
                target.on_taken(stored, now);
            },
            [&target] { target.on_lost(); },
            [&target](std::uint64_t revision) { target.on_stored(revision); },
            [&target](time_point now) { return target.due_calls(now); },
            [&target](duty::duty_call const& call, duty::call_outcome outcome,
                      time_point now) {
                target.on_result(call, outcome, now);
            }};
}

} // namespace medlarstall::gateway

#endif
