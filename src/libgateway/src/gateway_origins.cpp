// Records in the store of which release began which stream, so that streams can
// be continued by other daemons, also after all daemons have been killed.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <algorithm>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// The list of backend servers is examined for releases this often.
constexpr milliseconds observation_interval{300};
/// Shortest time between two writes of this daemon.
constexpr milliseconds min_write_interval{250};
/// Shortest time between two writes if a stream has broken off.
constexpr milliseconds urgent_write_interval{60};
/// With many daemons each writes more rarely: once in this time for each.
constexpr milliseconds write_interval_per_daemon{4};
constexpr milliseconds min_read_interval{150};

} // namespace

/// \return true if no other daemon can know of a release that this one does
///     not: it reads the list, or hears from all others and none knows more
bool gateway::list_is_current() const
{
    if (list_reachable_) {
        return true;
    }
    auto const live = members_.live_members(monotonic_clock::now());
    auto const known = servers_follower_->position();
    return live.size() == members_.addresses().size() &&
           std::ranges::none_of(live, [known](auto const* peer) {
               return peer->update.servers > known;
           });
}

void gateway::update_origins(time_point now)
{
    observe_releases(now);
    origins_.expire(now);
    if (!origins_exchange_.history_read) {
        read_origins(now);
    } else {
        write_origins(now);
    }
}

void gateway::observe_releases(time_point now)
{
    if (now - origins_exchange_.releases_observed_at < observation_interval) {
        return;
    }
    origins_exchange_.releases_observed_at = now;
    for (auto const& [id, server] : dispatcher_.listed().all()) {
        origins_.on_listed(
            {server.entry.service, server.entry.software_version}, now);
    }
}

/// Reads the records of all daemons, unless that was done just now.
void gateway::read_origins(time_point now)
{
    auto& exchange = origins_exchange_;
    if (exchange.reading || now - exchange.read_at < min_read_interval) {
        return;
    }
    exchange.reading = true;
    exchange.read_at = now;
    auto const is_history = !exchange.history_read;
    adapter_.store.read_snapshot(
        record_topic::stream_origins,
        [this, is_history](read_result const& outcome) {
            on_origins_read(is_history, outcome);
        });
}

void gateway::on_origins_read(bool is_history, read_result const& outcome)
{
    auto& exchange = origins_exchange_;
    exchange.reading = false;
    auto const* const page = std::get_if<record_page>(&outcome);
    if (page == nullptr) {
        return;
    }
    auto const now = monotonic_clock::now();
    auto const own = format_endpoint(settings_.peer_address);
    std::vector<dispatch::stream_origin_record> records;
    for (auto const& item : page->records) {
        auto record = decode_stream_origins(item.value.value_or(""));
        if (failed(record)) {
            log_entry{log_, log_category::failure, "bad_stream_origins"}
                .with("from", item.key)
                .with("reason", error_of(record).message);
            continue;
        }
        if (is_history && item.key == own) {
            origins_.merge_earlier_run(value_of(record), now);
        }
        records.push_back(std::move(value_of(record)));
    }
    if (is_history) {
        exchange.history_read = true;
        origins_.merge_history(records, now);
    } else {
        origins_.merge_streams(records, now);
    }
    log_entry{log_, log_category::state_change, "stream_origins"}
        .with("records", records.size())
        .with("history", is_history ? "yes" : "no")
        .with("known", origins_.stream_count());
}

/// \return shortest time between two writes, so that all daemons together keep
///     to a rate that the store bears
duration gateway::origins_write_interval() const
{
    if (origins_exchange_.urgent) {
        return urgent_write_interval;
    }
    auto const daemons = members_.addresses().size() + 1;
    return std::max<duration>(min_write_interval,
                              daemons * write_interval_per_daemon);
}

void gateway::write_origins(time_point now)
{
    auto& exchange = origins_exchange_;
    auto const revision = origins_.revision();
    auto const is_due =
        exchange.rewrite || revision != exchange.written_revision;
    if (!is_due) {
        exchange.urgent = false;
        return;
    }
    if (exchange.writing ||
        now - exchange.written_at < origins_write_interval()) {
        return;
    }
    exchange.urgent = false;
    exchange.rewrite = false;
    exchange.writing = true;
    exchange.written_at = now;
    record item;
    item.key = format_endpoint(settings_.peer_address);
    item.value = encode(origins_.own_record(now));
    adapter_.store.write(record_topic::stream_origins, std::move(item),
                         [this, revision](bool accepted) {
                             origins_exchange_.writing = false;
                             if (accepted) {
                                 origins_exchange_.written_revision = revision;
                             }
                         });
}

/// Removes the record of a daemon that is gone for good.
void gateway::remove_origins(std::string const& address) const
{
    adapter_.store.write(record_topic::stream_origins,
                         {address, std::nullopt, 0}, [](bool) {});
}

} // namespace medlarstall::gateway
