// The part of claim_engine that decides on the calls that wait for a key.

#include <medlarstall/claim/claim_engine.hpp>

#include <algorithm>

namespace medlarstall::claim {

namespace {

answer_kind answer_kind_of(outcome const& result)
{
    return result.known ? answer_kind::stored_outcome
                        : answer_kind::outcome_unknown;
}

} // namespace

void claim_engine::answer(waiting_call const& to, answer_kind kind,
                          refusal_reason reason, actions& out,
                          shared_outcome result)
{
    calls_.remove(to.id);
    out.emplace_back(answer_action{.id = to.id,
                                   .kind = kind,
                                   .reason = reason,
                                   .result = std::move(result)});
}

void claim_engine::answer_all(uuid const& key, answer_kind kind,
                              refusal_reason reason, actions& out)
{
    for (auto const& value : calls_.with_key(key)) {
        answer(value, kind, reason, out);
    }
    abandon_if_unwanted(key);
}

void claim_engine::answer_all_with_outcome(uuid const& key,
                                           call_digest const& digest,
                                           shared_outcome const& result,
                                           actions& out)
{
    refuse_mismatches(key, digest, out);
    for (auto const& value : calls_.with_key(key)) {
        answer(value, answer_kind_of(*result), refusal_reason::none, out,
               result);
    }
    abandon_if_unwanted(key);
}

void claim_engine::refuse_mismatches(uuid const& key, call_digest const& digest,
                                     actions& out)
{
    for (auto const& value : calls_.with_key(key)) {
        if (value.digest != digest) {
            answer(value, answer_kind::key_mismatch, refusal_reason::none, out);
        }
    }
}

bool claim_engine::decide_by_attempt(uuid const& key, actions& out)
{
    auto const current = attempt_by_key_.find(key);
    if (current == attempt_by_key_.end()) {
        return false;
    }
    auto const& own_attempt = attempts_.at(current->second);
    if (own_attempt.state == attempt_state::claiming) {
        return false;
    }
    if (own_attempt.state == attempt_state::finishing) {
        answer_all_with_outcome(key, own_attempt.digest, own_attempt.result,
                                out);
        return true;
    }
    refuse_mismatches(key, own_attempt.digest, out);
    return true;
}

bool claim_engine::decide_by_table(uuid const& key, actions& out)
{
    auto const& stream = streams_[stream_index_of(key)];
    auto const* entry = stream.table.find(key);
    if (entry == nullptr || entry->state == claim_state::released) {
        if (!stream.position.caught_up()) {
            return true;
        }
        if (!stream.table.may_have_lost(key)) {
            return false;
        }
        answer_all(key, answer_kind::outcome_unknown,
                   refusal_reason::key_expired, out);
        return true;
    }
    switch (entry->state) {
    case claim_state::finished:
        answer_all_with_outcome(key, entry->digest, entry->result, out);
        break;
    case claim_state::exhausted:
        answer_all(key, answer_kind::not_run, refusal_reason::key_exhausted,
                   out);
        break;
    case claim_state::held:
        if (may_be_running(key)) {
            refuse_mismatches(key, entry->digest, out);
        }
        break;
    case claim_state::released:
        break;
    }
    return true;
}

void claim_engine::decide_calls(uuid const& key, event_time now, actions& out)
{
    if (!calls_.contains_key(key) || decide_by_attempt(key, out) ||
        decide_by_table(key, out)) {
        return;
    }
    if (auto const current = attempt_by_key_.find(key);
        current != attempt_by_key_.end()) {
        refuse_mismatches(key, attempts_.at(current->second).digest, out);
        return;
    }
    if (timestamp_of(key) > now.wall + max_key_skew) {
        answer_all(key, answer_kind::not_run, refusal_reason::key_in_future,
                   out);
        return;
    }
    if (timestamp_of(key) + settings_.accept_window < now.wall) {
        answer_all(key, answer_kind::not_run, refusal_reason::key_expired, out);
        return;
    }
    submit_claim(calls_.with_key(key).front(), now);
    refuse_mismatches(key, attempts_.at(attempt_by_key_.at(key)).digest, out);
}

void claim_engine::submit_claim(waiting_call const& value, event_time now)
{
    auto const id = make_random_uuid_v7(now.wall, random_);
    auto const [found, inserted] = attempts_.emplace(
        id, attempt{.key = value.key, .digest = value.digest});
    attempt_by_key_[value.key] = id;
    queue_record(value.key, *unsettled_record(id, found->second), now);
}

void claim_engine::expire_call(waiting_call const& value, actions& out)
{
    auto const& stream = streams_[stream_index_of(value.key)];
    if (may_be_running(value.key)) {
        answer(value, answer_kind::outcome_unknown, refusal_reason::in_progress,
               out);
    } else if (stream.table.may_have_lost(value.key)) {
        answer(value, answer_kind::outcome_unknown, refusal_reason::key_expired,
               out);
    } else {
        bool const log_unavailable = !stream.position.caught_up() ||
                                     stream.position.retry_at.has_value() ||
                                     stream.last_append_failed;
        answer(value, answer_kind::not_run,
               log_unavailable ? refusal_reason::log_unavailable
                               : refusal_reason::deadline_passed,
               out);
    }
    abandon_if_unwanted(value.key);
}

bool claim_engine::may_be_running(uuid const& key) const
{
    auto const current = attempt_by_key_.find(key);
    if (current != attempt_by_key_.end() &&
        attempts_.at(current->second).state != attempt_state::claiming) {
        return true;
    }
    auto const* entry = streams_[stream_index_of(key)].table.find(key);
    if (entry == nullptr || entry->state != claim_state::held) {
        return false;
    }
    auto const holder = attempts_.find(entry->attempt);
    return holder == attempts_.end() ||
           holder->second.state != attempt_state::releasing;
}

void claim_engine::abandon_if_unwanted(uuid const& key)
{
    auto const current = attempt_by_key_.find(key);
    if (current == attempt_by_key_.end() || calls_.contains_key(key)) {
        return;
    }
    auto const id = current->second;
    auto& own_attempt = attempts_.at(id);
    if (own_attempt.state != attempt_state::claiming) {
        return;
    }
    own_attempt.state = attempt_state::abandoned;
    attempt_by_key_.erase(current);
    streams_[stream_index_of(key)].writer.remove_queued_if(
        [&](record const& value) {
            auto const* claim = std::get_if<claim_record>(&value);
            return claim != nullptr && claim->attempt == id &&
                   attempts_.erase(id) > 0;
        });
}

} // namespace medlarstall::claim
