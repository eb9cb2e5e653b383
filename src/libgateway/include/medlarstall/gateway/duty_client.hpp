#ifndef MEDLARSTALL_GATEWAY_DUTY_CLIENT_HPP
#define MEDLARSTALL_GATEWAY_DUTY_CLIENT_HPP

#include <medlarstall/duty/duty_call.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace medlarstall::gateway {

/// Who makes a call that is an exclusive duty.
struct duty_caller
{
    std::string daemon; ///< Name of the holder.
    duty::fencing_token token = 0;
};

/// How the platform has responded to such a call.
enum class duty_response
{
    accepted,
    /// It has seen a higher token, or has no backend servers to start.
    conflict,
    rejected,  ///< Nothing was done, and the token is not the reason.
    not_sent,  ///< No connection; the platform cannot have got the call.
    unanswered ///< The call may have been executed, or may be later.
};

/// Makes a call, one at a time. Calls the handler exactly once, at the latest
/// when the time limit has passed.
using duty_client = std::function<void(
    duty::duty_call const&, duty_caller const&, std::chrono::milliseconds,
    std::function<void(duty_response)>)>;

} // namespace medlarstall::gateway

#endif
