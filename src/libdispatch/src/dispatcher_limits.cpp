// The part of the dispatcher that deals with the rate limits of backend
// servers.

#include <medlarstall/dispatch/dispatcher.hpp>

namespace medlarstall::dispatch {

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

server_rate_limit const* dispatcher::rate_limit_of(std::string_view id) const
{
    auto const* const record = find_record(id);
    return record == nullptr ? nullptr : &record->rate_limit;
}

} // namespace medlarstall::dispatch
