#include "claimed_call.hpp"

#include "daemon_context.hpp"

#include <medlarstall/entry/exchange.hpp>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

constexpr int bad_request = 400;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int unavailable = 503;

api_error not_run_error(claim::refusal_reason reason)
{
    using claim::refusal_reason;
    api_error problem{.status = unavailable,
                      .code = std::string{claim::code_of(reason)},
                      .message = "the call was not run",
                      .run = run_state::not_run};
    switch (reason) {
    case refusal_reason::malformed_key:
    case refusal_reason::wrong_key_version:
        problem.status = bad_request;
        problem.message = "Idempotency-Key: must be a version 7 UUID (RFC "
                          "9562) in its form of 36 characters";
        break;
    case refusal_reason::key_expired:
        problem.status = bad_request;
        problem.message = "Idempotency-Key: its time is older than the window "
                          "in which keys are accepted";
        break;
    case refusal_reason::key_in_future:
        problem.status = bad_request;
        problem.message = "Idempotency-Key: its time lies in the future";
        break;
    case refusal_reason::key_exhausted:
        problem.status = conflict;
        problem.message = "Idempotency-Key: was released too often";
        break;
    default:
        problem.retry_after = milliseconds{1'000};
        break;
    }
    return problem;
}

} // namespace

claimed_call::claimed_call(daemon_context& shared, claim_service& claims,
                           std::shared_ptr<entry::exchange> exchange,
                           service_request call_request,
                           scheduling::request request,
                           std::uint64_t fingerprint)
    : node_{shared}, claims_{claims}, exchange_{std::move(exchange)},
      service_request_{std::move(call_request)}, request_{std::move(request)},
      fingerprint_{fingerprint}
{}

void claimed_call::start()
{
    auto const digest = claim::compute_call_digest(
        request_.organisation,
        service_request_.method + " " + service_request_.service + " " +
            service_request_.target,
        exchange_->request().body());
    claim_handlers handlers;
    handlers.on_claim_won = [self = shared_from_this()](uuid const& attempt) {
        self->run_service_call(attempt);
    };
    handlers.on_answer =
        [self = shared_from_this()](claim::answer_action const& decision) {
            self->respond(decision);
        };
    claim_call_id_ =
        claims_.submit_call(service_request_.idempotency_key, digest,
                            request_.deadline, std::move(handlers));
    exchange_->on_caller_disconnected([weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->claims_.cancel_call(self->claim_call_id_);
        }
    });
}

void claimed_call::run_service_call(uuid const& attempt)
{
    if (monotonic_clock::now() > request_.deadline ||
        !claims_.begin_dispatch(attempt)) {
        claims_.on_not_dispatched(attempt);
        exchange_->respond(
            to_response(not_run_error(claim::refusal_reason::deadline_passed)));
        return;
    }
    auto on_outcome = [self = shared_from_this(),
                       attempt](service_outcome const& outcome) {
        self->record_outcome(attempt, outcome);
    };
    std::make_shared<service_call>(node_, exchange_, service_request_, request_,
                                   fingerprint_, std::move(on_outcome))
        ->start(to_string(attempt));
}

void claimed_call::record_outcome(uuid const& attempt,
                                  service_outcome const& outcome)
{
    if (outcome.not_executed) {
        claims_.on_not_executed(attempt);
        return;
    }
    claims_.on_finished(attempt, {.known = outcome.answer_complete,
                                  .status = outcome.status,
                                  .content_type = outcome.content_type,
                                  .body = outcome.body_kept ? outcome.body : "",
                                  .body_kept = outcome.body_kept});
}

void claimed_call::respond(claim::answer_action const& decision)
{
    using claim::answer_kind;
    switch (decision.kind) {
    case answer_kind::stored_outcome:
        respond_with_stored(*decision.result);
        return;
    case answer_kind::outcome_unknown:
        exchange_->respond(to_response(
            {.status = conflict,
             .code = "outcome_unknown",
             .message = "the call may or may not have run; it will not be run "
                        "again under this key",
             .run = run_state::unknown}));
        return;
    case answer_kind::key_mismatch:
        exchange_->respond(to_response(
            {.status = unprocessable,
             .code = "key_mismatch",
             .message = "Idempotency-Key: was used for a different call",
             .run = run_state::not_run}));
        return;
    case answer_kind::not_run:
        exchange_->respond(to_response(not_run_error(decision.reason)));
        return;
    }
}

void claimed_call::respond_with_stored(claim::outcome const& stored)
{
    if (!stored.body_kept) {
        exchange_->respond(
            to_response({.status = conflict,
                         .code = "answer_not_kept",
                         .message = "the call ran with status " +
                                    std::to_string(stored.status) +
                                    "; its answer was too large to be kept",
                         .run = run_state::ran}));
        return;
    }
    entry::header_fields fields{{"Medlarstall-Daemon", node_.settings.id},
                                {"Medlarstall-Stored", "1"}};
    if (!stored.content_type.empty()) {
        fields.emplace_back("Content-Type", stored.content_type);
    }
    exchange_->respond({.status = stored.status,
                        .fields = std::move(fields),
                        .body = stored.body});
}

} // namespace medlarstall::daemon
