// The part of claim_engine that processes the records of its streams.

#include <medlarstall/claim/claim_engine.hpp>

#include <algorithm>

namespace medlarstall::claim {

void claim_engine::apply_entry(claim_stream& stream, log_entry const& entry,
                               event_time now, actions& out)
{
    if (stream.position.has_gap_before(entry.offset)) {
        reset_stream(stream, now);
        stream.table.reset(entry.time);
    }
    if (!stream.position.advance(entry.offset)) {
        return;
    }
    if (stream.position.needs_first_record()) {
        stream.table.reset(entry.time);
        stream.position.found_first_record();
    }
    stream.position.last_record_time = now.steady;
    if (entry.writer == settings_.writer_id) {
        stream.writer.on_append_succeeded(entry.sequence);
    }
    auto const effect = stream.table.apply(entry.value, entry.time);
    if (auto const* claim = std::get_if<claim_record>(&entry.value)) {
        apply_claim(*claim, effect, entry.time, now, out);
        decide_calls(claim->key, now, out);
    } else if (auto const* released =
                   std::get_if<release_record>(&entry.value)) {
        settle_attempt(released->attempt, attempt_state::releasing);
        decide_calls(released->key, now, out);
    } else if (auto const* finished =
                   std::get_if<outcome_record>(&entry.value)) {
        settle_attempt(finished->attempt, attempt_state::finishing);
        decide_calls(finished->key, now, out);
    }
}

void claim_engine::apply_claim(claim_record const& value, apply_result effect,
                               wall_time time, event_time now, actions& out)
{
    if (value.writer != settings_.writer_id) {
        return;
    }
    if (effect == apply_result::won) {
        ++counters_.claims_won;
        handle_won_claim(value, time, now, out);
        return;
    }
    if (effect != apply_result::repeated) {
        ++counters_.claims_lost;
        settle_attempt(value.attempt, attempt_state::claiming);
        settle_attempt(value.attempt, attempt_state::abandoned);
    }
}

void claim_engine::handle_won_claim(claim_record const& value, wall_time time,
                                    event_time now, actions& out)
{
    auto& own_attempt =
        attempts_
            .try_emplace(value.attempt,
                         attempt{.key = value.key,
                                 .digest = value.digest,
                                 .state = attempt_state::abandoned})
            .first->second;
    if (timestamp_of(value.key) > time + max_key_skew) {
        release(value.attempt, own_attempt, now);
        answer_all(value.key, answer_kind::not_run,
                   refusal_reason::key_in_future, out);
        return;
    }
    if (own_attempt.state != attempt_state::claiming) {
        release(value.attempt, own_attempt, now);
        return;
    }
    for (auto const& waiting : calls_.with_key(value.key)) {
        if (waiting.digest == value.digest && waiting.deadline > now.steady) {
            own_attempt.state = attempt_state::granted;
            calls_.remove(waiting.id);
            out.emplace_back(dispatch_action{
                .id = waiting.id, .key = value.key, .attempt = value.attempt});
            return;
        }
    }
    release(value.attempt, own_attempt, now);
}

void claim_engine::release(uuid const& id, attempt& own_attempt, event_time now)
{
    ++counters_.claims_released;
    own_attempt.state = attempt_state::releasing;
    auto const current = attempt_by_key_.find(own_attempt.key);
    if (current != attempt_by_key_.end() && current->second == id) {
        attempt_by_key_.erase(current);
    }
    queue_record(own_attempt.key, *unsettled_record(id, own_attempt), now);
}

void claim_engine::settle_attempt(uuid const& id, attempt_state expected)
{
    auto const found = attempts_.find(id);
    if (found == attempts_.end() || found->second.state != expected) {
        return;
    }
    auto const current = attempt_by_key_.find(found->second.key);
    if (current != attempt_by_key_.end() && current->second == id) {
        attempt_by_key_.erase(current);
    }
    attempts_.erase(found);
}

void claim_engine::reset_stream(claim_stream& stream, event_time now)
{
    stream.table.reset(wall_time::max() - 2 * max_key_skew);
    stream.must_decide_all_calls = true;
    for (auto& [id, own_attempt] : attempts_) {
        if (stream_index_of(own_attempt.key) != stream.index) {
            continue;
        }
        if (own_attempt.state == attempt_state::claiming ||
            own_attempt.state == attempt_state::abandoned) {
            release(id, own_attempt, now);
        } else if (auto unsettled = unsettled_record(id, own_attempt)) {
            queue_record(own_attempt.key, std::move(*unsettled), now);
        }
    }
}

std::optional<record> claim_engine::unsettled_record(uuid const& id,
                                                     attempt const& value) const
{
    switch (value.state) {
    case attempt_state::claiming:
    case attempt_state::abandoned:
        return claim_record{.key = value.key,
                            .digest = value.digest,
                            .attempt = id,
                            .writer = settings_.writer_id};
    case attempt_state::releasing:
        return release_record{.key = value.key, .attempt = id};
    case attempt_state::finishing:
        return outcome_record{
            .key = value.key, .attempt = id, .result = value.result};
    case attempt_state::granted:
    case attempt_state::dispatched:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace medlarstall::claim
