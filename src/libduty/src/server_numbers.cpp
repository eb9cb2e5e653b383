#include <medlarstall/duty/server_numbers.hpp>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace medlarstall::duty {

namespace {

std::uint32_t rounded_up(double count)
{
    constexpr double most = 1e6; // Fits the type; limits are far lower.
    return static_cast<std::uint32_t>(std::ceil(std::clamp(count, 0.0, most)));
}

/// Builds one distribution within the limits.
class distribution
{
public:
    distribution(routes::autoscaling const& scaling,
                 server_numbers const& available)
        : scaling_{scaling}, available_{available}
    {
        for (auto const& [data_centre, price] : scaling.prices) {
            by_price_.emplace_back(price, data_centre);
            numbers_[data_centre];
        }
        std::ranges::sort(by_price_);
    }

    /// Adds the regular servers, most of them where they are cheap. No data
    /// centre gets more than half of them if others have room.
    void add_regular(std::uint32_t count)
    {
        if (scaling_.min_servers > 0) {
            for (auto const& [price, data_centre] : by_price_) {
                count -= add_regular(data_centre, std::min(count, 1U));
            }
        }
        auto const share = by_price_.size() > 1 ? (count + 1) / 2 : count;
        for (auto const& [price, data_centre] : by_price_) {
            count -= add_regular(data_centre, std::min(count, share));
        }
        for (auto const& [price, data_centre] : by_price_) {
            count -= add_regular(data_centre, count);
        }
    }

    /// Adds a reclaimable server where there are the fewest, at the lowest
    /// price among these.
    /// \return false if there is no room for one
    bool add_reclaimable()
    {
        kind_numbers* fewest = nullptr;
        for (auto const& [price, data_centre] : by_price_) {
            auto& here = numbers_[data_centre];
            auto const has_room =
                here.reclaimable < limit_of(data_centre).reclaimable &&
                here.sum() < scaling_.max_servers;
            if (has_room &&
                (fewest == nullptr || here.reclaimable < fewest->reclaimable)) {
                fewest = &here;
            }
        }
        if (fewest != nullptr) {
            ++fewest->reclaimable;
        }
        return fewest != nullptr;
    }

    /// Adds servers up to the lower limit of each data centre.
    void add_lowest()
    {
        for (auto const& [price, data_centre] : by_price_) {
            auto& here = numbers_[data_centre];
            auto const limit = limit_of(data_centre);
            while (here.sum() < scaling_.min_servers &&
                   here.reclaimable < limit.reclaimable) {
                ++here.reclaimable;
            }
            while (here.sum() < scaling_.min_servers) {
                ++here.regular;
            }
        }
    }

    [[nodiscard]] server_numbers const& numbers() const { return numbers_; }

private:
    kind_numbers limit_of(std::string const& data_centre) const
    {
        auto const found = available_.find(data_centre);
        return found == available_.end() ? kind_numbers{} : found->second;
    }

    std::uint32_t add_regular(std::string const& data_centre,
                              std::uint32_t count)
    {
        auto& here = numbers_[data_centre];
        auto const limit =
            std::min(limit_of(data_centre).regular, scaling_.max_servers);
        auto const added =
            std::min(count, limit - std::min(limit, here.regular));
        here.regular += added;
        return added;
    }

    routes::autoscaling const& scaling_;
    server_numbers const& available_;
    std::vector<std::pair<double, std::string>> by_price_;
    server_numbers numbers_;
};

double shortage_of(server_numbers const& numbers, server_need const& need)
{
    return std::max({0.0, need.total - total_of(numbers),
                     need.after_loss - left_after_reclaim(numbers)});
}

server_numbers place_with(std::uint32_t regular, server_need const& need,
                          routes::autoscaling const& scaling,
                          server_numbers const& available)
{
    distribution result{scaling, available};
    result.add_regular(regular);
    result.add_lowest();
    while (shortage_of(result.numbers(), need) > 0 &&
           result.add_reclaimable()) {
    }
    return result.numbers();
}

} // namespace

std::uint32_t total_of(server_numbers const& numbers)
{
    std::uint32_t total = 0;
    for (auto const& [data_centre, here] : numbers) {
        total += here.sum();
    }
    return total;
}

std::uint32_t regular_of(server_numbers const& numbers)
{
    std::uint32_t total = 0;
    for (auto const& [data_centre, here] : numbers) {
        total += here.regular;
    }
    return total;
}

std::uint32_t left_after_reclaim(server_numbers const& numbers)
{
    std::uint32_t most = 0;
    for (auto const& [data_centre, here] : numbers) {
        most = std::max(most, here.reclaimable);
    }
    return total_of(numbers) - most;
}

double price_of(server_numbers const& numbers,
                routes::autoscaling const& scaling)
{
    double price = 0;
    for (auto const& [data_centre, here] : numbers) {
        auto const found = scaling.prices.find(data_centre);
        auto const each = found == scaling.prices.end() ? 0 : found->second;
        price +=
            each * (here.regular +
                    here.reclaimable * scaling.reclaimable_price.value_or(1));
    }
    return price;
}

server_numbers place_servers(server_need const& need,
                             routes::autoscaling const& scaling,
                             server_numbers const& available)
{
    auto const fewest = rounded_up(need.regular);
    auto const most =
        std::max(fewest, rounded_up(std::max(need.total, need.after_loss)));
    auto best = place_with(fewest, need, scaling, available);
    auto shortage = shortage_of(best, need);
    auto regular = fewest;
    while (shortage > 0 && regular < most) {
        // One more regular server reduces the shortage by one at most.
        regular = std::min(most, regular + rounded_up(shortage));
        auto numbers = place_with(regular, need, scaling, available);
        auto const left = shortage_of(numbers, need);
        if (left >= shortage) {
            break;
        }
        shortage = left;
        best = std::move(numbers);
    }
    return best;
}

} // namespace medlarstall::duty
