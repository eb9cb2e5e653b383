#include <medlarstall/dispatch/lifetime_history.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

/// Lifetime while no configuration is known.
constexpr std::chrono::seconds unconfigured_lifetime{30};
/// Other daemons may apply a configuration this much later, also while the
/// store is out of reach for a while.
constexpr std::chrono::seconds max_configuration_lag{10};
/// Longest lifetime that another daemon is believed.
constexpr std::chrono::hours max_told_lifetime{1};
/// Bounds the memory if the configuration changes again and again.
constexpr std::size_t max_past_lifetimes = 16;

} // namespace

void lifetime_history::set(duration lifetime, time_point now)
{
    if (present_ && *present_ > lifetime) {
        add({*present_, now + max_configuration_lag});
    }
    present_ = lifetime;
}

void lifetime_history::add_earlier(duration lifetime, time_point now)
{
    add({std::min<duration>(lifetime, max_told_lifetime),
         now + max_configuration_lag});
}

/// Earlier ones that are no longer than the added one bound nothing beyond it.
void lifetime_history::add(past_lifetime const& added)
{
    auto const is_covered =
        std::ranges::any_of(past_, [&](past_lifetime const& item) {
            return item.lifetime >= added.lifetime && item.until >= added.until;
        });
    if (is_covered) {
        return;
    }
    std::erase_if(past_, [&](past_lifetime const& item) {
        return item.lifetime <= added.lifetime && item.until <= added.until;
    });
    past_.push_back(added);
    std::ranges::sort(past_, std::ranges::greater{}, &past_lifetime::lifetime);
    if (past_.size() > max_past_lifetimes) {
        auto const shortest = past_.back();
        past_.pop_back();
        past_.back().until = std::max(past_.back().until, shortest.until);
    }
}

duration lifetime_history::present() const
{
    return present_.value_or(unconfigured_lifetime);
}

duration lifetime_history::since(time_point began) const
{
    auto longest = present();
    for (auto const& item : past_) {
        if (item.until >= began) {
            longest = std::max(longest, item.lifetime);
        }
    }
    return longest;
}

bool lifetime_history::expire(time_point now)
{
    auto const before = longest();
    std::erase_if(past_, [now](past_lifetime const& item) {
        return now - item.until > item.lifetime;
    });
    return longest() != before;
}

duration lifetime_history::longest() const
{
    return since(time_point::min());
}

} // namespace medlarstall::dispatch
