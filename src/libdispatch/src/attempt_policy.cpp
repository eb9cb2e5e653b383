#include <medlarstall/dispatch/attempt_policy.hpp>

namespace medlarstall::dispatch {

namespace {

/// Number of failed connections from which on a request is not sent again.
constexpr std::uint32_t max_failed_connections = 4;
/// Number of refused connections from which on a request is not sent again. If
/// a third of the servers is down unknown to all, 1 in 40 million reaches it.
constexpr std::uint32_t max_refused_connections = 16;

} // namespace

char const* name_of(next_step step)
{
    switch (step) {
    case next_step::send_again:
        return "send_again";
    case next_step::refuse:
        return "refuse";
    case next_step::give_up:
        return "give_up";
    }
    return "unknown";
}

next_step step_without_retry(attempt_record const& record)
{
    return record.may_have_run ? next_step::give_up : next_step::refuse;
}

next_step step_after_failure(routes::route const& route, attempt_record& record,
                             send_failure failure)
{
    if (failure == send_failure::refused) {
        ++record.refused_connections;
        return record.refused_connections < max_refused_connections
                   ? next_step::send_again
                   : step_without_retry(record);
    }
    if (failure == send_failure::not_sent) {
        ++record.failed_connections;
        return record.failed_connections < max_failed_connections
                   ? next_step::send_again
                   : step_without_retry(record);
    }
    ++record.servers_reached;
    if (failure == send_failure::outcome_unknown) {
        record.may_have_run = true;
    }
    auto const may_run = !record.may_have_run || route.may_run_again();
    if (may_run && record.servers_reached < route.max_attempts) {
        return next_step::send_again;
    }
    return step_without_retry(record);
}

} // namespace medlarstall::dispatch
