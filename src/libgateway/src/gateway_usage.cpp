// Counts of the requests that have begun to run, and what the daemons tell each
// other of them. Nothing of this happens unless usage reports are configured.

#include <medlarstall/gateway/gateway.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// A daemon that has left the member list runs its last requests for as long as
/// its grace period, and tells what it has counted until then.
constexpr std::chrono::seconds departed_period{60};
/// Most daemons that are remembered after they have left.
constexpr std::size_t max_departed = 512;
/// Reports are due some time after the end of a window. At least this part of
/// it is left for storing and sending them, and for a change of the holder.
constexpr int close_delay_divisor = 5;
/// Collected rows are not sent to a holder that was not heard of for longer.
constexpr std::chrono::seconds max_lease_age{10};

duty::wall_time wall_clock_now()
{
    return std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
}

} // namespace

bool gateway::counts_usage() const
{
    return settings_.duties && settings_.duties->reports_usage;
}

void gateway::start_usage(time_point now)
{
    if (!counts_usage()) {
        return;
    }
    duty::usage_settings settings;
    settings.window = settings_.duties->report_window;
    settings.close_delay =
        std::min(settings.close_delay,
                 settings_.duties->usage_delay / close_delay_divisor);
    usage_.emplace(settings_.name, incarnation_, settings);
    update_usage(now);
    if (duty_service_) {
        duty_service_->add(make_duty_handle("usage", usage_->duty()));
    }
}

void gateway::update_usage(time_point now)
{
    if (!usage_) {
        return;
    }
    send_collected_usage(now);
    auto const jumps = usage_->time().own_jumps();
    usage_->tick(wall_clock_now(), now);
    std::erase_if(departed_,
                  [now](auto const& item) { return item.second < now; });
    if (usage_->time().own_jumps() == jumps) {
        return;
    }
    metrics_.count_state_change("clock_jumped");
    log_entry{log_, log_category::state_change, "clock_jumped"}
        .with("ahead", usage_->time().own_deviation())
        .with("clocks", usage_->time().clock_count());
}

void gateway::note_member_name(record const& item)
{
    if (!usage_) {
        return;
    }
    std::erase_if(daemon_addresses_, [&item](auto const& known) {
        return known.second == item.key;
    });
    if (item.value) {
        daemon_addresses_[*item.value] = item.key;
    }
}

/// \return peer address of the holder of the duties if it does not get the
///     updates of this daemon
std::optional<std::string> gateway::holder_in_other_cell() const
{
    if (cell_.cell_count <= 1 || !duty_service_) {
        return std::nullopt;
    }
    auto const lease = duty_service_->status();
    auto const found = daemon_addresses_.find(lease.holder);
    auto const is_known = found != daemon_addresses_.end() &&
                          lease.age < max_lease_age &&
                          lease.holder != settings_.name;
    if (!is_known ||
        std::ranges::count(cell_peer_addresses_, found->second) > 0) {
        return std::nullopt;
    }
    return found->second;
}

/// The daemons of a cell take turns, so that the loss of one costs the holder
/// one second of rows.
bool gateway::has_turn_to_collect(std::int64_t second, time_point now) const
{
    std::int64_t count = 1;
    std::int64_t before = 0;
    for (auto const* const peer : members_.live_members(now)) {
        if (std::ranges::count(cell_peer_addresses_, peer->address) > 0) {
            ++count;
            before += peer->update.daemon < settings_.name ? 1 : 0;
        }
    }
    return second % count == before;
}

/// Sends all rows of the cell to a holder in another one. Each daemon of the
/// cell knows them, so that one datagram a second is enough.
void gateway::send_collected_usage(time_point now)
{
    auto const second = std::chrono::floor<std::chrono::seconds>(
                            usage_->time().at(now).time_since_epoch())
                            .count();
    if (std::exchange(collected_in_second_, second) == second) {
        return;
    }
    auto const holder = holder_in_other_cell();
    if (holder && has_turn_to_collect(second, now)) {
        peer_link_.send({*holder},
                        encode_collected_usage(usage_->collected_rows(now)));
    }
}

void gateway::add_usage(peer_update& update, bool all, time_point now)
{
    if (usage_) {
        update.wall_clock = wall_clock_now();
        update.usage = usage_->take_note(all, now);
    }
}

void gateway::merge_usage(peer_update const& update, time_point now)
{
    if (!usage_) {
        return;
    }
    if (update.wall_clock) {
        usage_->on_peer_clock(update.daemon, *update.wall_clock, now);
    }
    if (update.usage) {
        usage_->on_peer_note(update.daemon, update.incarnation, *update.usage,
                             now);
    }
}

/// \return true if the datagram contains rows that a peer has collected
bool gateway::merge_collected_usage(std::string const& from,
                                    std::string_view bytes)
{
    auto const collected = decode_collected_usage(bytes);
    if (collected && usage_ && members_.contains(from)) {
        usage_->on_collected_rows(*collected);
    }
    return collected.has_value();
}

void gateway::note_departure(std::string const& address, time_point now)
{
    if (usage_ && departed_.size() < max_departed) {
        departed_[address] = now + departed_period;
    }
}

/// Merges the counts of a daemon that is no longer a member: it may still be
/// running its last requests. Nothing else of its update is used.
void gateway::merge_usage_of_departed(std::string const& from,
                                      std::string_view bytes, time_point now)
{
    if (!usage_ || !departed_.contains(from)) {
        return;
    }
    auto const decoded = decode_peer_update(bytes);
    if (!failed(decoded) && value_of(decoded).usage) {
        auto const& update = value_of(decoded);
        usage_->on_peer_note(update.daemon, update.incarnation, *update.usage,
                             now);
    }
}

void gateway::update_usage_gauges()
{
    if (!usage_) {
        return;
    }
    auto const set = [this](char const* name, std::uint64_t value) {
        metrics_.set_gauge(name, static_cast<double>(value));
    };
    auto const& counters = usage_->counters();
    auto const& reports = usage_->duty().counters();
    set("usage_requests_counted", counters.counted);
    set("usage_requests_late", counters.late);
    set("usage_rows_rejected", counters.rejected_rows);
    set("usage_counts_held", usage_->held_counts());
    set("usage_windows_fixed", reports.fixed);
    set("usage_reports_accepted", reports.accepted);
    set("usage_reports_failed", reports.failed);
    set("usage_reports_given_up", reports.given_up);
    set("usage_windows_left_out", reports.left_out);
    set("usage_reports_waiting", usage_->duty().waiting());
    set("clocks_known", usage_->time().clock_count());
    std::chrono::duration<double> const ahead = usage_->time().own_deviation();
    metrics_.set_gauge("clock_ahead_seconds", ahead.count());
}

/// Passes on all counts before this daemon ends.
void gateway::tell_all_usage(time_point now)
{
    if (usage_) {
        tell_all_usage_ = true;
        send_peer_update(now, true);
    }
}

} // namespace medlarstall::gateway
