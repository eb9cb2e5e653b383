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
/// With many daemons each reads more rarely: once in this time for each.
constexpr milliseconds read_interval_per_daemon{2};
/// Reads that fail one after the other if the store is away. A single one may
/// have been lost.
constexpr std::size_t min_failed_reads = 2;
/// A release that comes and goes is listed for at least about this long.
constexpr milliseconds min_listed_time{1500};

} // namespace

/// \param asked the read that had begun last when the question arose
/// \return true if no daemon can have begun a stream of a release before the
///     question that this daemon does not know, as it has read the list since
bool gateway::list_is_current(shared_read::number asked) const
{
    return origins_exchange_.history_read &&
           origins_.list_is_settled(monotonic_clock::now()) &&
           origins_exchange_.list_reads.succeeded_after(asked);
}

/// \return true if the store has answered none of the last reads of the list,
///     so that waiting for another one serves nobody
bool gateway::store_is_away() const
{
    auto const is_reported =
        servers_follower_->is_continuous() ||
        !servers_age_.store_answers(monotonic_clock::now());
    return is_reported && servers_follower_->failed_reads() >= min_failed_reads;
}

/// \return shortest time between two reads of this daemon, so that all daemons
///     together keep to a rate that the store bears
duration gateway::origins_read_interval() const
{
    auto const daemons = members_.addresses().size() + 1;
    return std::max<duration>(min_read_interval,
                              daemons * read_interval_per_daemon);
}

/// While several releases may have begun streams, only a record tells which one
/// began a stream. Otherwise the list tells whether there is only one.
void gateway::refresh_origins(std::string const& service)
{
    auto const now = monotonic_clock::now();
    if (!origins_exchange_.history_read || origins_.is_mixed(service, now)) {
        read_origins(now);
    } else {
        read_list(now);
    }
}

/// Notes the era of the store: what is read may lack what was written after the
/// copy that the store was restored from.
void gateway::note_era(std::uint64_t era, time_point now)
{
    origins_.on_era(era, servers_age_.store_answers(now), now);
    if (duty_service_) {
        duty_service_->on_era(era);
    }
}

/// Reads the list of backend servers for the requests that wait, unless a read
/// began just now.
void gateway::read_list(time_point now)
{
    auto const number =
        origins_exchange_.list_reads.try_begin(now, origins_read_interval());
    if (!number) {
        return;
    }
    servers_follower_->read_to_end([this, number = *number](bool complete) {
        auto& reads = origins_exchange_.list_reads;
        if (complete) {
            reads.on_success(number);
        } else {
            reads.on_failure(number);
        }
        metrics_.count_state_change(complete ? "list_read" : "list_unread");
        resume_take_ups();
    });
}

/// Lets the requests that wait look again for what began their streams.
void gateway::resume_take_ups()
{
    auto const requests = requests_;
    for (auto const& request : requests) {
        request->resume();
    }
}

/// Called before records are applied that tell what is listed, but not what has
/// been listed meanwhile.
void gateway::on_list_changes_left_out()
{
    auto const now = monotonic_clock::now();
    auto const followed_until = servers_age_.as_of();
    if (!followed_until || now - *followed_until > min_listed_time) {
        lose_release_history("list_unread", now);
    }
}

/// Releases may have served without this daemon having noticed. It then knows
/// as little of the past as after a start.
void gateway::lose_release_history(char const* reason, time_point now)
{
    origins_.on_history_lost(now);
    origins_exchange_.history_read = false;
    origins_exchange_.history_whole = false;
    origins_exchange_.history_lost_after =
        origins_exchange_.record_reads.last_begun();
    log_entry{log_, log_category::state_change, "release_history"}
        .with("known", "no")
        .with("reason", reason);
}

void gateway::update_origins(time_point now)
{
    if (servers_follower_->has_read()) {
        note_era(servers_follower_->position().era, now);
    }
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
    auto const number =
        exchange.record_reads.try_begin(now, origins_read_interval());
    if (!number) {
        return;
    }
    adapter_.store.read_snapshot(
        record_topic::stream_origins,
        [this, number = *number](read_result const& outcome) {
            on_origins_read(number, outcome);
        });
}

void gateway::on_origins_read(shared_read::number number,
                              read_result const& outcome)
{
    auto& exchange = origins_exchange_;
    if (auto const* const page = std::get_if<record_page>(&outcome)) {
        exchange.record_reads.on_success(number);
        merge_origins(*page, !exchange.history_whole &&
                                 number > exchange.history_lost_after);
    } else {
        exchange.record_reads.on_failure(number);
    }
    resume_take_ups();
}

void gateway::merge_origins(record_page const& page, bool is_history)
{
    auto const now = monotonic_clock::now();
    auto const own = format_endpoint(settings_.peer_address);
    std::vector<dispatch::stream_origin_record> records;
    for (auto const& item : page.records) {
        auto record = decode_stream_origins(item.value.value_or(""));
        if (failed(record)) {
            log_entry{log_, log_category::failure, "bad_stream_origins"}
                .with("from", item.key)
                .with("reason", error_of(record).message);
            continue;
        }
        if (!origins_exchange_.history_read && item.key == own) {
            origins_.merge_earlier_run(value_of(record), now);
        }
        records.push_back(std::move(value_of(record)));
    }
    if (is_history) {
        origins_exchange_.history_read = true;
        origins_exchange_.history_whole =
            origins_.merge_history(records, page.era, now);
    } else {
        origins_.merge_streams(records, now);
    }
    log_entry{log_, log_category::state_change, "stream_origins"}
        .with("records", records.size())
        .with("history", is_history ? "yes" : "no")
        .with("era", page.era)
        .with("whole", origins_exchange_.history_whole ? "yes" : "no")
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
