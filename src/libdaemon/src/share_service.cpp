#include "share_service.hpp"

#include "node.hpp"
#include "owner_service.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::daemon {

namespace {

using membership::share_counts;

constexpr std::chrono::milliseconds tick_interval{200};

/// A window is complete, but for a broken link, once it is this many windows
/// old.
constexpr std::uint64_t settled_after = 2;

std::uint64_t wall_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

membership::tree_exchange_settings settings_of(daemon_settings const& from)
{
    membership::tree_exchange_settings made;
    made.daemon = from.id;
    made.data_centre = from.data_centre;
    made.interval = std::chrono::milliseconds{1'000};
    return made;
}

std::uint64_t beyond(std::uint64_t value, std::uint64_t part)
{
    return value > part ? value - part : 0;
}

share_counts difference(share_counts const& value, share_counts const& part)
{
    return {.tokens = beyond(value.tokens, part.tokens),
            .requests = beyond(value.requests, part.requests),
            .refused = beyond(value.refused, part.refused),
            .delayed = beyond(value.delayed, part.delayed)};
}

} // namespace

share_service::share_service(node& shared, sender send)
    : node_{shared}, send_{std::move(send)},
      exchange_{settings_of(shared.settings), wall_ms()}, timer_{shared.io}
{}

share_service::~share_service()
{
    alive_.reset();
}

std::uint64_t share_service::current_window()
{
    constexpr auto window_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(window).count();
    return wall_ms() / static_cast<std::uint64_t>(window_ms);
}

void share_service::start()
{
    closed_ = current_window() - settled_after;
    tick();
}

void share_service::set_daemons(
    std::vector<membership::daemon_info> const& live)
{
    others_ = live.empty() ? 0 : static_cast<std::uint32_t>(live.size() - 1);
    exchange_.set_daemons(live);
}

void share_service::take(std::string const& from, nlohmann::json const& message)
{
    auto const read = membership::parse_tree_message(message);
    if (failed(read)) {
        ++node_.figures.bad_messages;
        return;
    }
    exchange_.on_message(from, value_of(read));
}

void share_service::record_own(std::uint64_t window)
{
    for (auto const& one : node_.owner->usage()) {
        share_key const key{one.organisation, one.service_class};
        share_counts const total{.tokens = one.served_tokens,
                                 .requests = one.dispatched,
                                 .refused = one.refused,
                                 .delayed = one.delayed};
        auto& counted = counted_[key];
        auto const news = difference(total, counted);
        if (news == share_counts{}) {
            continue;
        }
        counted = total;
        own_[window][key] += news;
        exchange_.record({.window = window,
                          .organisation = one.organisation,
                          .service_class = one.service_class,
                          .counts = news});
    }
}

void share_service::tick()
{
    auto const now = decision_clock::now();
    auto const window = current_window();
    record_own(window);
    while (closed_ + settled_after < window) {
        close_window(++closed_);
    }
    exchange_.set_version(node_.catalogue.version,
                          node_.catalogue.digest.substr(0, 16));
    for (auto const& one : exchange_.tick(now, window)) {
        send_(one.to, {{"from", node_.settings.id},
                       {"t", membership::to_json(one.message)}});
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                tick();
            }
        });
}

void share_service::close_window(std::uint64_t closed)
{
    tell_scheduler(closed);
    own_.erase(own_.begin(), own_.upper_bound(closed));
}

void share_service::tell_scheduler(std::uint64_t closed)
{
    constexpr double seconds = window.count();
    auto const own = own_.find(closed);
    std::map<share_key, share_counts> remote;
    for (auto const& [key, tokens] : remote_tokens_) {
        remote.emplace(key, share_counts{});
    }
    for (auto const& row : exchange_.shares().rows(closed)) {
        if (row.organisation.empty()) {
            continue;
        }
        share_key const key{row.organisation, row.service_class};
        share_counts here;
        if (own != own_.end() && own->second.contains(key)) {
            here = own->second.at(key);
        }
        remote[key] = difference(row.counts, here);
    }
    for (auto const& [key, counts] : remote) {
        auto& total = remote_tokens_[key];
        total += counts.tokens;
        node_.owner->set_remote_usage(
            key.first, key.second,
            {.tokens_per_second = static_cast<double>(counts.tokens) / seconds,
             .requests_per_second =
                 static_cast<double>(counts.requests) / seconds,
             .running = 0,
             .served_tokens = total,
             .owners = others_});
    }
}

nlohmann::json share_service::last_window() const
{
    auto rows = nlohmann::json::array();
    for (auto const& row : exchange_.shares().rows(closed_)) {
        rows.push_back({{"organisation", row.organisation},
                        {"class", row.service_class},
                        {"tokens", row.counts.tokens},
                        {"requests", row.counts.requests},
                        {"refused", row.counts.refused},
                        {"delayed", row.counts.delayed}});
    }
    return {{"number", closed_},
            {"length_ms", std::chrono::milliseconds{window}.count()},
            {"rows", std::move(rows)}};
}

} // namespace medlarstall::daemon
