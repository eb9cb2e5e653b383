#include <medlarstall/membership/ownership.hpp>

#include "rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <queue>
#include <utility>

namespace medlarstall::membership {

namespace {

/// Score of a backend server and a daemon for each other, and the index of the
/// other one. A greater score is preferred.
using preference = std::pair<double, std::size_t>;

/// Number of daemons that a backend server ranks at first. Nearly all backend
/// servers find an owner among them, so a full ranking is rarely needed.
constexpr std::size_t initial_candidates = 12;

/// A backend server and the daemons that it prefers as its owner.
struct ranked_server
{
    backend_server_info const* info = nullptr;
    std::uint64_t hash = 0;
    std::vector<preference> ranked; ///< Most preferred daemon first.
    std::size_t next = 0;           ///< Index of the next one to try.
};

/// The backend servers that a daemon has accepted, the least preferred on top.
using accepted_servers =
    std::priority_queue<preference, std::vector<preference>, std::greater<>>;

/// Stable matching of backend servers to daemons with limited capacity, by
/// deferred acceptance.
class assignment
{
public:
    assignment(std::vector<daemon_info> const& daemons,
               std::vector<backend_server_info> const& servers,
               ownership_settings settings)
        : settings_{settings}, daemons_{eligible_daemons(daemons)},
          accepted_(daemons_.size())
    {
        for (auto const* daemon : daemons_) {
            daemon_hashes_.push_back(hash64(daemon->id));
        }
        servers_.reserve(servers.size());
        for (auto const& server : servers) {
            servers_.push_back({&server, hash64(server.id), {}, 0});
        }
        std::ranges::sort(servers_, {}, [](ranked_server const& server) {
            return std::pair{server.hash, server.info->id};
        });
        max_servers_ = std::max<std::size_t>(
            1, static_cast<std::size_t>(
                   std::ceil(settings_.max_load_factor *
                             static_cast<double>(servers.size()) /
                             static_cast<double>(daemons_.size()))));
    }

    owner_map run()
    {
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            auto unassigned = i;
            while (unassigned != none) {
                unassigned = assign_next(unassigned);
            }
        }
        owner_map owners;
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            for (; !accepted_[i].empty(); accepted_[i].pop()) {
                auto const& server = *servers_[accepted_[i].top().second].info;
                owners[server.id] = daemons_[i]->id;
            }
        }
        return owners;
    }

private:
    static constexpr std::size_t none = ~std::size_t{0};

    static std::vector<daemon_info const*>
    eligible_daemons(std::vector<daemon_info> const& daemons)
    {
        std::vector<daemon_info const*> not_leaving;
        std::vector<daemon_info const*> all;
        for (auto const& daemon : daemons) {
            all.push_back(&daemon);
            if (!daemon.leaving) {
                not_leaving.push_back(&daemon);
            }
        }
        auto chosen =
            not_leaving.empty() ? std::move(all) : std::move(not_leaving);
        std::ranges::sort(chosen, {},
                          [](auto const* daemon) { return daemon->id; });
        return chosen;
    }

    [[nodiscard]] preference rank(ranked_server const& server,
                                  std::size_t daemon) const
    {
        bool const same_data_centre =
            daemons_[daemon]->data_centre == server.info->data_centre;
        double const weight =
            same_data_centre ? settings_.same_data_centre_weight : 1.0;
        return {rendezvous_score(server.hash, daemon_hashes_[daemon], weight),
                daemon};
    }

    void rank_daemons(ranked_server& server, std::size_t max_count) const
    {
        std::vector<preference> all;
        all.reserve(daemons_.size());
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            all.push_back(rank(server, i));
        }
        max_count = std::min(max_count, all.size());
        std::ranges::partial_sort(
            all, all.begin() + static_cast<std::ptrdiff_t>(max_count),
            std::greater<>{});
        all.resize(max_count);
        server.ranked = std::move(all);
    }

    /// Offers a backend server to the next daemon of its ranking.
    /// \return index of the backend server that the daemon rejected as a
    ///     result, or none
    std::size_t assign_next(std::size_t index)
    {
        auto& server = servers_[index];
        if (server.ranked.empty()) {
            rank_daemons(server, initial_candidates);
        } else if (server.next == server.ranked.size()) {
            rank_daemons(server, daemons_.size());
        }
        auto const [score, daemon] = server.ranked[server.next++];
        auto& accepted = accepted_[daemon];
        accepted.emplace(score, index);
        if (accepted.size() <= max_servers_) {
            return none;
        }
        auto const rejected = accepted.top().second;
        accepted.pop();
        return rejected;
    }

    ownership_settings settings_;
    std::vector<daemon_info const*> daemons_;
    std::vector<std::uint64_t> daemon_hashes_;
    std::vector<ranked_server> servers_;
    std::vector<accepted_servers> accepted_;
    std::size_t max_servers_ = 1;
};

} // namespace

owner_map assign_owners(std::vector<daemon_info> const& daemons,
                        std::vector<backend_server_info> const& servers,
                        ownership_settings settings)
{
    if (daemons.empty()) {
        return {};
    }
    return assignment{daemons, servers, settings}.run();
}

} // namespace medlarstall::membership
