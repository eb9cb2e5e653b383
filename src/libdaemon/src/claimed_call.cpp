#include "claimed_call.hpp"

#include "node.hpp"

#include <medlarstall/entry/exchange.hpp>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

constexpr int bad_request = 400;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int unavailable = 503;

api_error not_run_error(claim::refusal reason)
{
    using claim::refusal;
    api_error problem{.status = unavailable,
                      .code = std::string{claim::code_of(reason)},
                      .message = "the call was not run",
                      .run = run_state::not_run};
    switch (reason) {
    case refusal::malformed_key:
    case refusal::wrong_key_version:
        problem.status = bad_request;
        problem.message = "Idempotency-Key: must be a version 7 UUID (RFC "
                          "9562) in its form of 36 characters";
        break;
    case refusal::key_expired:
        problem.status = bad_request;
        problem.message = "Idempotency-Key: its time is older than the window "
                          "in which keys are accepted";
        break;
    case refusal::key_in_future:
        problem.status = bad_request;
        problem.message = "Idempotency-Key: its time lies in the future";
        break;
    case refusal::key_exhausted:
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

claimed_call::claimed_call(node& shared, claim_service& claims,
                           std::shared_ptr<entry::exchange> caller,
                           service_request asked, scheduling::request request,
                           std::uint64_t fingerprint)
    : node_{shared}, claims_{claims}, caller_{std::move(caller)},
      asked_{std::move(asked)}, request_{std::move(request)},
      fingerprint_{fingerprint}
{}

void claimed_call::start()
{
    auto const digest = claim::digest_of(request_.organisation,
                                         asked_.method + " " + asked_.service +
                                             " " + asked_.target,
                                         caller_->request().body);
    claim_handlers handlers;
    handlers.on_run = [self = shared_from_this()](uuid const& attempt) {
        self->run(attempt);
    };
    handlers.on_answer =
        [self = shared_from_this()](claim::answer_action const& decided) {
            self->answer(decided);
        };
    id_ = claims_.request(asked_.idempotency_key, digest, request_.deadline,
                          std::move(handlers));
    caller_->on_caller_left([weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->claims_.cancel(self->id_);
        }
    });
}

void claimed_call::run(uuid const& attempt)
{
    if (decision_clock::now() > request_.deadline ||
        !claims_.dispatched(attempt)) {
        claims_.not_dispatched(attempt);
        caller_->respond(to_response(not_run_error(claim::refusal::deadline)));
        return;
    }
    auto on_outcome = [self = shared_from_this(),
                       attempt](service_outcome const& outcome) {
        self->record(attempt, outcome);
    };
    std::make_shared<service_call>(node_, caller_, asked_, request_,
                                   fingerprint_, std::move(on_outcome))
        ->start(to_string(attempt));
}

void claimed_call::record(uuid const& attempt, service_outcome const& outcome)
{
    if (outcome.ran_nothing) {
        claims_.withdrawn(attempt);
        return;
    }
    claims_.finished(attempt, {.known = outcome.known,
                               .status = outcome.status,
                               .content_type = outcome.content_type,
                               .body = outcome.whole ? outcome.body : "",
                               .whole = outcome.whole});
}

void claimed_call::answer(claim::answer_action const& decided)
{
    using claim::answer_kind;
    switch (decided.kind) {
    case answer_kind::stored:
        answer_stored(*decided.result);
        return;
    case answer_kind::unknown:
        caller_->respond(to_response(
            {.status = conflict,
             .code = "outcome_unknown",
             .message = "the call may or may not have run; it will not be run "
                        "again under this key",
             .run = run_state::unknown}));
        return;
    case answer_kind::mismatch:
        caller_->respond(
            to_response({.status = unprocessable,
                         .code = "key_mismatch",
                         .message = "Idempotency-Key: stands for another call",
                         .run = run_state::not_run}));
        return;
    case answer_kind::not_run:
        caller_->respond(to_response(not_run_error(decided.reason)));
        return;
    }
}

void claimed_call::answer_stored(claim::outcome const& stored)
{
    if (!stored.whole) {
        caller_->respond(
            to_response({.status = conflict,
                         .code = "answer_not_kept",
                         .message = "the call ran with status " +
                                    std::to_string(stored.status) +
                                    "; its answer was too large to be kept",
                         .run = run_state::run}));
        return;
    }
    entry::header_fields fields{{"Medlarstall-Daemon", node_.settings.id},
                                {"Medlarstall-Stored", "1"}};
    if (!stored.content_type.empty()) {
        fields.emplace_back("Content-Type", stored.content_type);
    }
    caller_->respond({.status = stored.status,
                      .fields = std::move(fields),
                      .body = stored.body});
}

} // namespace medlarstall::daemon
