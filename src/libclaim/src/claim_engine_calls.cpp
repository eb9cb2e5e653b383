// How a claim engine decides about the calls that wait for a key.

#include <medlarstall/claim/claim_engine.hpp>

#include <algorithm>

namespace medlarstall::claim {

namespace {

answer_kind kind_of(outcome const& result)
{
    return result.known ? answer_kind::stored : answer_kind::unknown;
}

} // namespace

void claim_engine::answer(waiting_call const& to, answer_kind kind,
                          refusal reason, actions& out, shared_outcome result)
{
    calls_.remove(to.id);
    out.emplace_back(answer_action{.id = to.id,
                                   .kind = kind,
                                   .reason = reason,
                                   .result = std::move(result)});
}

void claim_engine::answer_all(uuid const& key, answer_kind kind, refusal reason,
                              actions& out)
{
    for (auto const& value : calls_.of(key)) {
        answer(value, kind, reason, out);
    }
    abandon_if_unwanted(key);
}

void claim_engine::answer_finished(uuid const& key, body_digest const& digest,
                                   shared_outcome const& result, actions& out)
{
    refuse_others(key, digest, out);
    for (auto const& value : calls_.of(key)) {
        answer(value, kind_of(*result), refusal::none, out, result);
    }
    abandon_if_unwanted(key);
}

void claim_engine::refuse_others(uuid const& key, body_digest const& digest,
                                 actions& out)
{
    for (auto const& value : calls_.of(key)) {
        if (value.digest != digest) {
            answer(value, answer_kind::mismatch, refusal::none, out);
        }
    }
}

bool claim_engine::resolve_from_attempt(uuid const& key, actions& out)
{
    auto const live = by_key_.find(key);
    if (live == by_key_.end()) {
        return false;
    }
    auto const& own = attempts_.at(live->second);
    if (own.state == attempt_state::claiming) {
        return false;
    }
    if (own.state == attempt_state::finishing) {
        answer_finished(key, own.digest, own.result, out);
        return true;
    }
    refuse_others(key, own.digest, out);
    return true;
}

bool claim_engine::resolve_from_table(uuid const& key, actions& out)
{
    auto const& stream = streams_[stream_of(key)];
    auto const* entry = stream.table.find(key);
    if (entry == nullptr || entry->state == claim_state::released) {
        if (!stream.position.caught_up()) {
            return true;
        }
        if (!stream.table.forgotten(key)) {
            return false;
        }
        answer_all(key, answer_kind::unknown, refusal::key_expired, out);
        return true;
    }
    switch (entry->state) {
    case claim_state::finished:
        answer_finished(key, entry->digest, entry->result, out);
        break;
    case claim_state::closed:
        answer_all(key, answer_kind::not_run, refusal::key_exhausted, out);
        break;
    case claim_state::held:
        if (may_run(key)) {
            refuse_others(key, entry->digest, out);
        }
        break;
    case claim_state::released:
        break;
    }
    return true;
}

void claim_engine::resolve(uuid const& key, moment now, actions& out)
{
    if (!calls_.waits_for(key) || resolve_from_attempt(key, out) ||
        resolve_from_table(key, out)) {
        return;
    }
    if (auto const live = by_key_.find(key); live != by_key_.end()) {
        refuse_others(key, attempts_.at(live->second).digest, out);
        return;
    }
    if (time_of(key) > now.wall + max_key_skew) {
        answer_all(key, answer_kind::not_run, refusal::key_in_future, out);
        return;
    }
    if (time_of(key) + settings_.accept_window < now.wall) {
        answer_all(key, answer_kind::not_run, refusal::key_expired, out);
        return;
    }
    submit_claim(calls_.of(key).front(), now);
    refuse_others(key, attempts_.at(by_key_.at(key)).digest, out);
}

void claim_engine::submit_claim(waiting_call const& value, moment now)
{
    auto const id = make_uuid_v7(now.wall, random_(), random_());
    auto const [found, inserted] = attempts_.emplace(
        id, attempt{.key = value.key, .digest = value.digest});
    by_key_[value.key] = id;
    submit(value.key, *unsettled_record(id, found->second), now);
}

void claim_engine::expire(waiting_call const& value, actions& out)
{
    auto const& stream = streams_[stream_of(value.key)];
    if (may_run(value.key)) {
        answer(value, answer_kind::unknown, refusal::in_progress, out);
    } else if (stream.table.forgotten(value.key)) {
        answer(value, answer_kind::unknown, refusal::key_expired, out);
    } else {
        bool const log_fails = !stream.position.caught_up() ||
                               stream.position.retry_at.has_value() ||
                               stream.append_failing;
        answer(value, answer_kind::not_run,
               log_fails ? refusal::log_unavailable : refusal::deadline, out);
    }
    abandon_if_unwanted(value.key);
}

bool claim_engine::may_run(uuid const& key) const
{
    auto const live = by_key_.find(key);
    if (live != by_key_.end() &&
        attempts_.at(live->second).state != attempt_state::claiming) {
        return true;
    }
    auto const* entry = streams_[stream_of(key)].table.find(key);
    if (entry == nullptr || entry->state != claim_state::held) {
        return false;
    }
    auto const own = attempts_.find(entry->attempt);
    return own == attempts_.end() ||
           own->second.state != attempt_state::releasing;
}

void claim_engine::abandon_if_unwanted(uuid const& key)
{
    auto const live = by_key_.find(key);
    if (live == by_key_.end() || calls_.waits_for(key)) {
        return;
    }
    auto const id = live->second;
    auto& own = attempts_.at(id);
    if (own.state != attempt_state::claiming) {
        return;
    }
    own.state = attempt_state::abandoned;
    by_key_.erase(live);
    streams_[stream_of(key)].writer.drop_if([&](record const& value) {
        auto const* claim = std::get_if<claim_record>(&value);
        return claim != nullptr && claim->attempt == id &&
               attempts_.erase(id) > 0;
    });
}

} // namespace medlarstall::claim
