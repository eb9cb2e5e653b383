#include <medlarstall/membership/ownership.hpp>

#include "rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <queue>
#include <utility>

namespace medlarstall::membership {

namespace {

/// How much a backend server and a daemon prefer each other, and the index of
/// the other one; greater means more.
using preference = std::pair<double, std::size_t>;

/// Candidates that a backend server ranks at first; nearly all find an owner
/// among them.
constexpr std::size_t first_candidates = 12;

struct proposer
{
    backend_server_info const* server = nullptr;
    std::uint64_t hash = 0;
    std::vector<preference> ranked; ///< Best first.
    std::size_t next = 0;
};

/// Least preferred on top.
using kept_servers =
    std::priority_queue<preference, std::vector<preference>, std::greater<>>;

class assignment
{
public:
    assignment(std::vector<daemon_info> const& daemons,
               std::vector<backend_server_info> const& servers,
               ownership_settings settings)
        : settings_{settings}, daemons_{eligible(daemons)},
          kept_(daemons_.size())
    {
        for (auto const* daemon : daemons_) {
            daemon_hashes_.push_back(hash64(daemon->id));
        }
        proposers_.reserve(servers.size());
        for (auto const& server : servers) {
            proposers_.push_back({&server, hash64(server.id), {}, 0});
        }
        std::ranges::sort(proposers_, {}, [](proposer const& one) {
            return std::pair{one.hash, one.server->id};
        });
        bound_ = std::max<std::size_t>(
            1, static_cast<std::size_t>(std::ceil(
                   settings_.slack * static_cast<double>(servers.size()) /
                   static_cast<double>(daemons_.size()))));
    }

    owner_map run()
    {
        for (std::size_t i = 0; i < proposers_.size(); ++i) {
            auto open = i;
            while (open != none) {
                open = propose(open);
            }
        }
        owner_map owners;
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            for (; !kept_[i].empty(); kept_[i].pop()) {
                auto const& server = *proposers_[kept_[i].top().second].server;
                owners[server.id] = daemons_[i]->id;
            }
        }
        return owners;
    }

private:
    static constexpr std::size_t none = ~std::size_t{0};

    static std::vector<daemon_info const*>
    eligible(std::vector<daemon_info> const& daemons)
    {
        std::vector<daemon_info const*> staying;
        std::vector<daemon_info const*> all;
        for (auto const& daemon : daemons) {
            all.push_back(&daemon);
            if (!daemon.leaving) {
                staying.push_back(&daemon);
            }
        }
        auto chosen = staying.empty() ? std::move(all) : std::move(staying);
        std::ranges::sort(chosen, {}, [](auto const* one) { return one->id; });
        return chosen;
    }

    [[nodiscard]] preference rank(proposer const& one, std::size_t daemon) const
    {
        bool const near =
            daemons_[daemon]->data_centre == one.server->data_centre;
        double const weight = near ? settings_.same_data_centre : 1.0;
        return {rendezvous_score(one.hash, daemon_hashes_[daemon], weight),
                daemon};
    }

    void rank_all(proposer& one, std::size_t most) const
    {
        std::vector<preference> all;
        all.reserve(daemons_.size());
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            all.push_back(rank(one, i));
        }
        most = std::min(most, all.size());
        std::ranges::partial_sort(
            all, all.begin() + static_cast<std::ptrdiff_t>(most),
            std::greater<>{});
        all.resize(most);
        one.ranked = std::move(all);
    }

    /// Lets a backend server ask the next daemon.
    /// \return index of the one that has to ask further, or none
    std::size_t propose(std::size_t index)
    {
        auto& one = proposers_[index];
        if (one.ranked.empty()) {
            rank_all(one, first_candidates);
        } else if (one.next == one.ranked.size()) {
            rank_all(one, daemons_.size());
        }
        auto const [score, daemon] = one.ranked[one.next++];
        auto& kept = kept_[daemon];
        kept.emplace(score, index);
        if (kept.size() <= bound_) {
            return none;
        }
        auto const rejected = kept.top().second;
        kept.pop();
        return rejected;
    }

    ownership_settings settings_;
    std::vector<daemon_info const*> daemons_;
    std::vector<std::uint64_t> daemon_hashes_;
    std::vector<proposer> proposers_;
    std::vector<kept_servers> kept_;
    std::size_t bound_ = 1;
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
