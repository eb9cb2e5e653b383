#include "call_routing.hpp"

#include "daemon_context.hpp"

#include <medlarstall/support/log.hpp>

#include <algorithm>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

api_error refusal_error(work_refused const& refusal)
{
    constexpr int bad_request = 400;
    constexpr int too_many = 429;
    constexpr int unavailable = 503;
    api_error problem{.status = unavailable,
                      .code = refusal.code,
                      .message = refusal.message,
                      .run = run_state::not_run,
                      .retry_after = refusal.retry_after};
    if (refusal.code == "engine_refused") {
        problem.status = bad_request;
    } else if (refusal.code == "organisation_limit" ||
               refusal.code == "queue_full") {
        problem.status = too_many;
    }
    return problem;
}

} // namespace

call_routing::call_routing(daemon_context& shared, scheduling::request request,
                           std::vector<routing::prefix_hash> prefixes,
                           std::size_t prompt_bytes, std::uint64_t fingerprint)
    : node_{shared}, request_{std::move(request)},
      prefixes_{std::move(prefixes)}, prompt_bytes_{prompt_bytes},
      fingerprint_{fingerprint}
{
    node_.retry_policy.on_request();
    node_.hedge_policy.on_request();
}

routing::route_query call_routing::query() const
{
    return {.request = request_,
            .prefixes = prefixes_,
            .prompt_bytes = prompt_bytes_,
            .excluded_backend_servers = excluded_backend_servers_,
            .excluded_owners = excluded_owners_,
            .fingerprint = fingerprint_};
}

std::optional<api_error> call_routing::check_quarantine()
{
    using routing::suspicion;
    auto const level =
        node_.quarantine.suspicion_of(fingerprint_, monotonic_clock::now());
    request_.isolated = level != suspicion::none;
    if (request_.isolated) {
        for (auto const& backend_server :
             node_.quarantine.crashed_backend_servers(fingerprint_)) {
            exclude_backend_server(backend_server);
        }
    }
    if (level != suspicion::refused) {
        return std::nullopt;
    }
    ++node_.daemon_metrics.quarantined_requests;
    log_line{severity::warning, "quarantine"}
        .with("organisation", request_.organisation)
        .with("fingerprint", fingerprint_);
    constexpr int unprocessable = 422;
    return with_combined_run_state(
        {.status = unprocessable,
         .code = "request_quarantined",
         .message = "backend servers crashed each time that they ran this "
                    "request"});
}

std::optional<call_target>
call_routing::choose_target(std::string const& attempt)
{
    auto const now = monotonic_clock::now();
    if (auto const spill_target = std::exchange(spill_target_, std::nullopt)) {
        request_.preferred_backend_server = spill_target->backend_server;
        node_.router.on_dispatch(query(), spill_target->backend_server, now);
        log_line{severity::info, "route"}
            .with("attempt", attempt)
            .with("backend_server", spill_target->backend_server)
            .with("owner", spill_target->owner)
            .with("reason", "spill");
        return spill_target;
    }
    auto const route = node_.router.choose(query(), now);
    log_route(route, attempt);
    auto const* chosen = route.chosen();
    if (chosen == nullptr) {
        return std::nullopt;
    }
    request_.preferred_backend_server = chosen->backend_server;
    node_.router.on_dispatch(query(), chosen->backend_server, now);
    return call_target{chosen->backend_server, chosen->owner};
}

std::optional<call_target>
call_routing::choose_hedge_target(std::string const& attempt,
                                  std::string const& first,
                                  std::chrono::microseconds waited)
{
    auto const now = monotonic_clock::now();
    exclude_backend_server(first);
    auto const route = node_.router.choose(query(), now);
    std::erase(excluded_backend_servers_, first);
    auto const* chosen = route.chosen();
    if (chosen == nullptr ||
        !node_.hedge_policy.should_hedge(
            request_, waited,
            chosen->cost.reported_wait + chosen->cost.unreported_wait, now)) {
        return std::nullopt;
    }
    ++node_.daemon_metrics.hedges;
    log_route(route, attempt);
    request_.preferred_backend_server = chosen->backend_server;
    node_.router.on_dispatch(query(), chosen->backend_server, now);
    return call_target{chosen->backend_server, chosen->owner};
}

api_error call_routing::with_combined_run_state(api_error problem) const
{
    if (problem.run == run_state::not_run) {
        problem.run = combined_run_state_;
    }
    return problem;
}

next_step call_routing::after_no_target()
{
    // Possibly every backend server and owner is excluded by now, so the next
    // attempt may use them again.
    excluded_owners_.clear();
    excluded_backend_servers_.clear();
    return decide_retry(run_state::not_run,
                        {.status = 503,
                         .code = "no_backend_server",
                         .message = "no backend server of group \"" +
                                    request_.group +
                                    "\" can run the request now",
                         .run = run_state::not_run,
                         .retry_after = milliseconds{1'000}});
}

next_step call_routing::after_refusal(call_target const& target,
                                      work_refused const& refusal)
{
    node_.router.on_refusal(query(), target.backend_server);
    if (!refusal.retry_elsewhere) {
        return with_combined_run_state(refusal_error(refusal));
    }
    if (refusal.code == "unreachable") {
        exclude_backend_server(target.backend_server);
        node_.health.record_failure(target.backend_server,
                                    routing::failure_kind::unreachable);
    } else {
        exclude_owner(target.owner);
    }
    if (refusal.code == "queue_full") {
        return spill_or_reject(refusal);
    }
    return decide_retry(run_state::not_run, refusal_error(refusal));
}

next_step call_routing::spill_or_reject(work_refused const& refusal)
{
    using routing::spill_action;
    auto const decision =
        node_.spill_policy.decide(node_.router.view(), query(), node_.random());
    switch (decision.action) {
    case spill_action::offer:
        spill_target_ = call_target{decision.backend_server, decision.owner};
        return retry_step{};
    case spill_action::pause:
        excluded_owners_.clear();
        if (monotonic_clock::now() + decision.delay > request_.deadline) {
            return with_combined_run_state(refusal_error(refusal));
        }
        return retry_step{decision.delay};
    case spill_action::shed:
        break;
    }
    return with_combined_run_state(refusal_error(refusal));
}

next_step call_routing::after_failure(call_target const& target,
                                      std::string const& code,
                                      std::string const& message, run_state ran)
{
    if (ran != run_state::not_run) {
        combined_run_state_ = ran;
    }
    exclude_backend_server(target.backend_server);
    auto const kind = code == "silent" ? routing::failure_kind::timeout
                                       : routing::failure_kind::server_error;
    node_.health.record_failure(target.backend_server, kind);
    constexpr int bad_gateway = 502;
    return decide_retry(ran, {.status = bad_gateway,
                              .code = code,
                              .message = message,
                              .run = ran,
                              .retry_after = request_.repeatable
                                                 ? milliseconds{1'000}
                                                 : milliseconds{0}});
}

next_step call_routing::decide_retry(run_state ran, api_error problem)
{
    using routing::retry_action;
    auto const decision = node_.retry_policy.decide(
        request_, ran, retry_history_, node_.random(), monotonic_clock::now());
    log_line{severity::info, "retry"}
        .with("organisation", request_.organisation)
        .with("class", request_.service_class)
        .with("cause", problem.code)
        .with("ran", to_string(ran))
        .with("delay", decision.delay)
        .with("again", decision.action != retry_action::give_up);
    switch (decision.action) {
    case retry_action::retry_now:
        ++node_.daemon_metrics.retries;
        return retry_step{};
    case retry_action::retry_later:
        ++node_.daemon_metrics.retries;
        return retry_step{decision.delay};
    case retry_action::wait_for_budget:
        return retry_step{decision.delay};
    case retry_action::give_up:
        break;
    }
    return with_combined_run_state(std::move(problem));
}

void call_routing::exclude_owner(std::string const& owner)
{
    if (std::ranges::find(excluded_owners_, owner) == excluded_owners_.end()) {
        excluded_owners_.push_back(owner);
    }
}

void call_routing::exclude_backend_server(std::string const& backend_server)
{
    if (std::ranges::find(excluded_backend_servers_, backend_server) ==
        excluded_backend_servers_.end()) {
        excluded_backend_servers_.push_back(backend_server);
    }
}

void call_routing::log_route(routing::route const& route,
                             std::string const& attempt) const
{
    if (!is_logged(severity::info)) {
        return;
    }
    std::string candidates;
    for (auto const& candidate : route.candidates) {
        candidates += candidates.empty() ? "" : ",";
        candidates += candidate.backend_server + ":" +
                      std::to_string(candidate.cost.total().count());
    }
    auto const* chosen = route.chosen();
    log_line{severity::info, "route"}
        .with("attempt", attempt)
        .with("organisation", request_.organisation)
        .with("class", request_.service_class)
        .with("model", request_.model)
        .with("candidates_us", candidates)
        .with("backend_server", chosen ? chosen->backend_server : "none")
        .with("owner", chosen ? chosen->owner : "none")
        .with("reason", routing::name_of(route.reason));
}

} // namespace medlarstall::daemon
