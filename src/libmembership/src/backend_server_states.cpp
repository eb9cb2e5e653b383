#include <medlarstall/membership/backend_server_states.hpp>

#include <set>
#include <utility>

namespace medlarstall::membership {

backend_server_states::backend_server_states(std::chrono::milliseconds list_lag)
    : list_lag_{list_lag}
{}

std::vector<leaving_notice>
backend_server_states::on_list(std::vector<backend_server_info> const& servers,
                               time_point now)
{
    std::vector<leaving_notice> notices;
    std::set<std::string> listed;
    for (auto const& info : servers) {
        listed.insert(info.id);
        if (auto notice = update_listed(info, now)) {
            notices.push_back(std::move(*notice));
        }
    }
    for (auto& [id, one] : entries_) {
        if (one.listed && !listed.contains(id)) {
            one.listed = false;
            ++generation_;
        }
    }
    std::erase_if(entries_, [&](auto const& item) {
        auto const& one = item.second;
        bool const forget =
            !one.listed &&
            (!one.leaving || now - one.leaving_since >= list_lag_);
        if (forget) {
            forgotten_.push_back(item.first);
        }
        return forget;
    });
    return notices;
}

std::optional<leaving_notice>
backend_server_states::update_listed(backend_server_info const& info,
                                     time_point now)
{
    auto const [place, fresh] = entries_.try_emplace(info.id);
    auto& one = place->second;
    bool const came_back = !fresh && one.info.id == info.id && !info.leaving &&
                           (!one.listed || one.list_leaving);
    if (!one.listed || !(one.info == info)) {
        ++generation_;
    }
    one.info = info;
    one.listed = true;
    one.list_leaving = info.leaving;
    if (info.leaving) {
        return set_leaving(info.id, one, true, now);
    }
    bool const outlasted = one.leaving && now - one.leaving_since >= list_lag_;
    return came_back || outlasted ? set_leaving(info.id, one, false, now)
                                  : std::nullopt;
}

std::optional<leaving_notice>
backend_server_states::set_leaving(std::string const& id, entry& one,
                                   bool leaving, time_point now)
{
    if (one.leaving == leaving) {
        return std::nullopt;
    }
    one.leaving = leaving;
    one.leaving_since = now;
    ++one.epoch;
    ++generation_;
    return leaving_notice{id, one.epoch, leaving};
}

std::vector<std::string> backend_server_states::take_forgotten()
{
    return std::exchange(forgotten_, {});
}

bool backend_server_states::on_notice(leaving_notice const& notice,
                                      time_point now)
{
    auto& one = entries_[notice.backend_server];
    if (notice.epoch <= one.epoch) {
        return false;
    }
    bool const changed = one.leaving != notice.leaving;
    one.epoch = notice.epoch;
    one.leaving = notice.leaving;
    one.leaving_since = now;
    generation_ += changed ? 1 : 0;
    return changed;
}

std::optional<leaving_notice>
backend_server_states::on_leaving(std::string const& backend_server,
                                  time_point now)
{
    return set_leaving(backend_server, entries_[backend_server], true, now);
}

backend_server_state
backend_server_states::state(std::string const& backend_server) const
{
    auto const found = entries_.find(backend_server);
    if (found == entries_.end() || !found->second.listed) {
        return backend_server_state::gone;
    }
    return found->second.leaving ? backend_server_state::leaving
                                 : backend_server_state::live;
}

std::vector<backend_server_info> backend_server_states::servers() const
{
    std::vector<backend_server_info> servers;
    for (auto const& [id, one] : entries_) {
        if (one.listed) {
            servers.push_back(one.info);
            servers.back().leaving = one.leaving;
        }
    }
    return servers;
}

} // namespace medlarstall::membership
