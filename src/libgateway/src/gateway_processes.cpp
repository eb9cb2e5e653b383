// Which process of a backend server answers: from its entries, and from what it
// states of itself when it is asked.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int http_ok = 200;
constexpr milliseconds query_timeout{600};
/// Backend servers write their entries at shorter intervals.
constexpr milliseconds max_entry_interval{2000};
/// Streams are announced repeatedly for this long, since datagrams may be lost.
constexpr milliseconds announcement_time{700};
/// Most streams in one update; further ones are left out.
constexpr std::size_t max_announced_streams = 200;

} // namespace

/// Finds out which process of a backend server answers now, unless that was
/// asked just now. One that does not state it may still write an entry. All
/// requests that wait look again when something is known.
void gateway::identify_process(std::string const& id)
{
    auto const now = monotonic_clock::now();
    auto const* const entry = dispatcher_.find_entry(id);
    auto const address =
        entry != nullptr ? parse_endpoint(entry->address) : std::nullopt;
    if (address && process_queries_.try_begin(id, now)) {
        ask_process(id, *address, now);
    } else if (process_queries_.is_unstated(id)) {
        read_list(now);
    }
}

void gateway::ask_process(std::string const& id,
                          asio::ip::tcp::endpoint const& address,
                          time_point now)
{
    if (!dispatcher_.try_take_permit(id, now)) {
        process_queries_.on_ended(id, query_outcome::unanswered, now);
        return;
    }
    auto const connection = pool_.acquire(id, address, false, now);
    start_internal_call(
        connection, address, {"GET", adapter_.backend_state_path, {}},
        query_timeout,
        [this, id, now, connection](internal_outcome const& outcome) {
            pool_.release(id, connection);
            on_process_answer(id, now, outcome);
        });
}

void gateway::on_process_answer(std::string const& id, time_point asked_at,
                                internal_outcome const& answer)
{
    auto const now = monotonic_clock::now();
    auto outcome = query_outcome::unanswered;
    std::int64_t started = 0;
    if (answer.failure == http::call_failure::not_connected) {
        outcome = query_outcome::refused;
        processes_.on_connection_lost(id, now);
    } else if (answer.response.head.status == http_ok) {
        auto const stated = adapter_.parse_start_time(answer.response.body);
        outcome = query_outcome::unstated;
        if (!failed(stated)) {
            outcome = query_outcome::stated;
            started = value_of(stated);
            note_stated_start(id, started, asked_at, now);
        }
    } else if (answer.response.head.status != 0) {
        outcome = query_outcome::unstated;
    }
    process_queries_.on_ended(id, outcome, now);
    metrics_.count_state_change(std::string{"process_"} + name_of(outcome));
    auto const* const entry = dispatcher_.find_entry(id);
    log_entry{log_, log_category::state_change, "process"}
        .with("server", id)
        .with("outcome", name_of(outcome))
        .with("started", started)
        .with("entry_started", entry != nullptr ? entry->started_unix_ms : 0)
        .with("took", now - asked_at);
    resume_take_ups();
}

/// The entry may have been read long ago.
void gateway::note_stated_start(std::string const& id, std::int64_t started,
                                time_point asked_at, time_point now)
{
    processes_.on_stated(id, started, asked_at, now);
    auto const* const entry = dispatcher_.find_entry(id);
    if (entry != nullptr && entry->started_unix_ms == started) {
        processes_.on_entry(*entry, std::nullopt, now);
    }
}

/// \return false if it cannot become known any more which process was at the
///     other end of a connection that ended then
bool gateway::process_may_be_found(std::string const& id,
                                   stream_break const& at) const
{
    auto const& reads = origins_exchange_.list_reads;
    auto const list_read = reads.succeeded_after(at.list_read_before) ||
                           reads.failed_after(at.list_read_before) ||
                           store_is_away();
    return !process_queries_.ended_since(id, at.time) || !list_read;
}

/// A process that could not write to the store, as that was away, may have left
/// no trace in the list.
bool gateway::process_has_ended(std::string const& id,
                                stream_break const& at) const
{
    auto const steady_for = servers_age_.steady_for(monotonic_clock::now());
    return process_queries_.refused_since(id, at.time) &&
           list_is_current(at.list_read_before) &&
           steady_for >= max_entry_interval;
}

void gateway::announce_unidentified(std::uint64_t stream,
                                    std::string const& service)
{
    auto const now = monotonic_clock::now();
    origins_.on_unidentified(stream, service, now);
    metrics_.count_state_change("stream_unidentified");
    unidentified_.push_back({{stream, service}, now});
    send_peer_update(now, true);
}

/// \return running streams of which it is not known which process began them
std::vector<std::uint64_t> gateway::unidentified_streams() const
{
    std::vector<std::uint64_t> streams;
    for (auto const& request : requests_) {
        auto const stream = request->unidentified_stream();
        if (stream && streams.size() < max_announced_streams) {
            streams.push_back(*stream);
        }
    }
    return streams;
}

/// Drops streams that have been announced for long enough.
/// \return the others
std::vector<unidentified_stream> gateway::streams_to_announce(time_point now)
{
    while (!unidentified_.empty() &&
           (now - unidentified_.front().ended_at > announcement_time ||
            unidentified_.size() > max_announced_streams)) {
        unidentified_.pop_front();
    }
    std::vector<unidentified_stream> streams;
    streams.reserve(unidentified_.size());
    for (auto const& item : unidentified_) {
        streams.push_back(item.stream);
    }
    return streams;
}

} // namespace medlarstall::gateway
