#ifndef MEDLARSTALL_SCHEDULING_ACTION_HPP
#define MEDLARSTALL_SCHEDULING_ACTION_HPP

#include <medlarstall/scheduling/request.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace medlarstall::scheduling {

/// Send a request to a backend server now.
struct dispatch
{
    request_id id = 0;
    std::string backend_server;
    unsigned priority = 0;         ///< Tier; 0 is served first.
    std::uint64_t resume_from = 0; ///< Tokens that the caller already has.
    bool by_floor = false;         ///< Chosen because of the floor of its tier.
};

/// Why a request was refused before it ran.
enum class refusal
{
    queue_full,         ///< Shed; its tier was the least important queued.
    deadline,           ///< It could not start before its deadline.
    organisation_limit, ///< A limit of its organisation kept it waiting.
    no_backend_server,  ///< The owner has no backend server that can run it.
    draining            ///< The owner accepts no new requests.
};

/// Refuse a request that has not run. The scheduler forgets it.
struct refuse
{
    request_id id = 0;
    refusal reason = refusal::queue_full;
    /// Delay before the caller should retry; 0 means at once, at another owner.
    std::chrono::milliseconds retry_after{0};
};

/// Cancel a running request at its backend server and keep its tokens. The
/// slot stays occupied until owner_scheduler::preempted() is called. The
/// request is then queued again and resumed by a later dispatch.
struct preempt
{
    request_id id = 0;
    std::string backend_server;
};

/// Return a queued request to the daemon that sent it, because no backend
/// server of this owner can run it any more. The scheduler forgets it.
struct hand_back
{
    request_id id = 0;
    std::uint64_t tokens = 0; ///< Tokens that the caller already has.
    bool has_run = false;     ///< False if the request has never run.
};

/// Call owner_scheduler::tick() at this time. Replaces any earlier wake-up.
struct wake_up
{
    time_point at;
};

/// What the daemon has to do after an event.
using action = std::variant<dispatch, refuse, preempt, hand_back, wake_up>;

using action_list = std::vector<action>;

/// \param reason why a request was refused
/// \return its stable name, used in log lines and error bodies
[[nodiscard]] char const* to_string(refusal reason);

} // namespace medlarstall::scheduling

#endif
