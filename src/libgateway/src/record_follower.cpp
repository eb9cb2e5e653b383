#include <medlarstall/gateway/record_follower.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace medlarstall::gateway {

char const* name_of(ledger which)
{
    switch (which) {
    case ledger::configuration:
        return "configuration";
    case ledger::backend_servers:
        return "backend_servers";
    case ledger::members:
        return "members";
    }
    return "unknown";
}

char const* name_of(store_failure failure)
{
    switch (failure) {
    case store_failure::unreachable:
        return "unreachable";
    case store_failure::turned_away:
        return "turned_away";
    case store_failure::forgotten:
        return "forgotten";
    case store_failure::outdated:
        return "outdated";
    }
    return "unknown";
}

record_follower::record_follower(asio::io_context& context, ledger which,
                                 record_store const& store,
                                 follow_settings settings, follow_events events)
    : which_{which}, store_{store}, settings_{settings},
      events_{std::move(events)}, timer_{context},
      backoff_{settings.first_backoff}
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

void record_follower::read()
{
    if (stopped_) {
        return;
    }
    backing_off_ = false;
    auto const turn = ++turn_;
    auto const handler = [self = shared_from_this(),
                          turn](page_result outcome) {
        self->on_result(turn, std::move(outcome));
    };
    if (!next_ || forgotten_) {
        store_.read_newest(which_, handler);
    } else {
        // A store that was away is asked for a quick answer: a channel that
        // has gone silent would hide its return.
        auto const patient = eager_ && reachable_;
        auto const wait =
            patient ? settings_.wait : std::chrono::milliseconds{0};
        asked_from_ = *next_;
        store_.read_from(which_, next_->offset, wait, handler);
    }
}

void record_follower::on_result(std::uint64_t turn, page_result outcome)
{
    if (stopped_ || turn != turn_) {
        return;
    }
    if (auto const* const failure = std::get_if<store_failure>(&outcome)) {
        on_failure(*failure);
        return;
    }
    auto const& page = std::get<record_page>(outcome);
    if (page.era < position().era) {
        on_failure(store_failure::outdated);
        return;
    }
    if (!page.whole && page.era > asked_from_.era) {
        // The offset asked for was one of an older era.
        on_failure(store_failure::forgotten);
        return;
    }
    backoff_ = settings_.first_backoff;
    read_at_ = decision_clock::now();
    set_reachable(true, "answered");
    forgotten_ = forgotten_ && !page.whole;
    take(page);
    if (!eager_) {
        schedule(settings_.seldom);
        return;
    }
    schedule(page.records.empty() || page.whole ? std::chrono::milliseconds{0}
                                                : settings_.pause);
}

void record_follower::on_failure(store_failure failure)
{
    if (failure == store_failure::forgotten && next_) {
        set_reachable(true, "answered");
        forgotten_ = true;
        schedule(std::chrono::milliseconds{0});
        return;
    }
    set_reachable(false, name_of(failure));
    backing_off_ = true;
    schedule(backoff_);
    backoff_ = std::min(backoff_ * 2, settings_.longest_backoff);
}

void record_follower::absorb(record_page const& page)
{
    auto const begins_era = next_ && page.era > next_->era;
    if (page.next() <= position() || (begins_era && !page.whole)) {
        return;
    }
    read_at_ = decision_clock::now();
    take(page);
}

void record_follower::take(record_page const& page)
{
    auto const known_to = position();
    if (page.whole && page.next() < known_to) {
        return; // Older than what is known.
    }
    if (next_ && page.era > known_to.era) {
        events_.restored(page.era);
    }
    for (auto const& item : page.records) {
        store_position const behind{page.era, item.offset + 1};
        // What a late answer brings may have been removed since.
        if (page.whole || behind > known_to) {
            take_record(item, behind);
        }
    }
    if (page.whole) {
        take_missing(page);
        complete_from_ = std::max(complete_from_, page.next());
        // What was removed before is not known: it may matter.
        changed_to_ = std::max(changed_to_, page.next());
    }
    next_ = std::max(known_to, page.next());
}

void record_follower::skip_to(store_position next)
{
    if (next_ && next.era == next_->era && next > *next_) {
        next_ = next;
        read_at_ = decision_clock::now();
    }
}

/// Tells the owner of a new record, and notes whether it matters.
void record_follower::keep(kept_record& kept)
{
    if (events_.changed(kept.item)) {
        kept.changed = kept.behind;
        changed_to_ = std::max(changed_to_, kept.behind);
    }
}

void record_follower::take_record(record const& item, store_position behind)
{
    auto const [known, added] = newest_.try_emplace(item.key);
    if (!added && behind <= known->second.behind) {
        return;
    }
    known->second.item = item;
    known->second.behind = behind;
    keep(known->second);
}

void record_follower::take_missing(record_page const& page)
{
    std::set<std::string> named;
    for (auto const& item : page.records) {
        named.insert(item.key);
    }
    for (auto& [key, kept] : newest_) {
        auto& item = kept.item;
        if (item.value && kept.behind <= page.next() && !named.contains(key)) {
            item.value.reset();
            item.offset = page.next_offset > 0 ? page.next_offset - 1 : 0;
            kept.behind = page.next();
            keep(kept);
        }
    }
}

record_page record_follower::changes(store_position after,
                                     change_choice which) const
{
    record_page page;
    page.next_offset = position().offset;
    page.era = position().era;
    // Of what was removed before the whole read nothing is known here.
    page.whole = after < complete_from_;
    for (auto const& [key, kept] : newest_) {
        auto const since =
            which == change_choice::that_matter ? kept.changed : kept.behind;
        if (page.whole ? kept.item.value.has_value() : since > after) {
            page.records.push_back(kept.item);
        }
    }
    return page;
}

std::optional<std::string>
record_follower::value_of(std::string const& key) const
{
    auto const found = newest_.find(key);
    return found == newest_.end() ? std::nullopt : found->second.item.value;
}

void record_follower::set_eager(bool eager)
{
    if (std::exchange(eager_, eager) != eager && eager) {
        read_now();
    }
}

void record_follower::schedule(std::chrono::milliseconds delay)
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
    if (std::exchange(told_, true) && reachable == reachable_) {
        return;
    }
    reachable_ = reachable;
    events_.reachable(reachable, reason);
}

} // namespace medlarstall::gateway
