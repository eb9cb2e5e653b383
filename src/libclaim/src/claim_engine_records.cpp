// How a claim engine follows the records of its streams.

#include <medlarstall/claim/claim_engine.hpp>

#include <algorithm>

namespace medlarstall::claim {

void claim_engine::apply(claim_stream& stream, log_entry const& entry,
                         moment now, actions& out)
{
    if (stream.position.hole_before(entry.offset)) {
        restart_stream(stream, now);
        stream.table.restart(entry.time);
    }
    if (!stream.position.advance(entry.offset)) {
        return;
    }
    if (stream.position.lacks_first()) {
        stream.table.restart(entry.time);
        stream.position.found_first();
    }
    stream.position.last_record = now.steady;
    if (entry.writer == settings_.writer) {
        stream.writer.done(entry.sequence);
    }
    auto const effect = stream.table.apply(entry.value, entry.time);
    if (auto const* claim = std::get_if<claim_record>(&entry.value)) {
        apply_claim(*claim, effect, entry.time, now, out);
        resolve(claim->key, now, out);
    } else if (auto const* gone = std::get_if<release_record>(&entry.value)) {
        settle(gone->attempt, attempt_state::releasing);
        resolve(gone->key, now, out);
    } else if (auto const* done = std::get_if<outcome_record>(&entry.value)) {
        settle(done->attempt, attempt_state::finishing);
        resolve(done->key, now, out);
    }
}

void claim_engine::apply_claim(claim_record const& value, applied effect,
                               wall_time time, moment now, actions& out)
{
    if (value.writer != settings_.writer) {
        return;
    }
    if (effect == applied::won) {
        ++counted_.won;
        claim_won(value, time, now, out);
        return;
    }
    if (effect != applied::repeated) {
        ++counted_.lost;
        settle(value.attempt, attempt_state::claiming);
        settle(value.attempt, attempt_state::abandoned);
    }
}

void claim_engine::claim_won(claim_record const& value, wall_time time,
                             moment now, actions& out)
{
    auto& own = attempts_
                    .try_emplace(value.attempt,
                                 attempt{.key = value.key,
                                         .digest = value.digest,
                                         .state = attempt_state::abandoned})
                    .first->second;
    if (time_of(value.key) > time + max_key_skew) {
        release(value.attempt, own, now);
        answer_all(value.key, answer_kind::not_run, refusal::key_in_future,
                   out);
        return;
    }
    if (own.state != attempt_state::claiming) {
        release(value.attempt, own, now);
        return;
    }
    for (auto const& waiting : calls_.of(value.key)) {
        if (waiting.digest == value.digest && waiting.deadline > now.steady) {
            own.state = attempt_state::offered;
            calls_.remove(waiting.id);
            out.emplace_back(dispatch_action{
                .id = waiting.id, .key = value.key, .attempt = value.attempt});
            return;
        }
    }
    release(value.attempt, own, now);
}

void claim_engine::release(uuid const& id, attempt& held, moment now)
{
    ++counted_.released;
    held.state = attempt_state::releasing;
    auto const live = by_key_.find(held.key);
    if (live != by_key_.end() && live->second == id) {
        by_key_.erase(live);
    }
    submit(held.key, *unsettled_record(id, held), now);
}

void claim_engine::settle(uuid const& id, attempt_state expected)
{
    auto const found = attempts_.find(id);
    if (found == attempts_.end() || found->second.state != expected) {
        return;
    }
    auto const live = by_key_.find(found->second.key);
    if (live != by_key_.end() && live->second == id) {
        by_key_.erase(live);
    }
    attempts_.erase(found);
}

void claim_engine::restart_stream(claim_stream& stream, moment now)
{
    stream.table.restart(wall_time::max() - 2 * max_key_skew);
    stream.needs_review = true;
    for (auto& [id, own] : attempts_) {
        if (stream_of(own.key) != stream.index) {
            continue;
        }
        if (own.state == attempt_state::claiming ||
            own.state == attempt_state::abandoned) {
            release(id, own, now);
        } else if (auto again = unsettled_record(id, own)) {
            submit(own.key, std::move(*again), now);
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
                            .writer = settings_.writer};
    case attempt_state::releasing:
        return release_record{.key = value.key, .attempt = id};
    case attempt_state::finishing:
        return outcome_record{
            .key = value.key, .attempt = id, .result = value.result};
    case attempt_state::offered:
    case attempt_state::dispatched:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace medlarstall::claim
