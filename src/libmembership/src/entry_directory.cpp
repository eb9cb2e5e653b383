#include <medlarstall/membership/entry_directory.hpp>

#include "rendezvous.hpp"

#include <medlarstall/membership/tree_message.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::membership {

namespace {

constexpr unsigned near_weight = 160; ///< Of an idle daemon.
constexpr unsigned far_weight = 16;   ///< Of an idle daemon.

using ranked_candidate = std::pair<double, entry_candidate const*>;

bool stays(entry_candidate const& candidate)
{
    return !candidate.draining && !candidate.info.leaving;
}

unsigned free_part(entry_candidate const& candidate)
{
    return full_load + 1 - std::min(candidate.load, full_load);
}

directory_entry to_entry(entry_candidate const& candidate, unsigned idle)
{
    auto const& info = candidate.info;
    return {.id = info.id,
            .address = info.address,
            .port = info.port,
            .data_centre = info.data_centre,
            .weight =
                std::max(1U, idle * free_part(candidate) / (full_load + 1))};
}

/// Selects by weighted rendezvous hashing, so that loaded daemons are also
/// listed to fewer callers.
std::vector<entry_candidate const*>
select(std::vector<entry_candidate const*> const& pool, std::uint64_t selection,
       std::size_t most)
{
    std::vector<ranked_candidate> ranked;
    ranked.reserve(pool.size());
    for (auto const* candidate : pool) {
        ranked.emplace_back(rendezvous_score(selection,
                                             hash64(candidate->info.id),
                                             free_part(*candidate)),
                            candidate);
    }
    std::ranges::sort(ranked, [](auto const& left, auto const& right) {
        return left.first != right.first
                   ? left.first > right.first
                   : left.second->info.id < right.second->info.id;
    });
    std::vector<entry_candidate const*> chosen;
    for (std::size_t i = 0; i < std::min(most, ranked.size()); ++i) {
        chosen.push_back(ranked[i].second);
    }
    return chosen;
}

} // namespace

std::vector<directory_entry>
list_entries(std::vector<entry_candidate> const& candidates,
             std::string const& data_centre, std::uint64_t selection,
             directory_settings const& settings)
{
    bool const any = std::ranges::any_of(candidates, stays);
    std::vector<entry_candidate const*> near;
    std::vector<entry_candidate const*> far;
    for (auto const& candidate : candidates) {
        if (!any || stays(candidate)) {
            bool const is_near = candidate.info.data_centre == data_centre;
            (is_near ? near : far).push_back(&candidate);
        }
    }
    auto const for_far =
        std::min({settings.least_far, far.size(), settings.most});
    auto const chosen = select(near, selection, settings.most - for_far);
    std::vector<directory_entry> entries;
    entries.reserve(settings.most);
    for (auto const* candidate : chosen) {
        entries.push_back(to_entry(*candidate, near_weight));
    }
    for (auto const* candidate :
         select(far, selection, settings.most - chosen.size())) {
        entries.push_back(to_entry(*candidate, far_weight));
    }
    return entries;
}

} // namespace medlarstall::membership
