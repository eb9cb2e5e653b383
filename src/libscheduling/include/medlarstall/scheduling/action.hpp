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
    std::uint64_t resume_from = 0; ///< Tokens that the caller has already.
    bool by_floor = false;         ///< Served by the floor of its tier.
};

/// Why a request was refused without having run.
enum class refusal
{
    queue_full,         ///< Shed; its tier was the lowest one queued.
    deadline,           ///< Could not start before its deadline.
    organisation_limit, ///< Its organisation is at a limit until then.
    no_backend_server,  ///< This owner has none that can run it.
    draining            ///< This owner takes no new work.
};

/// Refuse a request that has not run. The scheduler forgets it.
struct refuse
{
    request_id id = 0;
    refusal reason = refusal::queue_full;
    std::chrono::milliseconds retry_after{0}; ///< 0: at once, elsewhere.
};

/// Cancel a running request at its backend server and keep its tokens. The
/// slot counts as taken until owner_scheduler::preempted() is called; the
/// request is then queued and dispatched again later.
struct preempt
{
    request_id id = 0;
    std::string backend_server;
};

/// Give a queued request back to the daemon that sent it, because no backend
/// server of this owner can run it any more. The scheduler forgets it.
struct hand_over
{
    request_id id = 0;
    std::uint64_t tokens = 0; ///< Tokens that the caller has already.
    bool started = false;     ///< If false, it has not run.
};

/// Call owner_scheduler::tick() at this time. Replaces earlier wake-ups.
struct wake_up
{
    time_point at;
};

/// What the daemon has to do after an event.
using action = std::variant<dispatch, refuse, preempt, hand_over, wake_up>;

using action_list = std::vector<action>;

/// \param reason reason of a refusal
/// \return its stable name, for log lines and error bodies
[[nodiscard]] char const* to_string(refusal reason);

} // namespace medlarstall::scheduling

#endif
