#include <medlarstall/membership/subset.hpp>

#include "rendezvous.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace medlarstall::membership {

namespace {

/// Scores and ids of candidates.
using ranking = std::vector<std::pair<double, std::string>>;

struct hashed_server
{
    backend_server_info const* info = nullptr;
    std::uint64_t hash = 0;
};

using group_servers = std::vector<hashed_server>;

/// Sorts a ranking by descending score and cuts it off after \p max_count
/// items.
void keep_best(ranking& all, std::size_t max_count)
{
    max_count = std::min(max_count, all.size());
    std::ranges::partial_sort(
        all, all.begin() + static_cast<std::ptrdiff_t>(max_count),
        std::greater<>{});
    all.resize(max_count);
}

double score(daemon_info const& entry, std::uint64_t entry_hash,
             hashed_server const& server, subset_settings const& settings)
{
    bool const same_data_centre = entry.data_centre == server.info->data_centre;
    return rendezvous_score(entry_hash, server.hash,
                            same_data_centre ? settings.same_data_centre_weight
                                             : 1.0);
}

void choose_for_entry(daemon_info const& entry, group_servers const& servers,
                      std::size_t entries, subset_settings const& settings,
                      std::set<std::string>& chosen)
{
    auto const hash = hash64(entry.id);
    ranking ranked;
    ranked.reserve(servers.size());
    for (auto const& server : servers) {
        ranked.emplace_back(score(entry, hash, server, settings),
                            server.info->id);
    }
    bool const full_group = entries <= settings.full_group_max_entries &&
                            servers.size() <= settings.full_group_max_servers;
    keep_best(ranked,
              full_group ? servers.size() : settings.min_servers_per_group);
    for (auto& [value, id] : ranked) {
        chosen.insert(std::move(id));
    }
}

void choose_for_server(hashed_server const& server,
                       std::vector<daemon_info> const& entries,
                       std::vector<std::uint64_t> const& hashes,
                       subset_settings const& settings,
                       std::map<std::string, std::set<std::string>>& chosen)
{
    ranking ranked;
    ranked.reserve(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i) {
        ranked.emplace_back(score(entries[i], hashes[i], server, settings),
                            entries[i].id);
    }
    keep_best(ranked, settings.min_entries_per_server);
    for (auto const& [value, id] : ranked) {
        chosen[id].insert(server.info->id);
    }
}

} // namespace

std::chrono::milliseconds summary_interval(std::size_t bytes,
                                           summary_settings const& settings)
{
    std::chrono::duration<double> const wanted{static_cast<double>(bytes) /
                                               settings.bytes_per_second};
    return std::clamp(
        std::chrono::duration_cast<std::chrono::milliseconds>(wanted),
        settings.min_interval, settings.max_interval);
}

subset_map choose_subsets(std::vector<daemon_info> const& entries,
                          std::vector<backend_server_info> const& servers,
                          subset_settings settings)
{
    std::map<std::string, group_servers> groups;
    for (auto const& server : servers) {
        groups[server.group].push_back({&server, hash64(server.id)});
    }
    std::vector<std::uint64_t> hashes;
    hashes.reserve(entries.size());
    for (auto const& entry : entries) {
        hashes.push_back(hash64(entry.id));
    }
    std::map<std::string, std::set<std::string>> chosen;
    for (auto const& entry : entries) {
        auto& ids = chosen[entry.id];
        for (auto const& [name, group] : groups) {
            choose_for_entry(entry, group, entries.size(), settings, ids);
        }
    }
    for (auto const& [name, group] : groups) {
        for (auto const& server : group) {
            choose_for_server(server, entries, hashes, settings, chosen);
        }
    }
    subset_map subsets;
    for (auto const& [id, ids] : chosen) {
        subsets[id].assign(ids.begin(), ids.end());
    }
    return subsets;
}

} // namespace medlarstall::membership
