#include <medlarstall/placement/wanted_placement.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace medlarstall::placement {

namespace {

/// Ids of backend servers, best first.
std::vector<std::string> rank(std::vector<std::string> const& servers,
                              std::string const& purpose)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(servers.size());
    for (auto const& server : servers) {
        ranked.emplace_back(hash64(server, hash64(purpose)), server);
    }
    std::ranges::sort(ranked, std::greater<>{});
    std::vector<std::string> ids;
    ids.reserve(ranked.size());
    for (auto& [hash, server] : ranked) {
        ids.push_back(std::move(server));
    }
    return ids;
}

std::size_t count_of(catalogue::model const& model, std::size_t servers,
                     replica_map const& replicas)
{
    if (model.replicas == 0) {
        return servers;
    }
    auto const found = replicas.find(model.name);
    std::size_t const wanted = found == replicas.end()
                                   ? model.replicas
                                   : std::max(found->second, model.replicas);
    return std::min(wanted, servers);
}

void add_model(catalogue::model const& model, std::set<placement_item>& items)
{
    items.insert({order_kind::load_model, model.name, {}});
    if (!model.version.empty()) {
        items.insert({order_kind::load_version, model.name, model.version});
    }
    for (auto const& adapter : model.adapters) {
        items.insert({order_kind::load_adapter, model.name, adapter});
    }
}

void add_roles(catalogue::backend_server_group const& group,
               std::vector<std::string> const& servers, wanted_map& wanted)
{
    auto const ids = rank(servers, "roles of " + group.name);
    std::size_t next = 0;
    for (auto const& target : group.roles) {
        for (unsigned i = 0; i < target.backend_servers && next < ids.size();
             ++i) {
            wanted[ids[next++]].insert({order_kind::set_role, {}, target.role});
        }
    }
}

} // namespace

wanted_map
wanted_placement(catalogue::catalogue const& entries,
                 std::vector<membership::backend_server_info> const& servers,
                 replica_map const& replicas)
{
    std::map<std::string, std::vector<std::string>> groups;
    for (auto const& server : servers) {
        if (!server.leaving) {
            groups[server.group].push_back(server.id);
        }
    }
    wanted_map wanted;
    for (auto const& [name, entry] : entries.models) {
        auto const& members = groups[entry.value.group];
        auto const ids = rank(members, name);
        auto const count = count_of(entry.value, ids.size(), replicas);
        for (std::size_t i = 0; i < count; ++i) {
            add_model(entry.value, wanted[ids[i]]);
        }
    }
    for (auto const& [name, entry] : entries.groups) {
        if (entry.value.kind == catalogue::group_kind::engine) {
            add_roles(entry.value, groups[name], wanted);
        }
    }
    return wanted;
}

} // namespace medlarstall::placement
