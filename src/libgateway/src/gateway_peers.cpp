// Exchange of updates and records between this daemon and its peers.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

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
/// Daemons that read the store continuously in a fleet of one cell.
constexpr std::size_t max_store_readers = 3;
/// Daemons of each cell that read the store continuously, if the fleet has
/// several cells.
constexpr std::size_t max_store_readers_per_cell = 2;
/// Time after the start within which updates of all live peers should arrive.
constexpr milliseconds discovery_time{1000};
/// In normal operation this daemon knows within this time what a peer has read.
constexpr milliseconds catch_up_time{750};
/// Records are fetched only from peers whose last update is no older than this.
constexpr milliseconds max_update_age{1000};
/// Updates announce for this long that a backend server is leaving.
constexpr milliseconds leaving_announcement_time{3000};
/// Daemons that try to read the store while it is unreachable.
constexpr std::size_t max_reader_candidates = 12;

} // namespace

/// The list of backend servers counts as reachable while this daemon reads it
/// from the store, or knows everything that a peer that reads it has read.
void gateway::update_list_reachable(time_point now)
{
    auto const known = servers_follower_->position();
    for (auto const* const peer : members_.live(now)) {
        if (peer->news.store_reachable && peer->news.servers <= known) {
            caught_up_ = now;
        }
    }
    auto const reachable =
        servers_follower_->reads_store() || now - caught_up_ < catch_up_time;
    if (reachable != list_reachable_) {
        list_reachable_ = reachable;
        decision_line{log_, line_kind::belief, "list"}
            .with("reachable", reachable ? "yes" : "no")
            .with("era", known.era)
            .with("offset", known.offset);
    }
    dispatcher_.set_list_reachable(reachable, now);
}

peer_news gateway::make_news() const
{
    peer_news update;
    update.daemon = settings_.name;
    update.incarnation = incarnation_;
    update.sequence = news_sequence_;
    update.entry_address = text_of(settings_.entry_address);
    update.ready = is_ready();
    update.store_reachable = servers_follower_->reads_store();
    update.configuration_version = table_ ? table_->version() : 0;
    update.configuration = configuration_follower_->position();
    update.servers = servers_follower_->position();
    update.significant_servers =
        tells_all_changes() ? update.servers
                            : servers_follower_->significant_position();
    update.members = members_follower_->position();
    update.leaving =
        dispatcher_.leaving_since(news_sent_ - leaving_announcement_time);
    update.loads = dispatcher_.own_loads(news_sent_);
    update.prompts = prompts_to_tell_;
    update.crashes = crashes_to_tell_;
    return update;
}

void gateway::send_news(time_point now, bool urgent)
{
    auto const configuration = configuration_follower_->position();
    urgent = urgent || configuration != told_configuration_ ||
             is_ready() != told_ready_;
    auto const busy = !requests_.empty() || !prompts_to_tell_.empty() ||
                      !crashes_to_tell_.empty();
    if (!urgent && now - news_sent_ <
                       (busy ? busy_update_interval : idle_update_interval)) {
        return;
    }
    told_configuration_ = configuration;
    told_ready_ = is_ready();
    news_sent_ = now;
    ++news_sequence_;
    if (prompts_to_tell_.size() > max_prompts_per_update) {
        prompts_to_tell_.resize(max_prompts_per_update);
    }
    // Crashes are announced to the whole fleet: a client may send the request
    // again to any daemon.
    link_.send(crashes_to_tell_.empty() ? cell_addresses_
                                        : members_.addresses(),
               encode(make_news()));
    prompts_to_tell_.clear();
    crashes_to_tell_.clear();
}

void gateway::on_news(std::string const& from, std::string_view bytes)
{
    if (!members_.contains(from)) {
        return; // The sender is not in the member list, thus not trusted.
    }
    auto const now = decision_clock::now();
    auto const decoded = decode_news(bytes);
    if (failed(decoded)) {
        decision_line{log_, line_kind::failure, "bad_news"}
            .with("from", from)
            .with("reason", error_of(decoded).message);
        return;
    }
    auto const& update = value_of(decoded);
    if (!members_.merge(from, update, now)) {
        return;
    }
    dispatcher_.merge_loads(from, update.loads, now);
    for (auto const& note : update.prompts) {
        dispatch::prompt prompt;
        prompt.parts = note.parts;
        dispatcher_.merge_prompt(note.backend_server, prompt, now);
    }
    for (auto const& note : update.crashes) {
        dispatcher_.crashes().merge(note, now);
    }
    for (auto const& note : update.leaving) {
        if (dispatcher_.merge_leaving(note)) {
            log_leaving(note.backend_server, update.daemon);
        }
    }
}

/// Recomputes the cells of the fleet after a daemon was added or removed.
void gateway::update_cell()
{
    if (cell_of_change_ == members_.revision()) {
        return;
    }
    cell_of_change_ = members_.revision();
    auto const own = text_of(settings_.peer_address);
    auto addresses = members_.addresses();
    addresses.push_back(own);
    auto const previous =
        std::exchange(cell_, dispatch::cell_of(addresses, own));
    cell_addresses_ = dispatch::part_of(addresses, cell_);
    std::erase(cell_addresses_, own);
    dispatcher_.set_cell(cell_);
    if (previous != cell_) {
        decision_line{log_, line_kind::belief, "cell"}
            .with("daemons", addresses.size())
            .with("cells", cell_.count)
            .with("own", cell_.own)
            .with("others", cell_addresses_.size());
    }
}

/// Removes daemons from the member list that disappeared without announcing
/// it. A daemon that was only disconnected adds itself again.
void gateway::drop_lost_members(time_point now)
{
    if (now < next_lost_check_ || !first_reader_ ||
        !members_follower_->store_reachable()) {
        return;
    }
    constexpr std::chrono::minutes interval{1};
    next_lost_check_ = now + interval;
    for (auto const& address : members_.lost_members(cell_addresses_, now)) {
        decision_line{log_, line_kind::belief, "member"}
            .with("address", address)
            .with("present", "no")
            .with("reason", "silent");
        members_.remove(address);
        translations_.store.write(ledger::members, {address, std::nullopt, 0},
                                  [](bool) {});
    }
}

/// Backend servers rewrite their entries periodically. In a fleet of several
/// cells, peers are sent only the entries with significant changes.
bool gateway::tells_all_changes() const
{
    return cell_.count == 1;
}

/// Only a few daemons read the store continuously. They are selected by the
/// hash of their names, which mixes the data centres. If those cannot reach the
/// store, some more daemons try, but never all of them.
void gateway::choose_readers(time_point now)
{
    auto const own_rank = hash64(settings_.name);
    std::size_t lower_ranks = 0;
    std::size_t lower_ranks_reading = 0;
    for (auto const* const peer : members_.live(now)) {
        if (!peer->news.ready || hash64(peer->news.daemon) >= own_rank) {
            continue;
        }
        ++lower_ranks;
        lower_ranks_reading += peer->news.store_reachable ? 1 : 0;
    }
    first_reader_ = lower_ranks == 0;
    auto const max_readers =
        cell_.count == 1 ? max_store_readers : max_store_readers_per_cell;
    auto const settled = now - started_ >= discovery_time;
    auto const continuous = settled && lower_ranks_reading < max_readers &&
                            lower_ranks < max_reader_candidates;
    for (auto const& follower :
         {configuration_follower_, servers_follower_, members_follower_}) {
        follower->set_continuous(continuous);
    }
}

void gateway::fetch_from_peers(time_point now)
{
    std::vector<std::string> ahead_in_configuration;
    std::vector<std::string> ahead_in_servers;
    std::vector<std::string> ahead_in_members;
    auto const version = table_ ? table_->version() : 0;
    for (auto const* const peer : members_.live(now)) {
        auto const& update = peer->news;
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
    fetch(ledger::configuration, ahead_in_configuration, now);
    fetch(ledger::backend_servers, ahead_in_servers, now);
    fetch(ledger::members, ahead_in_members, now);
}

fetch_turns& gateway::turns_of(ledger which)
{
    switch (which) {
    case ledger::configuration:
        return configuration_turns_;
    case ledger::backend_servers:
        return servers_turns_;
    default:
        return members_turns_;
    }
}

void gateway::fetch(ledger which, std::vector<std::string> const& ahead,
                    time_point now)
{
    auto& scheduler = turns_of(which);
    auto const peer_index = scheduler.next(ahead.size(), now);
    if (!peer_index) {
        return;
    }
    auto const& address = ahead[*peer_index];
    auto const endpoint = parse_endpoint(address);
    if (!endpoint) {
        scheduler.note_end();
        return;
    }
    auto const known_to = follower_of(which).position();
    http::request_head head{"GET",
                            std::string{"/v1/records/"} + name_of(which) +
                                "?era=" + std::to_string(known_to.era) +
                                "&after=" + std::to_string(known_to.offset),
                            {}};
    constexpr milliseconds fetch_timeout{1500};
    side_call(
        *endpoint, std::move(head), fetch_timeout,
        [this, which, address, &scheduler](http::response const& response) {
            scheduler.note_end();
            if (response.head.status == http_ok) {
                on_peer_records(which, address, response.body);
            } else {
                follower_of(which).read_now();
            }
        });
}

void gateway::on_peer_records(ledger which, std::string const& address,
                              std::string_view body)
{
    auto const page = decode_page(body);
    if (failed(page)) {
        decision_line{log_, line_kind::failure, "bad_records"}
            .with("from", address)
            .with("reason", error_of(page).message);
        return;
    }
    decision_line{log_, line_kind::belief, "records_from_peer"}
        .with("ledger", name_of(which))
        .with("from", address)
        .with("era", value_of(page).era)
        .with("offset", value_of(page).next_offset);
    follower_of(which).merge_page(value_of(page));
    if (which == ledger::configuration) {
        // A restored store may lack the newest configuration for a while. Peers
        // then append it to their records, but the follower need not keep it.
        for (auto const& item : value_of(page).records) {
            if (item.value != follower_of(which).value_of(item.key)) {
                on_configuration(item);
            }
        }
    }
}

} // namespace medlarstall::gateway
