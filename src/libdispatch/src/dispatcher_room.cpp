// The part of the dispatcher that keeps to the room of backend servers that
// crash if they have to reject many requests.

#include <medlarstall/dispatch/dispatcher.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

/// The limit of one backend server holds for the others of its service that
/// have not answered since, for this long after it was last stated.
constexpr std::chrono::seconds service_limit_lifetime{10};
/// A service counts as crowded from this share of its slots on: what daemons
/// know of each other is some hundred milliseconds old.
constexpr double crowded_share = 0.5;
/// It stays crowded for this long after it was, or after a request found no
/// room: requests that are held back do not show in its load.
constexpr std::chrono::seconds crowded_time{3};
/// With fewer, one request would be a large part of them.
constexpr double min_own_slots = 4;

} // namespace

bool dispatcher::on_rejection_limit(std::string_view id,
                                    double rejections_per_second,
                                    time_point now)
{
    auto const* const entry = find_entry(id);
    auto const found = records_.find(id);
    if (entry == nullptr || found == records_.end()) {
        return false;
    }
    auto const [position, added] =
        rejection_limits_.try_emplace(entry->service);
    position->second.rejections_per_second = rejections_per_second;
    position->second.stated_at = now;
    return found->second.rejections.on_stated(rejections_per_second, now) ||
           added;
}

bool dispatcher::on_no_rejection_limit(std::string_view id, time_point sent_at,
                                       time_point now)
{
    auto const found = records_.find(id);
    return found != records_.end() &&
           found->second.rejections.on_not_stated(sent_at, now);
}

/// \return rejections per second that a backend server survives; empty if it
///     is not known to be in need
std::optional<double>
dispatcher::rejection_limit_of(backend_server_entry const& entry,
                               server_record const& record,
                               time_point now) const
{
    if (auto const own = record.rejections.rejections_per_second()) {
        return own;
    }
    auto const service = rejection_limits_.find(entry.service);
    if (service == rejection_limits_.end() ||
        now - service->second.stated_at > service_limit_lifetime ||
        record.rejections.observed_at() >= service->second.stated_at) {
        return std::nullopt;
    }
    return service->second.rejections_per_second;
}

std::size_t dispatcher::limited_room_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(server_list_.all(), [&](auto const& item) {
            auto const* const record = find_record(item.first);
            return record != nullptr &&
                   rejection_limit_of(item.second.entry, *record, now);
        }));
}

bool dispatcher::lacks_room(std::string_view service, double urgency_share,
                            time_point now) const
{
    return std::ranges::any_of(server_list_.all(), [&](auto const& item) {
        auto const& entry = item.second.entry;
        auto const* const record = find_record(item.first);
        return entry.service == service && record != nullptr &&
               !admits(decide_room(entry, *record, urgency_share, now));
    });
}

void dispatcher::update_room(backend_server_entry const& entry,
                             server_record& record, time_point now)
{
    if (auto const limit = rejection_limit_of(entry, record, now)) {
        update_sharers(entry.id, record);
        record.room.advance(*limit, std::max(entry.slots, 1U), record.sharers,
                            time_of_day(now), now);
    }
}

room_decision dispatcher::decide_room(backend_server_entry const& entry,
                                      server_record const& record,
                                      double urgency_share,
                                      time_point now) const
{
    if (!rejection_limit_of(entry, record, now)) {
        return room_decision::free;
    }
    auto excess = -record.room.other_slots();
    for (auto const& [daemon, peer] : record.peer_loads) {
        excess +=
            std::max(0.0, peer.load.in_flight - record.room.slots_of_each());
    }
    return record.room.decide({total_load(record, now).in_flight,
                               record.own_load.in_flight, excess,
                               is_crowded(entry.service, now)},
                              urgency_share, now);
}

/// Compares the requests at all servers of a service with their slots, and
/// those of this daemon with its part of them, which tells sooner.
void dispatcher::update_crowding(std::string const& service,
                                 known_servers const& servers, time_point now)
{
    if (!rejection_limits_.contains(service)) {
        return;
    }
    double in_flight = 0;
    double slots = 0;
    double own_in_flight = 0;
    double own_slots = 0;
    for (auto const& server : servers) {
        auto const& record = *server.record;
        in_flight += total_load(record, now).in_flight;
        slots += server.listing->entry.slots;
        own_in_flight += record.own_load.in_flight;
        own_slots += record.room.own_slots();
    }
    auto const few_are_free = in_flight >= crowded_share * slots;
    auto const own_are_used = own_slots >= min_own_slots &&
                              own_in_flight >= crowded_share * own_slots;
    if (few_are_free || own_are_used) {
        note_crowding(service, now);
    }
}

void dispatcher::note_crowding(std::string const& service, time_point now)
{
    auto const found = rejection_limits_.find(service);
    if (found != rejection_limits_.end()) {
        found->second.crowded_until = now + crowded_time;
    }
}

bool dispatcher::is_crowded(std::string const& service, time_point now) const
{
    auto const found = rejection_limits_.find(service);
    return found != rejection_limits_.end() &&
           now < found->second.crowded_until;
}

} // namespace medlarstall::dispatch
