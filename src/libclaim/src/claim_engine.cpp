#include <medlarstall/claim/claim_engine.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>

namespace medlarstall::claim {

namespace {

constexpr int accepted_key_version = 7;

/// Sets the first time to the second one if that is earlier.
void keep_earlier(std::optional<time_point>& earliest,
                  std::optional<time_point> const& other)
{
    if (other.has_value()) {
        earliest = std::min(earliest.value_or(*other), *other);
    }
}

} // namespace

claim_engine::claim_engine(claim_settings settings)
    : settings_{std::move(settings)}, random_{settings_.seed}
{
    for (std::size_t i = 0; i < settings_.stream_count; ++i) {
        streams_.emplace_back(i, settings_);
    }
}

actions claim_engine::start(event_time now)
{
    actions out;
    for (auto& stream : streams_) {
        stream.position.last_record_time = now.steady;
        out.emplace_back(read_action{.stream = stream.index, .from_offset = 0});
    }
    return out;
}

actions claim_engine::submit_call(call const& value, event_time now)
{
    actions out;
    auto const refuse = [&](refusal_reason reason) {
        out.emplace_back(answer_action{.id = value.id, .reason = reason});
        return std::move(out);
    };
    auto const key = parse_uuid(value.key);
    if (failed(key)) {
        return refuse(refusal_reason::malformed_key);
    }
    if (version_of(value_of(key)) != accepted_key_version) {
        return refuse(refusal_reason::wrong_key_version);
    }
    if (calls_.size() + attempts_.size() >= settings_.max_pending) {
        return refuse(refusal_reason::too_many_pending);
    }
    calls_.add({.id = value.id,
                .key = value_of(key),
                .digest = value.digest,
                .deadline = value.deadline});
    decide_calls(value_of(key), now, out);
    emit_due_actions(now, out);
    return out;
}

actions claim_engine::cancel_call(call_id id, event_time now)
{
    actions out;
    if (auto const removed = calls_.remove(id)) {
        abandon_if_unwanted(removed->key);
    }
    emit_due_actions(now, out);
    return out;
}

actions claim_engine::on_records_read(read_batch const& batch, event_time now)
{
    actions out;
    auto& stream = streams_.at(batch.stream);
    stream.position.retry_at.reset();
    if (stream.position.update_bounds(batch.first_retained_offset,
                                      batch.end_offset)) {
        reset_stream(stream, now);
    }
    for (auto const& entry : batch.entries) {
        apply_entry(stream, entry, now, out);
    }
    if (stream.position.needs_first_record() && stream.writer.queued() == 0) {
        stream.writer.add(mark_record{}, now.steady);
    }
    if (stream.must_decide_all_calls && stream.position.caught_up()) {
        decide_all_calls(stream, now, out);
    }
    out.emplace_back(read_action{.stream = batch.stream,
                                 .from_offset = stream.position.next_offset(),
                                 .wait_for_records = true});
    emit_due_actions(now, out);
    return out;
}

void claim_engine::decide_all_calls(claim_stream& stream, event_time now,
                                    actions& out)
{
    stream.must_decide_all_calls = false;
    for (auto const& key : calls_.keys()) {
        if (stream_index_of(key) == stream.index) {
            decide_calls(key, now, out);
        }
    }
}

actions claim_engine::on_read_failed(std::size_t stream, event_time now)
{
    auto const wait =
        settings_.group.min_retry_delay +
        std::chrono::duration_cast<std::chrono::milliseconds>(
            random_jitter() * settings_.group.max_retry_delay / 4);
    streams_.at(stream).position.retry_at = now.steady + wait;
    return {};
}

actions claim_engine::on_append_succeeded(std::size_t stream,
                                          std::uint64_t sequence,
                                          event_time now)
{
    actions out;
    streams_.at(stream).last_append_failed = false;
    streams_.at(stream).writer.on_append_succeeded(sequence);
    emit_due_actions(now, out);
    return out;
}

actions claim_engine::on_append_failed(std::size_t stream,
                                       std::uint64_t sequence, event_time now)
{
    actions out;
    auto& writer = streams_.at(stream).writer;
    streams_.at(stream).last_append_failed = true;
    writer.on_append_failed(sequence, now.steady, random_jitter());
    writer.remove_queued_if([&](record const& value) {
        auto const* claim = std::get_if<claim_record>(&value);
        if (claim == nullptr || claim->writer != settings_.writer_id) {
            return false;
        }
        auto const found = attempts_.find(claim->attempt);
        if (found == attempts_.end() ||
            found->second.state != attempt_state::abandoned) {
            return false;
        }
        attempts_.erase(found);
        return true;
    });
    emit_due_actions(now, out);
    return out;
}

actions claim_engine::on_append_unknown(std::size_t stream,
                                        std::uint64_t sequence, event_time now)
{
    actions out;
    streams_.at(stream).last_append_failed = true;
    streams_.at(stream).writer.on_append_unknown(sequence, now.steady,
                                                 random_jitter());
    emit_due_actions(now, out);
    return out;
}

actions claim_engine::on_records_forwarded(std::size_t stream,
                                           std::vector<record> const& values,
                                           event_time now)
{
    actions out;
    auto& writer = streams_.at(stream).writer;
    for (auto const& value : values) {
        if (writer.queued() < settings_.max_pending) {
            writer.add(value, now.steady);
        }
    }
    emit_due_actions(now, out);
    return out;
}

void claim_engine::set_preferred_writer(std::size_t stream, std::string daemon)
{
    streams_.at(stream).forwarder.set_preferred_writer(std::move(daemon));
}

bool claim_engine::begin_dispatch(uuid const& id)
{
    auto const found = attempts_.find(id);
    if (found == attempts_.end() ||
        found->second.state != attempt_state::granted) {
        return false;
    }
    found->second.state = attempt_state::dispatched;
    return true;
}

actions claim_engine::on_not_executed(uuid const& id, event_time now)
{
    actions out;
    auto const found = attempts_.find(id);
    if (found != attempts_.end() &&
        found->second.state == attempt_state::dispatched) {
        release(id, found->second, now);
    }
    emit_due_actions(now, out);
    return out;
}

actions claim_engine::on_not_dispatched(uuid const& id, event_time now)
{
    actions out;
    auto const found = attempts_.find(id);
    if (found != attempts_.end() &&
        found->second.state == attempt_state::granted) {
        release(id, found->second, now);
    }
    emit_due_actions(now, out);
    return out;
}

actions claim_engine::on_finished(uuid const& id, outcome result,
                                  event_time now)
{
    actions out;
    auto const found = attempts_.find(id);
    if (found == attempts_.end() ||
        (found->second.state != attempt_state::granted &&
         found->second.state != attempt_state::dispatched)) {
        return out;
    }
    if (result.body.size() > settings_.max_body_bytes) {
        result.body.clear();
        result.body_kept = false;
    }
    auto& ended = found->second;
    ended.state = attempt_state::finishing;
    ended.result = std::make_shared<outcome const>(std::move(result));
    queue_record(ended.key, *unsettled_record(id, ended), now);
    decide_calls(ended.key, now, out);
    emit_due_actions(now, out);
    return out;
}

actions claim_engine::tick(event_time now)
{
    actions out;
    for (auto const& value : calls_.expired(now.steady)) {
        expire_call(value, out);
    }
    emit_due_actions(now, out);
    return out;
}

std::optional<time_point> claim_engine::next_tick_time() const
{
    auto next = calls_.next_deadline();
    for (auto const& stream : streams_) {
        keep_earlier(next, stream.writer.next_poll_time());
        keep_earlier(next, stream.forwarder.next_poll_time());
        keep_earlier(next, stream.position.retry_at);
        keep_earlier(next,
                     stream.position.last_record_time + mark_interval(stream));
    }
    return next;
}

bool claim_engine::ready() const
{
    return std::ranges::all_of(streams_, [](claim_stream const& stream) {
        return stream.position.caught_up();
    });
}

std::size_t claim_engine::stream_index_of(uuid const& key) const
{
    std::string_view const bytes{
        reinterpret_cast<char const*>(key.bytes.data()), key.bytes.size()};
    return hash64(bytes) % streams_.size();
}

claim_statistics claim_engine::statistics() const
{
    auto totals = counters_;
    for (auto const& stream : streams_) {
        totals.kept_keys += stream.table.size();
        totals.evicted_keys += stream.table.evicted();
    }
    totals.waiting_calls = calls_.size();
    totals.unsettled_attempts = attempts_.size();
    return totals;
}

void claim_engine::queue_record(uuid const& key, record value, event_time now)
{
    auto& stream = streams_[stream_index_of(key)];
    if (stream.forwarder.preferred_writer().empty()) {
        stream.writer.add(std::move(value), now.steady);
    } else {
        stream.forwarder.add(std::move(value), now.steady);
    }
}

void claim_engine::requeue_overdue_records(claim_stream& stream, event_time now)
{
    for (auto& value : stream.forwarder.take_overdue(now.steady)) {
        auto const found = attempts_.find(attempt_of(value));
        if (found == attempts_.end()) {
            continue;
        }
        if (found->second.state == attempt_state::abandoned) {
            attempts_.erase(found);
            continue;
        }
        auto const current = unsettled_record(found->first, found->second);
        if (current.has_value() && current->index() == value.index()) {
            stream.writer.add(std::move(value), now.steady);
        }
    }
}

std::chrono::milliseconds
claim_engine::mark_interval(claim_stream const& stream) const
{
    return settings_.mark_interval *
           (stream.forwarder.preferred_writer().empty() ? 1 : 2);
}

void claim_engine::queue_mark_if_idle(claim_stream& stream, event_time now)
{
    if (now.steady - stream.position.last_record_time < mark_interval(stream)) {
        return;
    }
    stream.position.last_record_time = now.steady;
    if (stream.writer.queued() == 0) {
        stream.writer.add(mark_record{}, now.steady);
    }
}

void claim_engine::emit_due_actions(event_time now, actions& out)
{
    for (auto& stream : streams_) {
        requeue_overdue_records(stream, now);
        queue_mark_if_idle(stream, now);
        auto group = stream.forwarder.poll(now.steady);
        if (!group.empty()) {
            out.emplace_back(
                forward_action{.stream = stream.index,
                               .daemon = stream.forwarder.preferred_writer(),
                               .records = std::move(group)});
        }
        if (auto const append = stream.writer.poll(now.steady)) {
            out.emplace_back(append_action{.stream = stream.index,
                                           .sequence = append->sequence,
                                           .records = append->records});
        }
        auto& retry = stream.position.retry_at;
        if (retry.has_value() && *retry <= now.steady) {
            retry.reset();
            out.emplace_back(read_action{
                .stream = stream.index,
                .from_offset = stream.position.next_offset(),
                .wait_for_records = stream.position.bounds_known()});
        }
    }
}

double claim_engine::random_jitter()
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random_);
}

} // namespace medlarstall::claim
