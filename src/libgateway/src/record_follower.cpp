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

void record_follower::read()
{
    if (stopped_) {
        return;
    }
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
        store_.read_from(which_, *next_, wait, handler);
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
    schedule(backoff_);
    backoff_ = std::min(backoff_ * 2, settings_.longest_backoff);
}

void record_follower::absorb(record_page const& page)
{
    if (page.next_offset <= offset()) {
        return;
    }
    read_at_ = decision_clock::now();
    take(page);
}

void record_follower::take(record_page const& page)
{
    auto const known_to = offset();
    if (page.whole && page.next_offset < known_to) {
        return; // Older than what is known.
    }
    for (auto const& item : page.records) {
        take_record(item);
    }
    if (page.whole) {
        take_missing(page, page.next_offset);
        complete_from_ = std::max(complete_from_, page.next_offset);
        // What was removed before is not known: it may matter.
        changed_to_ = std::max(changed_to_, page.next_offset);
    }
    next_ = std::max(known_to, page.next_offset);
}

void record_follower::skip_to(std::uint64_t offset)
{
    if (next_ && offset > *next_) {
        next_ = offset;
        read_at_ = decision_clock::now();
    }
}

/// Tells the owner of a new record, and notes whether it matters.
void record_follower::keep(kept_record& kept)
{
    if (events_.changed(kept.item)) {
        kept.changed = kept.item.offset;
        changed_to_ = std::max(changed_to_, kept.changed + 1);
    }
}

void record_follower::take_record(record const& item)
{
    auto const [known, added] = newest_.try_emplace(item.key);
    if (!added && item.offset <= known->second.item.offset) {
        return;
    }
    known->second.item = item;
    keep(known->second);
}

void record_follower::take_missing(record_page const& page,
                                   std::uint64_t known_to)
{
    std::set<std::string> named;
    for (auto const& item : page.records) {
        named.insert(item.key);
    }
    for (auto& [key, kept] : newest_) {
        auto& item = kept.item;
        if (item.value && item.offset < known_to && !named.contains(key)) {
            item.value.reset();
            item.offset = known_to - 1;
            keep(kept);
        }
    }
}

record_page record_follower::changes(std::uint64_t after,
                                     change_choice which) const
{
    record_page page;
    page.next_offset = offset();
    // Of what was removed before the whole read nothing is known here.
    page.whole = after < complete_from_;
    for (auto const& [key, kept] : newest_) {
        auto const since = which == change_choice::that_matter
                               ? kept.changed
                               : kept.item.offset;
        if (page.whole ? kept.item.value.has_value() : since >= after) {
            page.records.push_back(kept.item);
        }
    }
    return page;
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
