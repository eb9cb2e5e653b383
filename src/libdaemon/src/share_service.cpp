#include "share_service.hpp"

#include "daemon_context.hpp"
#include "owner_service.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::daemon {

namespace {

using membership::share_counts;

constexpr std::chrono::milliseconds tick_interval{200};

/// Unless a link is broken, the counts of all daemons for a window have arrived
/// once it is this many windows old.
constexpr std::uint64_t windows_until_complete = 2;

std::uint64_t wall_clock_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

membership::tree_exchange_settings
tree_exchange_settings_of(daemon_settings const& settings)
{
    membership::tree_exchange_settings tree_settings;
    tree_settings.daemon_id = settings.id;
    tree_settings.data_centre = settings.data_centre;
    return tree_settings;
}

std::uint64_t saturating_difference(std::uint64_t minuend,
                                    std::uint64_t subtrahend)
{
    return minuend > subtrahend ? minuend - subtrahend : 0;
}

share_counts difference(share_counts const& minuend,
                        share_counts const& subtrahend)
{
    return {
        .tokens = saturating_difference(minuend.tokens, subtrahend.tokens),
        .requests =
            saturating_difference(minuend.requests, subtrahend.requests),
        .refused = saturating_difference(minuend.refused, subtrahend.refused),
        .delayed = saturating_difference(minuend.delayed, subtrahend.delayed)};
}

} // namespace

share_service::share_service(daemon_context& context,
                             message_sender send_message)
    : context_{context}, send_message_{std::move(send_message)},
      tree_exchange_{tree_exchange_settings_of(context.settings),
                     wall_clock_ms()},
      tick_timer_{context.io}
{}

share_service::~share_service()
{
    alive_.reset();
}

std::uint64_t share_service::current_window()
{
    constexpr auto window_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(window_length)
            .count();
    return wall_clock_ms() / static_cast<std::uint64_t>(window_ms);
}

void share_service::start()
{
    last_closed_window_ = current_window() - windows_until_complete;
    on_tick();
}

void share_service::set_live_daemons(
    std::vector<membership::daemon_info> const& live)
{
    other_daemon_count_ =
        live.empty() ? 0 : static_cast<std::uint32_t>(live.size() - 1);
    tree_exchange_.set_daemons(live);
}

void share_service::on_message(std::string const& from,
                               nlohmann::json const& message)
{
    auto const read = membership::parse_tree_message(message);
    if (failed(read)) {
        ++context_.daemon_metrics.bad_peer_messages;
        return;
    }
    tree_exchange_.on_message(from, value_of(read));
}

void share_service::record_local_usage(std::uint64_t window)
{
    for (auto const& usage : context_.owner->usage()) {
        share_key const key{usage.organisation, usage.service_class};
        share_counts const total{.tokens = usage.served_tokens,
                                 .requests = usage.dispatched,
                                 .refused = usage.refused,
                                 .delayed = usage.delayed};
        auto& recorded = recorded_totals_[key];
        auto const unrecorded = difference(total, recorded);
        if (unrecorded == share_counts{}) {
            continue;
        }
        recorded = total;
        local_counts_[window][key] += unrecorded;
        tree_exchange_.record({.window = window,
                               .organisation = usage.organisation,
                               .service_class = usage.service_class,
                               .counts = unrecorded});
    }
}

void share_service::on_tick()
{
    auto const now = monotonic_clock::now();
    auto const window = current_window();
    record_local_usage(window);
    while (last_closed_window_ + windows_until_complete < window) {
        close_window(++last_closed_window_);
    }
    tree_exchange_.set_applied_version(context_.catalogue.version,
                                       context_.catalogue.digest.substr(0, 16));
    for (auto const& outgoing : tree_exchange_.tick(now, window)) {
        send_message_(outgoing.to,
                      {{"from", context_.settings.id},
                       {"t", membership::to_json(outgoing.message)}});
    }
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                on_tick();
            }
        });
}

void share_service::close_window(std::uint64_t window)
{
    report_remote_usage(window);
    local_counts_.erase(local_counts_.begin(),
                        local_counts_.upper_bound(window));
}

void share_service::report_remote_usage(std::uint64_t window)
{
    constexpr double seconds = window_length.count();
    auto const local_counts = local_counts_.find(window);
    std::map<share_key, share_counts> remote;
    for (auto const& [key, tokens] : remote_tokens_) {
        remote.emplace(key, share_counts{});
    }
    for (auto const& row : tree_exchange_.shares().rows(window)) {
        if (row.organisation.empty()) {
            continue;
        }
        share_key const key{row.organisation, row.service_class};
        share_counts local;
        if (local_counts != local_counts_.end() &&
            local_counts->second.contains(key)) {
            local = local_counts->second.at(key);
        }
        remote[key] = difference(row.counts, local);
    }
    for (auto const& [key, counts] : remote) {
        auto& total = remote_tokens_[key];
        total += counts.tokens;
        context_.owner->set_remote_usage(
            key.first, key.second,
            {.tokens_per_second = static_cast<double>(counts.tokens) / seconds,
             .requests_per_second =
                 static_cast<double>(counts.requests) / seconds,
             .running = 0,
             .served_tokens = total,
             .owners = other_daemon_count_});
    }
}

nlohmann::json share_service::last_window() const
{
    auto rows = nlohmann::json::array();
    for (auto const& row : tree_exchange_.shares().rows(last_closed_window_)) {
        rows.push_back({{"organisation", row.organisation},
                        {"class", row.service_class},
                        {"tokens", row.counts.tokens},
                        {"requests", row.counts.requests},
                        {"refused", row.counts.refused},
                        {"delayed", row.counts.delayed}});
    }
    return {{"number", last_closed_window_},
            {"length_ms", std::chrono::milliseconds{window_length}.count()},
            {"rows", std::move(rows)}};
}

} // namespace medlarstall::daemon
