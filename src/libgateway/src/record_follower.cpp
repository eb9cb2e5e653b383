#include <medlarstall/gateway/record_follower.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace medlarstall::gateway {

char const* name_of(record_topic topic)
{
    switch (topic) {
    case record_topic::configuration:
        return "configuration";
    case record_topic::backend_servers:
        return "backend_servers";
    case record_topic::members:
        return "members";
    case record_topic::stream_origins:
        return "stream_origins";
    case record_topic::duties:
        return "duties";
    }
    return "unknown";
}

char const* name_of(store_failure failure)
{
    switch (failure) {
    case store_failure::unreachable:
        return "unreachable";
    case store_failure::rejected:
        return "turned_away";
    case store_failure::offset_unavailable:
        return "forgotten";
    case store_failure::stale_era:
        return "outdated";
    }
    return "unknown";
}

record_follower::record_follower(asio::io_context& context, record_topic topic,
                                 record_store const& store,
                                 topic_read_settings settings,
                                 record_follower_events events)
    : topic_{topic}, store_{store}, settings_{std::move(settings)},
      events_{std::move(events)}, timer_{context},
      backoff_{settings_.initial_backoff}
{}

void record_follower::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void record_follower::read_now()
{
    timer_.cancel();
    read();
}

void record_follower::retry_now()
{
    if (backing_off_) {
        read_now();
    }
}

bool record_follower::read_again(time_point now)
{
    auto const overdue = now - last_request_.began_at >
                         last_request_.wait + settings_.overdue_after;
    if (stopped_ || (reading_ ? !overdue : continuous_)) {
        return false;
    }
    read_now();
    return true;
}

bool record_follower::reads_store(time_point now) const
{
    return continuous_ && reachable_ &&
           now - end_known_at_ <= 2 * settings_.long_poll_timeout;
}

/// \return how long the store may hold the next read open, so that its answer
///     comes before the last one is too old
std::chrono::milliseconds record_follower::wait_of_next_read() const
{
    // While the store is unreachable, it is asked to respond at once: a long
    // poll on a connection that has gone silent would hide that the store is
    // back.
    if (!continuous_ || !reachable_) {
        return {};
    }
    if (!settings_.has_bounded_age) {
        return settings_.long_poll_timeout;
    }
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
        monotonic_clock::now() - end_known_at_);
    return std::max(settings_.long_poll_timeout - age,
                    std::chrono::milliseconds{0});
}

record_follower::read_request
record_follower::begin_request(std::chrono::milliseconds wait)
{
    last_request_ = {last_request_.id + 1, position(), wait,
                     monotonic_clock::now()};
    reading_ = true;
    return last_request_;
}

void record_follower::read()
{
    if (stopped_) {
        return;
    }
    backing_off_ = false;
    auto const is_snapshot = !next_ || snapshot_needed_;
    auto const request = begin_request(
        is_snapshot ? std::chrono::milliseconds{0} : wait_of_next_read());
    auto handler = [self = shared_from_this(), request](read_result outcome) {
        self->on_read_result(request, std::move(outcome));
    };
    if (is_snapshot) {
        store_.read_snapshot(topic_, std::move(handler));
    } else {
        store_.read_from(topic_, request.from.offset, request.wait,
                         std::move(handler));
    }
}

void record_follower::on_read_result(read_request const& request,
                                     read_result outcome)
{
    if (stopped_) {
        return;
    }
    if (request.id != last_request_.id) {
        on_superseded_result(request, outcome);
        return;
    }
    reading_ = false;
    if (auto const* const failure = std::get_if<store_failure>(&outcome)) {
        on_read_failure(*failure);
        return;
    }
    auto const& page = std::get<record_page>(outcome);
    if (page.era < position().era) {
        on_read_failure(store_failure::stale_era);
        return;
    }
    if (!page.is_snapshot && page.era > request.from.era) {
        // The requested offset belongs to an older era.
        on_read_failure(store_failure::offset_unavailable);
        return;
    }
    backoff_ = settings_.initial_backoff;
    set_reachable(true, "answered");
    snapshot_needed_ = snapshot_needed_ && !page.is_snapshot;
    apply_read(page, request.began_at);
    note_store_read();
    note_end(page, request);
    schedule_next_read(page);
}

/// Applies a late answer to a read that has been repeated: the store may answer
/// each read only after it was given up, or none.
void record_follower::on_superseded_result(read_request const& request,
                                           read_result const& outcome)
{
    auto const* const page = std::get_if<record_page>(&outcome);
    if (page == nullptr && answered_at_ <= request.began_at) {
        ++failed_reads_;
        set_reachable(false, name_of(std::get<store_failure>(outcome)));
    }
    if (page == nullptr || page->era < position().era ||
        (!page->is_snapshot && page->era > request.from.era)) {
        return;
    }
    set_reachable(true, "answered");
    snapshot_needed_ = snapshot_needed_ && !page->is_snapshot;
    apply_read(*page, request.began_at);
    note_store_read();
    note_end(*page, request);
}

void record_follower::schedule_next_read(record_page const& page)
{
    if (!continuous_) {
        schedule_read(settings_.standby_interval);
        return;
    }
    auto const elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        monotonic_clock::now() - last_request_.began_at);
    auto const has_records = !page.records.empty() && !page.is_snapshot;
    schedule_read(has_records ? std::max(settings_.read_interval - elapsed,
                                         std::chrono::milliseconds{0})
                              : std::chrono::milliseconds{0});
}

/// Notes when a page held the end of the topic. The store has held a read open
/// that it answers with nothing after the time that it was given.
void record_follower::note_end(record_page const& page,
                               read_request const& request)
{
    if (!page.reaches_end || page.era != position().era) {
        return;
    }
    known_end_ = {page.next_position(), request.began_at};
    auto const held_open =
        !page.is_snapshot && page.next_position() == request.from &&
        monotonic_clock::now() - request.began_at >= request.wait;
    auto const as_of =
        held_open ? request.began_at + request.wait : request.began_at;
    end_known_at_ = std::max(end_known_at_, as_of);
    if (events_.on_complete_read) {
        events_.on_complete_read(page.next_position(), as_of);
    }
}

void record_follower::note_store_read()
{
    up_to_date_at_ = answered_at_ = monotonic_clock::now();
    failed_reads_ = 0;
}

std::optional<time_point>
record_follower::written_after(std::uint64_t offset) const
{
    if (!known_end_ || offset < known_end_->position.offset) {
        return std::nullopt;
    }
    return known_end_->read_began_at;
}

void record_follower::read_to_end(std::function<void(bool)> done)
{
    read_request const request{0, position(), {}, monotonic_clock::now()};
    auto handler = [self = shared_from_this(), request,
                    done = std::move(done)](read_result const& outcome) {
        self->on_end_read(request, outcome, done);
    };
    if (!next_ || snapshot_needed_) {
        store_.read_snapshot(topic_, std::move(handler));
    } else {
        store_.read_from(topic_, request.from.offset, request.wait,
                         std::move(handler));
    }
}

void record_follower::on_end_read(read_request const& request,
                                  read_result const& outcome,
                                  std::function<void(bool)> const& done)
{
    auto const* const page = std::get_if<record_page>(&outcome);
    auto const offset_lost =
        page != nullptr ? !page->is_snapshot && page->era > request.from.era
                        : std::get<store_failure>(outcome) ==
                              store_failure::offset_unavailable;
    if (offset_lost && next_ && !snapshot_needed_ && !stopped_) {
        snapshot_needed_ = true;
        read_to_end(done);
        return;
    }
    if (page == nullptr || offset_lost || stopped_ ||
        page->era < position().era) {
        done(false);
        return;
    }
    snapshot_needed_ = snapshot_needed_ && !page->is_snapshot;
    apply_read(*page, request.began_at);
    note_store_read();
    note_end(*page, request);
    if (!page->reaches_end) {
        read_to_end(done);
        return;
    }
    done(true);
}

void record_follower::on_read_failure(store_failure failure)
{
    if (failure == store_failure::offset_unavailable && next_) {
        failed_reads_ = 0;
        set_reachable(true, "answered");
        snapshot_needed_ = true;
        schedule_read(std::chrono::milliseconds{0});
        return;
    }
    ++failed_reads_;
    set_reachable(false, name_of(failure));
    auto const retries = continuous_ || !next_ || !settings_.has_bounded_age;
    backing_off_ = retries;
    schedule_read(retries ? backoff_ : settings_.standby_interval);
    backoff_ = std::min(backoff_ * 2, settings_.max_backoff);
}

void record_follower::merge_page(record_page const& page)
{
    auto const begins_era = next_ && page.era > next_->era;
    if (page.next_position() <= position() ||
        (begins_era && !page.is_snapshot)) {
        return;
    }
    if (!page.is_snapshot) {
        note_changes_left_out();
    }
    up_to_date_at_ = monotonic_clock::now();
    apply_page(page);
}

void record_follower::note_changes_left_out() const
{
    if (next_ && events_.on_changes_left_out) {
        events_.on_changes_left_out();
    }
}

/// Applies a page that this daemon has read from the store itself.
void record_follower::apply_read(record_page page, time_point began_at)
{
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
        monotonic_clock::now() - began_at);
    for (auto& item : page.records) {
        item.read = record_read{settings_.reader, age};
    }
    apply_page(page);
}

void record_follower::apply_page(record_page const& page)
{
    auto const known_to = position();
    if (page.is_snapshot && page.next_position() < known_to) {
        return; // The snapshot is older than the known records.
    }
    if (page.is_snapshot) {
        note_changes_left_out();
    }
    if (next_ && page.era > known_to.era) {
        known_end_.reset();
        events_.on_restore(page.era);
    }
    for (auto const& item : page.records) {
        store_position const next{page.era, item.offset + 1};
        // A late response may contain keys that were removed since.
        if (page.is_snapshot || next > known_to) {
            apply_record(item, next);
        }
    }
    if (page.is_snapshot) {
        remove_missing_keys(page);
        history_start_ = std::max(history_start_, page.next_position());
        // Earlier removals are unknown, and any of them may be significant.
        significant_position_ =
            std::max(significant_position_, page.next_position());
    }
    next_ = std::max(known_to, page.next_position());
}

void record_follower::skip_to(store_position next)
{
    if (next_ && next.era == next_->era && next > *next_) {
        next_ = next;
        up_to_date_at_ = monotonic_clock::now();
    }
}

/// Reports a new record to the owner, and notes its position if the change is
/// significant.
void record_follower::report_change(tracked_record& tracked)
{
    if (events_.on_change(tracked.latest)) {
        tracked.significant = tracked.next;
        significant_position_ = std::max(significant_position_, tracked.next);
    }
}

void record_follower::apply_record(record const& item, store_position next)
{
    auto const [known, added] = records_.try_emplace(item.key);
    if (!added && next <= known->second.next) {
        return;
    }
    known->second.latest = item;
    known->second.read_at.reset();
    if (item.read) {
        known->second.read_at = monotonic_clock::now() - item.read->age;
    }
    known->second.next = next;
    report_change(known->second);
}

/// Treats the keys that a snapshot lacks as removed, except those that were
/// written after it.
void record_follower::remove_missing_keys(record_page const& page)
{
    std::set<std::string> existing;
    for (auto const& item : page.records) {
        existing.insert(item.key);
    }
    for (auto& [key, tracked] : records_) {
        auto& item = tracked.latest;
        if (item.value && tracked.next <= page.next_position() &&
            !existing.contains(key)) {
            item.value.reset();
            item.read.reset();
            tracked.read_at.reset();
            item.offset = page.next_offset > 0 ? page.next_offset - 1 : 0;
            tracked.next = page.next_position();
            report_change(tracked);
        }
    }
}

/// \return the latest record of a key, with the age that its read has now
record record_follower::with_present_age(tracked_record const& tracked,
                                         time_point now)
{
    auto item = tracked.latest;
    if (item.read && tracked.read_at) {
        item.read->age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - *tracked.read_at);
    }
    return item;
}

record_page record_follower::changes_since(store_position from,
                                           change_filter which) const
{
    auto const now = monotonic_clock::now();
    record_page page;
    page.next_offset = position().offset;
    page.era = position().era;
    // Removals before the last snapshot are unknown, so that only a snapshot
    // tells the peer of them.
    page.is_snapshot = from < history_start_;
    for (auto const& [key, tracked] : records_) {
        auto const last_change = which == change_filter::significant
                                     ? tracked.significant
                                     : tracked.next;
        if (page.is_snapshot ? tracked.latest.value.has_value()
                             : last_change > from) {
            page.records.push_back(with_present_age(tracked, now));
        }
    }
    return page;
}

std::optional<std::string>
record_follower::find_value(std::string const& key) const
{
    auto const found = records_.find(key);
    return found == records_.end() ? std::nullopt : found->second.latest.value;
}

void record_follower::set_continuous(bool continuous)
{
    if (std::exchange(continuous_, continuous) != continuous && continuous) {
        read_now();
    }
}

void record_follower::schedule_read(std::chrono::milliseconds delay)
{
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this()](std::error_code cancelled) {
        if (!cancelled) {
            self->read();
        }
    });
}

void record_follower::set_reachable(bool reachable, char const* reason)
{
    if (std::exchange(reachability_reported_, true) &&
        reachable == reachable_) {
        return;
    }
    reachable_ = reachable;
    events_.on_reachability(reachable, reason);
}

} // namespace medlarstall::gateway
