#include <medlarstall/membership/backend_server_states.hpp>

#include <set>
#include <utility>

namespace medlarstall::membership {

backend_server_states::backend_server_states(std::chrono::milliseconds list_lag)
    : list_lag_{list_lag}
{}

std::vector<leaving_notice> backend_server_states::on_server_list(
    std::vector<backend_server_info> const& servers, time_point now)
{
    std::vector<leaving_notice> notices;
    std::set<std::string> listed;
    for (auto const& info : servers) {
        listed.insert(info.id);
        if (auto notice = update_listed(info, now)) {
            notices.push_back(std::move(*notice));
        }
    }
    for (auto& [id, server] : entries_) {
        if (server.listed && !listed.contains(id)) {
            server.listed = false;
            ++generation_;
        }
    }
    std::erase_if(entries_, [&](auto const& item) {
        auto const& server = item.second;
        bool const remove =
            !server.listed &&
            (!server.leaving || now - server.leaving_changed_at >= list_lag_);
        if (remove) {
            removed_ids_.push_back(item.first);
        }
        return remove;
    });
    return notices;
}

std::optional<leaving_notice>
backend_server_states::update_listed(backend_server_info const& info,
                                     time_point now)
{
    auto const [position, inserted] = entries_.try_emplace(info.id);
    auto& server = position->second;
    bool const came_back = !inserted && server.info.id == info.id &&
                           !info.leaving &&
                           (!server.listed || server.list_leaving);
    if (!server.listed || !(server.info == info)) {
        ++generation_;
    }
    server.info = info;
    server.listed = true;
    server.list_leaving = info.leaving;
    if (info.leaving) {
        return set_leaving(info.id, server, true, now);
    }
    bool const list_caught_up =
        server.leaving && now - server.leaving_changed_at >= list_lag_;
    return came_back || list_caught_up
               ? set_leaving(info.id, server, false, now)
               : std::nullopt;
}

std::optional<leaving_notice>
backend_server_states::set_leaving(std::string const& id, entry& server,
                                   bool leaving, time_point now)
{
    if (server.leaving == leaving) {
        return std::nullopt;
    }
    server.leaving = leaving;
    server.leaving_changed_at = now;
    ++server.epoch;
    ++generation_;
    return leaving_notice{id, server.epoch, leaving};
}

std::vector<std::string> backend_server_states::take_removed_ids()
{
    return std::exchange(removed_ids_, {});
}

bool backend_server_states::on_notice(leaving_notice const& notice,
                                      time_point now)
{
    auto& server = entries_[notice.backend_server];
    if (notice.epoch <= server.epoch) {
        return false;
    }
    bool const changed = server.leaving != notice.leaving;
    server.epoch = notice.epoch;
    server.leaving = notice.leaving;
    server.leaving_changed_at = now;
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
        return backend_server_state::unlisted;
    }
    return found->second.leaving ? backend_server_state::leaving
                                 : backend_server_state::live;
}

std::vector<backend_server_info> backend_server_states::servers() const
{
    std::vector<backend_server_info> servers;
    for (auto const& [id, server] : entries_) {
        if (server.listed) {
            servers.push_back(server.info);
            servers.back().leaving = server.leaving;
        }
    }
    return servers;
}

} // namespace medlarstall::membership
