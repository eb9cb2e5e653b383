#ifndef MEDLARSTALL_SCHEDULING_REQUEST_RECORD_HPP
#define MEDLARSTALL_SCHEDULING_REQUEST_RECORD_HPP

#include <medlarstall/scheduling/events.hpp>
#include <medlarstall/scheduling/fair_queue.hpp>
#include <medlarstall/scheduling/request.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>

namespace medlarstall::scheduling {

class backend_server;
class server_group;

/// State of a request at its owner.
enum class request_state
{
    queued,
    running,
    preempting ///< Being cancelled as a victim; still holds its slot.
};

/// A request and the scheduler's state about it. Owned by the scheduler.
struct request_record
{
    request value;
    server_group* group = nullptr;
    organisation_usage* usage = nullptr;
    queue_entry entry;
    request_state state = request_state::queued;
    backend_server* preferred = nullptr;
    backend_server* server = nullptr; ///< Set while it holds a slot.
    bool in_queue = false;            ///< Its entry is in the queue.
    bool has_run = false;             ///< A backend server may have started it.
    bool ran_before_dispatch = false; ///< has_run before the last dispatch.
    bool counted_as_started = false;  ///< Counted in the request rate limit.
    bool by_floor = false; ///< Got its slot through the floor of its tier.
    bool is_long = false;  ///< Counted by the long_request_limiter.
    bool preempted_as_long = false; ///< Was long when chosen as a victim.
    bool urgent = false;            ///< Counted as urgent by its queue.
    bool first_token_seen = false;  ///< In the run since its last dispatch.
    unsigned preemptions = 0;
    /// Times that a request with a better cache match was served before it.
    unsigned times_passed_over = 0;
    std::uint64_t tokens = 0;                 ///< Generated so far.
    std::uint64_t tokens_before_dispatch = 0; ///< Before the last dispatch.
    double charged_tokens = 0;     ///< Charged to its organisation so far.
    lane_index successor_lane = 0; ///< Lane for which it is preempted.
    std::size_t running_index = 0; ///< Index in the group's running requests.
    time_point latest_start;       ///< That meets its first-token target.
    time_point dispatched_at;
    time_point last_token_at;
};

} // namespace medlarstall::scheduling

#endif
