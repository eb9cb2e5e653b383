// The part of the dispatcher that keeps to the rate limits of backend servers.

#include <medlarstall/dispatch/dispatcher.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::dispatch {

namespace {

std::chrono::milliseconds to_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

} // namespace

void dispatcher::set_fleet(fleet_daemons fleet)
{
    limit_division_.set_fleet(std::move(fleet));
}

void dispatcher::set_time_of_day(shared_time at, time_point now)
{
    time_of_day_ = at;
    time_of_day_set_at_ = now;
}

shared_time dispatcher::time_of_day(time_point now) const
{
    return time_of_day_ + std::chrono::duration_cast<shared_time::duration>(
                              now - time_of_day_set_at_);
}

rate_limit_change dispatcher::on_rate_limit(std::string_view id,
                                            double requests_per_second,
                                            time_point now)
{
    auto const found = records_.find(id);
    return found == records_.end()
               ? rate_limit_change::none
               : found->second.rate_limit.on_stated(requests_per_second, now);
}

rate_limit_change dispatcher::on_no_rate_limit(std::string_view id,
                                               time_point sent_at,
                                               time_point now)
{
    auto const found = records_.find(id);
    return found == records_.end()
               ? rate_limit_change::none
               : found->second.rate_limit.on_not_stated(sent_at, now);
}

rate_limit_change dispatcher::merge_rate_limit(rate_limit_notice const& notice,
                                               time_point now)
{
    auto const* const entry = find_entry(notice.backend_server);
    auto const found = records_.find(notice.backend_server);
    if (entry == nullptr || found == records_.end() ||
        entry->started_unix_ms != notice.started_unix_ms) {
        return rate_limit_change::none;
    }
    return found->second.rate_limit.merge(notice, now);
}

std::vector<rate_limit_notice>
dispatcher::rate_limits_changed_since(time_point since, time_point now) const
{
    std::vector<rate_limit_notice> notices;
    for (auto const& [id, record] : records_) {
        auto const& limit = record.rate_limit;
        auto const age = limit.age_if_changed(since, now);
        auto const* const entry = find_entry(id);
        if (age && entry != nullptr) {
            notices.push_back({id, entry->started_unix_ms,
                               limit.requests_per_second(),
                               to_milliseconds(*age)});
        }
    }
    return notices;
}

server_rate_limit const* dispatcher::rate_limit_of(std::string_view id) const
{
    auto const* const record = find_record(id);
    return record == nullptr ? nullptr : &record->rate_limit;
}

std::size_t dispatcher::limited_server_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(records_, [](auto const& item) {
            return item.second.rate_limit.requests_per_second().has_value();
        }));
}

void dispatcher::update_sharers(std::string_view id, server_record& record)
{
    auto const revision = limit_division_.revision();
    auto const* const entry = find_entry(id);
    if (record.sharers_revision != revision && entry != nullptr) {
        record.sharers_revision = revision;
        record.sharers = limit_division_.sharers_of(*entry, server_list_);
    }
}

void dispatcher::add_permits(std::string_view id, server_record& record,
                             time_point now)
{
    auto const limit = record.rate_limit.requests_per_second();
    if (limit) {
        update_sharers(id, record);
        record.permits.advance(*limit, record.sharers, time_of_day(now), now);
    }
}

bool dispatcher::has_permit(server_record const& record, double urgency_share,
                            time_point now)
{
    return !record.rate_limit.requests_per_second() ||
           record.permits.available(urgency_share, now);
}

/// \return true if neither the rate limit of a backend server nor its room
///     holds the request back
bool dispatcher::may_send(known_server const& server, double urgency_share,
                          time_point now) const
{
    return has_permit(*server.record, urgency_share, now) &&
           admits(decide_room(server.listing->entry, *server.record,
                              urgency_share, now));
}

/// \return true if a backend server could take the request if it had not had as
///     many as its rate limit or its room allows
bool dispatcher::has_withheld(known_servers const& servers,
                              placement_request const& request,
                              time_point now) const
{
    return std::ranges::any_of(servers, [&](known_server const& server) {
        return is_usable(server, request, health::suspect, now) &&
               !may_send(server, request.urgency_share, now);
    });
}

bool dispatcher::try_take_permit(std::string_view id, time_point now)
{
    auto const found = records_.find(id);
    if (found == records_.end()) {
        return true;
    }
    auto& record = found->second;
    add_permits(id, record, now);
    if (!has_permit(record, 0, now)) {
        return false;
    }
    record.permits.take(now);
    return true;
}

duration dispatcher::time_until_usable(server_record const& record,
                                       double urgency_share,
                                       time_point now) const
{
    auto const paused = record.pause.remaining(now);
    auto const limit = record.rate_limit.requests_per_second();
    if (!limit || has_permit(record, urgency_share, now)) {
        return paused;
    }
    // The caller may return to any daemon, thus the next permit of any counts.
    return std::max(
        paused, time_to_next_permit(*limit, urgency_share, time_of_day(now)));
}

duration dispatcher::time_until_usable(std::string_view service,
                                       double urgency_share,
                                       time_point now) const
{
    std::optional<duration> shortest;
    for (auto const& [id, listing] : server_list_.all()) {
        auto const* const record = find_record(id);
        if (listing.entry.service == service && !listing.entry.draining &&
            record != nullptr && !record->leaving &&
            record->health_tracker.state() != health::down) {
            auto const remaining =
                time_until_usable(*record, urgency_share, now);
            shortest = std::min(remaining, shortest.value_or(remaining));
        }
    }
    return shortest.value_or(duration::zero());
}

std::optional<limited_return>
dispatcher::book_return(placement_request const& request, time_point now)
{
    limited_return result;
    double share = 0;
    for (auto const& [id, listing] : server_list_.all()) {
        auto const* const record = find_record(id);
        if (listing.entry.service != request.service || record == nullptr ||
            listing.entry.draining || record->leaving) {
            continue;
        }
        auto const limit = record->rate_limit.requests_per_second();
        if (!limit || record->sharers.count() == 0) {
            continue;
        }
        ++result.limited_servers;
        result.requests_per_second += *limit;
        result.sharers = record->sharers.count();
        result.age = std::max(
            result.age, now - record->rate_limit.observed_at().value_or(now));
        share += *limit / static_cast<double>(record->sharers.count());
    }
    auto const earliest =
        time_until_usable(request.service, request.urgency_share, now);
    if (share <= 0 || earliest == duration::zero()) {
        return std::nullopt;
    }
    result.delay = return_schedules_[request.service].book(
        request.urgency_rank, earliest, share, now);
    return result;
}

} // namespace medlarstall::dispatch
