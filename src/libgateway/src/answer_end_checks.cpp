#include <medlarstall/gateway/answer_end_checks.hpp>

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace medlarstall::gateway {

namespace {

/// Time between two looks at the connections to the servers.
constexpr std::chrono::milliseconds check_interval{10};
/// After a longer pause of the event loop, what is read may have come long ago.
/// Longer than the interval of the calls of note_running().
constexpr std::chrono::milliseconds max_loop_pause{250};

} // namespace

answer_end_checks::answer_end_checks(asio::io_context& context,
                                     connection_pool& pool)
    : pool_{pool}, timer_{context}
{}

void answer_end_checks::check(std::string const& server,
                              http::upstream_connection const& ended,
                              handler decided)
{
    auto const now = monotonic_clock::now();
    note_running(now);
    server_key const key{server, ended.address()};
    auto& check = checks_[key];
    auto const was_stalled =
        stalled_at_ && now - *stalled_at_ <= max_loop_pause;
    auto const number = check.ends.add(
        {now, ended.previous_activity(), was_stalled || ended.was_paused()});
    check.handlers.emplace(number, std::move(decided));
    update(key);
    schedule();
}

void answer_end_checks::note_running(time_point now)
{
    if (now - running_at_ > max_loop_pause) {
        stalled_at_ = now;
    }
    running_at_ = now;
}

void answer_end_checks::give_up()
{
    auto const abandoned = std::exchange(checks_, {});
    for (auto const& [key, check] : abandoned) {
        for (auto const& [number, decided] : check.handlers) {
            decided({.end = number, .checked_together = check.handlers.size()});
        }
    }
}

void answer_end_checks::schedule()
{
    if (checks_.empty() || std::exchange(scheduled_, true)) {
        return;
    }
    timer_.expires_after(check_interval);
    timer_.async_wait([this](std::error_code cancelled) {
        if (!cancelled) {
            scheduled_ = false;
            update_all();
            schedule();
        }
    });
}

void answer_end_checks::update_all()
{
    std::vector<server_key> keys;
    keys.reserve(checks_.size());
    for (auto const& [key, check] : checks_) {
        keys.push_back(key);
    }
    for (auto const& key : keys) {
        update(key);
    }
}

/// Decides what can be decided at one server, and opens a connection to it if
/// one is needed for the rest.
void answer_end_checks::update(server_key const& key)
{
    auto const found = checks_.find(key);
    if (found == checks_.end()) {
        return; // A handler of another end has removed it.
    }
    auto& check = found->second;
    note_close(check);
    auto const now = monotonic_clock::now();
    auto const oldest =
        pool_.oldest_open(key.first, key.second, check.opened.get());
    std::vector<std::pair<handler, dispatch::answer_end_decision>> decided;
    for (auto const& decision : check.ends.take_decided(oldest, now)) {
        auto node = check.handlers.extract(decision.end);
        decided.emplace_back(std::move(node.mapped()), decision);
    }
    if (check.ends.needs_connection(oldest)) {
        open(key, check);
    }
    remove_if_done(key);
    for (auto const& [handler, decision] : decided) {
        handler(decision);
    }
}

void answer_end_checks::note_close(server_check& check) const
{
    if (check.opened && check.opened->reusable() &&
        !check.opened->is_established()) {
        check.opened->cancel();
    }
    if (check.opened && check.opened->is_closed()) {
        check.opened.reset();
        check.ends.on_closed();
    }
}

void answer_end_checks::open(server_key const& key, server_check& check)
{
    check.ends.on_connecting();
    check.opened = pool_.create(key.first, key.second);
    check.opened->open([this, key, raw = check.opened.get()](bool established) {
        on_opened(key, raw, established);
    });
}

void answer_end_checks::on_opened(server_key const& key,
                                  http::upstream_connection const* opened,
                                  bool established)
{
    auto const found = checks_.find(key);
    if (found == checks_.end() || found->second.opened.get() != opened) {
        return;
    }
    auto& check = found->second;
    auto const now = monotonic_clock::now();
    if (established) {
        check.ends.on_connected(now);
        return;
    }
    check.opened.reset();
    check.ends.on_not_connected(now);
    update(key);
}

/// Leaves the connection of a check that has ended to the next request.
void answer_end_checks::remove_if_done(server_key const& key)
{
    auto const found = checks_.find(key);
    if (found == checks_.end() || !found->second.ends.empty()) {
        return;
    }
    auto const opened = std::move(found->second.opened);
    checks_.erase(found);
    if (opened) {
        pool_.release(key.first, opened);
    }
}

} // namespace medlarstall::gateway
