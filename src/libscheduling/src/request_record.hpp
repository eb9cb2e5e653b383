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

/// Where a request is.
enum class request_state
{
    queued,
    running,
    preempting ///< Still holds its slot until the victim is cancelled.
};

/// A request and what the owner keeps with it. Owned by the scheduler.
struct request_record
{
    request value;
    server_group* group = nullptr;
    organisation_usage* usage = nullptr;
    queue_entry entry;
    request_state state = request_state::queued;
    backend_server* preferred = nullptr;
    backend_server* server = nullptr; ///< While it holds a slot.
    bool entry_queued = false;        ///< Its entry is in the queue.
    bool has_run = false;             ///< A backend server may have begun it.
    bool had_run = false;             ///< The same, before its last dispatch.
    bool counted = false;             ///< Took its part of the request limit.
    bool by_floor = false;            ///< Its floor gave it the slot.
    bool is_long = false;             ///< Counted by the straggler gate.
    bool long_victim = false; ///< Was long when it was chosen as a victim.
    bool urgent = false;      ///< Counted as urgent by its queue.
    bool first_seen = false;  ///< First token of this run came.
    unsigned preemptions = 0;
    unsigned passed_over = 0; ///< Times another one fitted a cache better.
    std::uint64_t tokens = 0; ///< Generated so far.
    std::uint64_t tokens_before = 0; ///< Generated before its last dispatch.
    double charged = 0;              ///< Tokens charged so far.
    lane_index replaced_by = 0;      ///< Lane that the victim makes room for.
    std::size_t running_at = 0;      ///< Place in the group's running requests.
    time_point latest_start;         ///< To meet its first-token target.
    time_point dispatched_at;
    time_point last_token_at;
};

} // namespace medlarstall::scheduling

#endif
