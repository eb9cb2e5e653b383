// Exchange of updates and records between this daemon and its peers.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <medlarstall/gateway/reader_role.hpp>
#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// Interval of updates while there are requests or anything to announce.
constexpr milliseconds busy_update_interval{200};
/// Interval of updates while this daemon is idle.
constexpr milliseconds idle_update_interval{600};
constexpr int http_ok = 200;
/// Most sent prompts in one update; further ones are left out.
constexpr std::size_t max_prompts_per_update = 24;
constexpr milliseconds fetch_timeout{1500};
/// Time after the start within which updates of all live peers should arrive.
constexpr milliseconds discovery_time{1000};
/// Records are fetched only from peers whose last update is no older than this.
constexpr milliseconds max_update_age{1000};
/// Updates announce for this long what a backend server has said of itself.
constexpr milliseconds server_announcement_time{3000};
/// Crashes are announced repeatedly for this long, since datagrams may be lost.
constexpr milliseconds crash_announcement_time{700};
/// Time between two reads of the member list because of unlisted senders.
constexpr milliseconds unlisted_check_interval{1500};

} // namespace

/// Drops reports that have been announced for long enough.
/// \return the others
std::vector<dispatch::crash_report> gateway::crashes_to_announce(time_point now)
{
    while (!recent_crashes_.empty() &&
           now - recent_crashes_.front().found_at > crash_announcement_time) {
        recent_crashes_.pop_front();
    }
    std::vector<dispatch::crash_report> reports;
    for (auto const& [report, found_at] : recent_crashes_) {
        reports.push_back(report);
        reports.back().age +=
            std::chrono::duration_cast<milliseconds>(now - found_at);
    }
    return reports;
}

peer_update gateway::make_peer_update()
{
    peer_update update;
    update.daemon = settings_.name;
    update.incarnation = incarnation_;
    update.sequence = update_sequence_;
    update.entry_address = format_endpoint(settings_.entry_address);
    update.ready = is_ready();
    auto const now = monotonic_clock::now();
    update.reads_store = servers_follower_->reads_store(now);
    update.servers_read = servers_age_.announced(now);
    update.configuration_read = configuration_age_.announced(now);
    update.store_steady_for = servers_age_.steady_for(now);
    update.configuration_version = route_table_ ? route_table_->version() : 0;
    update.configuration = configuration_follower_->position();
    update.servers = servers_follower_->position();
    update.significant_servers =
        publishes_all_changes() ? update.servers
                                : servers_follower_->significant_position();
    update.members = members_follower_->position();
    auto const announced_since = update_sent_at_ - server_announcement_time;
    update.leaving = dispatcher_.leave_notices_since(announced_since);
    // A daemon that has just started knows of no limit.
    auto const started = members_.start_heard_at();
    update.rate_limits = dispatcher_.rate_limits_changed_since(
        started && *started > announced_since ? time_point::min()
                                              : announced_since,
        monotonic_clock::now());
    update.loads = dispatcher_.own_loads(update_sent_at_);
    update.prompts = pending_prompts_;
    update.crashes = crashes_to_announce(monotonic_clock::now());
    auto& parts = dispatcher_.crashes().parts();
    update.blamed_parts = parts.blamed(monotonic_clock::now());
    update.sound_parts =
        parts.sound_since(announced_since, monotonic_clock::now());
    update.reached_services = paths_.reached_services(monotonic_clock::now());
    update.server_reports = reports_to_tell(monotonic_clock::now());
    update.releases = origins_.mixed_releases(monotonic_clock::now());
    update.unidentified_streams = streams_to_announce(monotonic_clock::now());
    update.open_streams = unidentified_streams();
    update.entry_capacity = capacity_.requests_per_second();
    return update;
}

/// Adds what is told once, and so must go to all peers.
void gateway::add_single_notes(peer_update& update, time_point now)
{
    if (duty_service_) {
        update.lease = duty_service_->take_notice();
    }
    add_usage(update, std::exchange(tell_all_usage_, false), now);
}

void gateway::send_peer_update(time_point now, bool urgent)
{
    auto const configuration = configuration_follower_->position();
    urgent = urgent || configuration != announced_configuration_ ||
             is_ready() != announced_ready_ || rate_limit_changed_ ||
             crash_to_announce_ || report_to_announce_ || read_to_announce_;
    auto const busy = !requests_.empty() || !pending_prompts_.empty() ||
                      !recent_crashes_.empty() || !unidentified_.empty();
    if (!urgent && now - update_sent_at_ <
                       (busy ? busy_update_interval : idle_update_interval)) {
        return;
    }
    announced_configuration_ = configuration;
    announced_ready_ = is_ready();
    update_sent_at_ = now;
    ++update_sequence_;
    if (pending_prompts_.size() > max_prompts_per_update) {
        pending_prompts_.resize(max_prompts_per_update);
    }
    // Crashes and streams that broke off are announced to the whole fleet: a
    // caller may send the request again to any daemon. Rate limits are, since
    // any daemon may use a backend server of another cell if it has no other.
    auto const to_all = !recent_crashes_.empty() || rate_limit_changed_ ||
                        !unidentified_.empty();
    auto update = make_peer_update();
    add_single_notes(update, now);
    peer_link_.send(to_all ? members_.addresses() : cell_peer_addresses_,
                    encode(update));
    rate_limit_changed_ = false;
    crash_to_announce_ = false;
    report_to_announce_ = false;
    read_to_announce_ = false;
    pending_prompts_.clear();
}

/// Updates each helper that has a request of this daemon, so that it knows that
/// this one runs even if some updates are lost.
void gateway::send_forwarding_updates()
{
    std::set<std::string> helpers;
    for (auto const& request : requests_) {
        if (!request->current_peer().empty()) {
            helpers.insert(request->current_peer());
        }
    }
    std::vector<std::string> addresses;
    for (auto const* const peer :
         members_.live_members(monotonic_clock::now())) {
        if (helpers.contains(peer->update.daemon)) {
            addresses.push_back(peer->address);
        }
    }
    if (!addresses.empty()) {
        ++update_sequence_;
        peer_link_.send(addresses, encode(make_peer_update()));
    }
}

/// The update of a sender that is not in the member list is not trusted. But if
/// it has read more of the member list than this daemon, that is a reason to
/// read the list again.
void gateway::on_unlisted_sender(std::string const& from,
                                 std::string_view bytes, time_point now)
{
    if (now < next_unlisted_check_) {
        return;
    }
    auto const decoded = decode_peer_update(bytes);
    if (failed(decoded) ||
        value_of(decoded).members <= members_follower_->position()) {
        return;
    }
    next_unlisted_check_ = now + unlisted_check_interval;
    metrics_.count_state_change("unlisted_sender");
    log_entry{log_, log_category::state_change, "unlisted_sender"}
        .with("from", from)
        .with("offset", members_follower_->position().offset)
        .with("its_offset", value_of(decoded).members.offset)
        .with("age", now - members_follower_->up_to_date_at());
    members_follower_->read_now();
}

void gateway::on_peer_update(std::string const& from, std::string_view bytes)
{
    auto const now = monotonic_clock::now();
    if (merge_collected_usage(from, bytes)) {
        return;
    }
    if (!members_.contains(from)) {
        merge_usage_of_departed(from, bytes, now);
        on_unlisted_sender(from, bytes, now);
        return;
    }
    auto const decoded = decode_peer_update(bytes);
    if (failed(decoded)) {
        log_entry{log_, log_category::failure, "bad_news"}
            .with("from", from)
            .with("reason", error_of(decoded).message);
        return;
    }
    auto const& update = value_of(decoded);
    if (!members_.merge(from, update, now)) {
        return;
    }
    heard_daemons_.on_heard(update.daemon, update.incarnation,
                            stalled_since_tick(now) ? last_tick_at_ : now);
    on_peer_reads(update);
    if (duty_service_ && update.lease) {
        duty_service_->on_notice(*update.lease);
    }
    merge_usage(update, now);
    dispatcher_.merge_loads(from, update.loads, now);
    for (auto const& note : update.prompts) {
        if (note.started_unix_ms &&
            !dispatcher_.is_listed_run(note.backend_server,
                                       *note.started_unix_ms)) {
            continue;
        }
        dispatch::prompt prompt;
        prompt.parts = note.parts;
        dispatcher_.merge_prompt(note.backend_server, prompt, now);
    }
    merge_server_reports(update, now);
    auto& crashes = dispatcher_.crashes();
    for (auto const& note : update.crashes) {
        crashes.merge(note, now);
    }
    for (auto const& note : update.sound_parts) {
        crashes.parts().merge_sound(note, now);
    }
    for (auto const& note : update.blamed_parts) {
        crashes.parts().merge_blame(note, now);
    }
    log_blame_changes(update.daemon);
    for (auto const& release : update.releases) {
        origins_.on_told(release, now);
    }
    origins_.set_unidentified(from, update.open_streams, now);
    for (auto const& stream : update.unidentified_streams) {
        origins_.on_unidentified(stream.id, stream.service, now);
    }
    for (auto const& note : update.leaving) {
        if (dispatcher_.merge_leave_notice(note)) {
            log_server_leaving(note.backend_server, update.daemon);
        }
    }
    for (auto const& note : update.rate_limits) {
        log_rate_limit(note.backend_server,
                       dispatcher_.merge_rate_limit(note, now), update.daemon,
                       now);
    }
}

/// Recomputes the cells of the fleet after a daemon was added or removed.
void gateway::update_cell()
{
    if (cell_members_revision_ == members_.revision()) {
        return;
    }
    cell_members_revision_ = members_.revision();
    auto const own = format_endpoint(settings_.peer_address);
    auto addresses = members_.addresses();
    addresses.push_back(own);
    auto const previous =
        std::exchange(cell_, dispatch::cell_containing(addresses, own));
    cell_peer_addresses_ = dispatch::names_in_cell(addresses, cell_);
    std::erase(cell_peer_addresses_, own);
    dispatcher_.set_cell(cell_);
    if (previous != cell_) {
        log_entry{log_, log_category::state_change, "cell"}
            .with("daemons", addresses.size())
            .with("cells", cell_.cell_count)
            .with("own", cell_.index)
            .with("others", cell_peer_addresses_.size());
    }
}

/// Removes daemons from the member list that disappeared without announcing
/// it. A daemon that was only disconnected adds itself again.
void gateway::remove_lost_members(time_point now)
{
    if (now < next_member_check_ || !is_first_reader_ ||
        !members_follower_->store_reachable()) {
        return;
    }
    constexpr std::chrono::minutes interval{1};
    next_member_check_ = now + interval;
    for (auto const& address :
         members_.lost_members(cell_peer_addresses_, now)) {
        log_entry{log_, log_category::state_change, "member"}
            .with("address", address)
            .with("present", "no")
            .with("reason", "silent");
        members_.remove(address);
        adapter_.store.write(record_topic::members, {address, std::nullopt, 0},
                             [](bool) {});
        remove_origins(address);
    }
}

/// Backend servers rewrite their entries periodically. In a fleet of several
/// cells, peers are sent only the entries with significant changes.
bool gateway::publishes_all_changes() const
{
    return cell_.cell_count == 1;
}

/// The readers are selected by the hash of their names, which mixes the data
/// centres.
void gateway::update_reader_role(time_point now)
{
    std::vector<reader_candidate> peers;
    for (auto const* const peer : members_.live_members(now)) {
        peers.push_back({hash64(peer->update.daemon), peer->update.ready,
                         peer->update.reads_store});
    }
    auto const role =
        select_reader_role({hash64(settings_.name), is_ready()}, peers);
    is_first_reader_ = role.is_first;
    auto const settled = now - started_at_ >= discovery_time;
    for (auto const& follower :
         {configuration_follower_, servers_follower_, members_follower_}) {
        follower->set_continuous(settled && role.reads_continuously);
    }
}

void gateway::fetch_records_from_peers(time_point now)
{
    std::vector<std::string> ahead_in_configuration;
    std::vector<std::string> ahead_in_servers;
    std::vector<std::string> ahead_in_members;
    auto const version = route_table_ ? route_table_->version() : 0;
    for (auto const* const peer : members_.live_members(now)) {
        auto const& update = peer->update;
        if (now - peer->last_heard > max_update_age) {
            continue;
        }
        if (update.members > members_follower_->position()) {
            ahead_in_members.push_back(peer->address);
        }
        if (update.configuration > configuration_follower_->position() ||
            update.configuration_version > version) {
            ahead_in_configuration.push_back(peer->address);
        }
        if (update.servers <= servers_follower_->position()) {
            continue;
        }
        if (update.significant_servers <= servers_follower_->position()) {
            servers_follower_->skip_to(update.servers);
        } else {
            ahead_in_servers.push_back(peer->address);
        }
    }
    fetch_records(record_topic::configuration, ahead_in_configuration, now);
    fetch_records(record_topic::backend_servers, ahead_in_servers, now);
    fetch_records(record_topic::members, ahead_in_members, now);
}

fetch_scheduler& gateway::fetch_scheduler_of(record_topic which)
{
    switch (which) {
    case record_topic::configuration:
        return configuration_fetches_;
    case record_topic::backend_servers:
        return servers_fetches_;
    default:
        return members_fetches_;
    }
}

void gateway::fetch_records(record_topic which,
                            std::vector<std::string> const& ahead,
                            time_point now)
{
    auto& scheduler = fetch_scheduler_of(which);
    auto const peer_index = scheduler.try_start(ahead.size(), now);
    if (!peer_index) {
        return;
    }
    auto const& address = ahead[*peer_index];
    auto const endpoint = parse_endpoint(address);
    if (!endpoint) {
        scheduler.note_finished();
        return;
    }
    auto const known_to = follower_of(which).position();
    http::request_head head{"GET",
                            std::string{"/v1/records/"} + name_of(which) +
                                "?era=" + std::to_string(known_to.era) +
                                "&after=" + std::to_string(known_to.offset),
                            {}};
    send_internal_call(
        *endpoint, std::move(head), fetch_timeout,
        [this, which, address, now,
         &scheduler](http::response const& response) {
            scheduler.note_finished();
            auto const took = monotonic_clock::now() - now;
            if (response.head.status == http_ok) {
                on_peer_records(which, address, took, response.body);
                return;
            }
            log_entry{log_, log_category::belief, "records_not_fetched"}
                .with("ledger", name_of(which))
                .with("from", address)
                .with("status", response.head.status)
                .with("took", took);
            if (which == record_topic::members) {
                follower_of(which).read_now();
            }
        });
}

void gateway::on_peer_records(record_topic which, std::string const& address,
                              duration took, std::string_view body)
{
    auto const page = decode_record_page(body);
    if (failed(page)) {
        log_entry{log_, log_category::failure, "bad_records"}
            .with("from", address)
            .with("reason", error_of(page).message);
        return;
    }
    log_entry{log_, log_category::belief, "records_from_peer"}
        .with("ledger", name_of(which))
        .with("from", address)
        .with("took", took)
        .with("records", value_of(page).records.size())
        .with("era", value_of(page).era)
        .with("offset", value_of(page).next_offset);
    follower_of(which).merge_page(value_of(page));
    if (which == record_topic::configuration) {
        // A restored store may lack the newest configuration for a while. Peers
        // then append it to their records, but the follower need not keep it.
        for (auto const& item : value_of(page).records) {
            if (item.value != follower_of(which).find_value(item.key)) {
                on_configuration(item);
            }
        }
    }
}

} // namespace medlarstall::gateway
