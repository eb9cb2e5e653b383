// What a gateway tells the other daemons, and what it learns from them.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds busy_news{200};
constexpr milliseconds calm_news{600};
constexpr int ok = 200;
constexpr std::size_t most_prompts_told = 24;
/// Daemons that read the store all the time.
constexpr std::size_t most_readers = 3;
constexpr std::size_t most_readers_of_cell = 2; ///< If there are several.
/// From the start until the other daemons should have been heard of.
constexpr milliseconds settle_time{1000};
/// What another daemon has read is known this soon, while all is well.
constexpr milliseconds catch_up_time{750};
/// A daemon that was heard of this lately is asked for records.
constexpr milliseconds heard_lately{1000};
/// Other daemons are told for this long that a backend server leaves.
constexpr milliseconds leaving_told{3000};
/// Daemons that try while the store cannot be reached.
constexpr std::size_t most_candidates = 12;

} // namespace

/// The list can be read as long as this daemon reads it, or knows all that one
/// that does has read.
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
    peer_news news;
    news.daemon = settings_.name;
    news.incarnation = incarnation_;
    news.sequence = news_sequence_;
    news.entry_address = text_of(settings_.entry_address);
    news.ready = is_ready();
    news.store_reachable = servers_follower_->reads_store();
    news.configuration_version = table_ ? table_->version() : 0;
    news.configuration = configuration_follower_->position();
    news.servers = servers_follower_->position();
    news.servers_changed =
        tells_all_changes() ? news.servers : servers_follower_->changed_to();
    news.members = members_follower_->position();
    news.leaving = dispatcher_.leaving_since(news_sent_ - leaving_told);
    news.loads = dispatcher_.own_loads(news_sent_);
    news.prompts = prompts_to_tell_;
    news.crashes = crashes_to_tell_;
    return news;
}

void gateway::send_news(time_point now, bool urgent)
{
    auto const configuration = configuration_follower_->position();
    urgent = urgent || configuration != told_configuration_ ||
             is_ready() != told_ready_;
    auto const busy = !requests_.empty() || !prompts_to_tell_.empty() ||
                      !crashes_to_tell_.empty();
    if (!urgent && now - news_sent_ < (busy ? busy_news : calm_news)) {
        return;
    }
    told_configuration_ = configuration;
    told_ready_ = is_ready();
    news_sent_ = now;
    ++news_sequence_;
    if (prompts_to_tell_.size() > most_prompts_told) {
        prompts_to_tell_.resize(most_prompts_told);
    }
    // Crashes are told to all: a request may come back to any daemon.
    link_.send(crashes_to_tell_.empty() ? cell_addresses_
                                        : members_.addresses(),
               encode(make_news()));
    prompts_to_tell_.clear();
    crashes_to_tell_.clear();
}

void gateway::on_news(std::string const& from, std::string_view bytes)
{
    if (!members_.knows(from)) {
        return; // Not in the list of members: not to be trusted.
    }
    auto const now = decision_clock::now();
    auto const news = decode_news(bytes);
    if (failed(news)) {
        decision_line{log_, line_kind::failure, "bad_news"}
            .with("from", from)
            .with("reason", error_of(news).message);
        return;
    }
    auto const& told = value_of(news);
    if (!members_.merge(from, told, now)) {
        return;
    }
    dispatcher_.merge_loads(from, told.loads, now);
    for (auto const& note : told.prompts) {
        dispatch::prompt sent;
        sent.parts = note.parts;
        dispatcher_.merge_prompt(note.backend_server, sent, now);
    }
    for (auto const& note : told.crashes) {
        dispatcher_.crashes().merge(note, now);
    }
    for (auto const& note : told.leaving) {
        if (dispatcher_.merge_leaving(note)) {
            log_leaving(note.backend_server, told.daemon);
        }
    }
}

/// Divides the fleet anew when a daemon came or went.
void gateway::update_cell()
{
    if (cell_of_change_ == members_.change()) {
        return;
    }
    cell_of_change_ = members_.change();
    auto const own = text_of(settings_.peer_address);
    auto names = members_.addresses();
    names.push_back(own);
    auto const before = std::exchange(cell_, dispatch::cell_of(names, own));
    cell_addresses_ = dispatch::part_of(names, cell_);
    std::erase(cell_addresses_, own);
    dispatcher_.set_cell(cell_);
    if (before != cell_) {
        decision_line{log_, line_kind::belief, "cell"}
            .with("daemons", names.size())
            .with("cells", cell_.count)
            .with("own", cell_.own)
            .with("others", cell_addresses_.size());
    }
}

/// Takes daemons off the list that went without saying so. One that is only
/// cut off puts itself on it again.
void gateway::drop_lost_members(time_point now)
{
    if (now < next_lost_check_ || !first_reader_ ||
        !members_follower_->store_reachable()) {
        return;
    }
    constexpr std::chrono::minutes interval{1};
    next_lost_check_ = now + interval;
    for (auto const& address : members_.lost(cell_addresses_, now)) {
        decision_line{log_, line_kind::belief, "member"}
            .with("address", address)
            .with("present", "no")
            .with("reason", "silent");
        members_.remove(address);
        translations_.store.write(ledger::members, {address, std::nullopt, 0},
                                  [](bool) {});
    }
}

/// Backend servers write their entries again and again. In a fleet of several
/// cells only what changes of them is told on.
bool gateway::tells_all_changes() const
{
    return cell_.count == 1;
}

/// A few daemons read the store all the time, in an order that mixes the data
/// centres. If those cannot reach it, some more try, but never all.
void gateway::choose_readers(time_point now)
{
    auto const own = hash64(settings_.name);
    std::size_t before = 0;
    std::size_t reading = 0;
    for (auto const* const peer : members_.live(now)) {
        if (!peer->news.ready || hash64(peer->news.daemon) >= own) {
            continue;
        }
        ++before;
        reading += peer->news.store_reachable ? 1 : 0;
    }
    first_reader_ = before == 0;
    auto const enough = cell_.count == 1 ? most_readers : most_readers_of_cell;
    auto const settled = now - started_ >= settle_time;
    auto const eager = settled && reading < enough && before < most_candidates;
    for (auto const& follower :
         {configuration_follower_, servers_follower_, members_follower_}) {
        follower->set_eager(eager);
    }
}

void gateway::fetch_from_peers(time_point now)
{
    std::vector<std::string> ahead_in_configuration;
    std::vector<std::string> ahead_in_servers;
    std::vector<std::string> ahead_in_members;
    auto const version = table_ ? table_->version() : 0;
    for (auto const* const peer : members_.live(now)) {
        auto const& news = peer->news;
        if (now - peer->heard > heard_lately) {
            continue;
        }
        if (news.members > members_follower_->position()) {
            ahead_in_members.push_back(peer->address);
        }
        if (news.configuration > configuration_follower_->position() ||
            news.configuration_version > version) {
            ahead_in_configuration.push_back(peer->address);
        }
        if (news.servers <= servers_follower_->position()) {
            continue;
        }
        if (news.servers_changed <= servers_follower_->position()) {
            servers_follower_->skip_to(news.servers);
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
    auto& turns = turns_of(which);
    auto const turn = turns.next(ahead.size(), now);
    if (!turn) {
        return;
    }
    auto const& address = ahead[*turn];
    auto const endpoint = parse_endpoint(address);
    if (!endpoint) {
        turns.note_end();
        return;
    }
    auto const after = follower_of(which).position();
    http::request_head head{"GET",
                            std::string{"/v1/records/"} + name_of(which) +
                                "?era=" + std::to_string(after.era) +
                                "&after=" + std::to_string(after.offset),
                            {}};
    constexpr milliseconds fetch_timeout{1500};
    side_call(*endpoint, std::move(head), fetch_timeout,
              [this, which, address, &turns](http::response const& answer) {
                  turns.note_end();
                  if (answer.head.status == ok) {
                      on_peer_records(which, address, answer.body);
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
    follower_of(which).absorb(value_of(page));
    if (which == ledger::configuration) {
        // A store that was restored may lack the newest one for a while.
        for (auto const& item : value_of(page).records) {
            if (item.value != follower_of(which).value_of(item.key)) {
                on_configuration(item);
            }
        }
    }
}

} // namespace medlarstall::gateway
