#include <medlarstall/gateway/entry_capacity.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarstall::gateway {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

/// Processor time of a request with a streamed answer.
constexpr double core_s_per_request = 0.002;
/// A prompt of some 17 KB, and its answer, cross the link of the instance
/// twice.
constexpr double link_mbit_per_request = 0.3;
/// Weight of the newest lateness in its moving average.
constexpr double lateness_weight = 0.1;
/// Mean lateness at which a daemon takes half of the requests that it takes
/// when idle.
constexpr milliseconds half_capacity_lateness{20};
/// Every ready daemon keeps at least this share of its idle capacity, so that
/// it still receives callers and can be seen to recover.
constexpr double min_share = 0.1;
/// Fewest addresses of an answer, so that a caller has a choice after some of
/// them fail.
constexpr std::size_t min_offered = 12;
/// Capacities within this factor of each other count as the same.
constexpr double similar_factor = 2.5;

/// \return number in (0, 1] that looks random
double unit_hash(std::string const& address, std::uint64_t seed)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return (static_cast<double>(hash64(address, seed)) + 1.0) / range;
}

/// Replaces unknown capacities by the mean of the known ones.
/// \return the smallest and the largest capacity
std::pair<double, double> fill_unknown(std::vector<entry_candidate>& candidates)
{
    double sum = 0;
    std::size_t known = 0;
    for (auto const& item : candidates) {
        sum += item.capacity;
        known += item.capacity > 0 ? 1 : 0;
    }
    auto const mean = known > 0 ? sum / static_cast<double>(known) : 1.0;
    std::pair<double, double> range{mean, mean};
    for (auto& item : candidates) {
        item.capacity = item.capacity > 0 ? item.capacity : mean;
        range.first = std::min(range.first, item.capacity);
        range.second = std::max(range.second, item.capacity);
    }
    return range;
}

/// \return number of addresses to offer, at which the smallest daemon is
///     offered to about its share of the callers
std::size_t offered_count(std::vector<entry_candidate> const& candidates,
                          double largest)
{
    double share_sum = 0;
    for (auto const& item : candidates) {
        share_sum += item.capacity / largest;
    }
    return std::max(min_offered,
                    static_cast<std::size_t>(std::lround(share_sum)));
}

} // namespace

entry_capacity::entry_capacity(instance_resources resources) : idle_capacity_{0}
{
    if (resources.cores > 0 && resources.link_mbps > 0) {
        idle_capacity_ = std::min(resources.cores / core_s_per_request,
                                  resources.link_mbps / link_mbit_per_request);
    }
}

void entry_capacity::on_tick(duration lateness)
{
    auto const late = std::max(milliseconds{0}, milliseconds{lateness});
    mean_lateness_ += lateness_weight * (late - mean_lateness_);
}

double entry_capacity::requests_per_second() const
{
    auto const share = 1.0 / (1.0 + mean_lateness_ / half_capacity_lateness);
    return idle_capacity_ * std::max(min_share, share);
}

std::vector<std::string> select_entries(std::vector<entry_candidate> candidates,
                                        std::uint64_t caller_hash,
                                        std::size_t max_count)
{
    auto const [smallest, largest] = fill_unknown(candidates);
    auto const is_even = largest <= smallest * similar_factor;
    auto const count =
        std::min(max_count, is_even ? candidates.size()
                                    : offered_count(candidates, largest));
    if (count < candidates.size()) {
        // Weighted rendezvous hashing: the candidates with the smallest
        // exponentially distributed keys.
        std::vector<std::pair<double, std::string>> keyed;
        for (auto& item : candidates) {
            auto const key =
                -std::log(unit_hash(item.address, caller_hash)) / item.capacity;
            keyed.emplace_back(key, std::move(item.address));
        }
        std::ranges::partial_sort(keyed,
                                  keyed.begin() + static_cast<long>(count));
        keyed.resize(count);
        std::vector<std::string> selected;
        selected.reserve(keyed.size());
        for (auto& [key, address] : keyed) {
            selected.push_back(std::move(address));
        }
        return selected;
    }
    std::vector<std::string> all;
    all.reserve(candidates.size());
    for (auto& item : candidates) {
        all.push_back(std::move(item.address));
    }
    return all;
}

} // namespace medlarstall::gateway
