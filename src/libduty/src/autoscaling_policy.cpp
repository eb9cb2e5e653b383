#include <medlarstall/duty/autoscaling_policy.hpp>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace medlarstall::duty {

namespace {

/// Span over which it is seen whether the load rises.
constexpr std::chrono::seconds rise_span{2};

/// Which of the two kinds of server.
using kind_member = std::uint32_t kind_numbers::*;

/// \return numbers taken from one field of the state of each data centre
server_numbers numbers_of(scaling_input const& input,
                          std::uint32_t kind_state::* field)
{
    server_numbers numbers;
    for (auto const& [data_centre, state] : input.data_centres) {
        numbers[data_centre] = {state.regular.*field, state.reclaimable.*field};
    }
    return numbers;
}

std::uint32_t most_available(kind_state const& state, std::uint32_t limit)
{
    return state.unavailable ? std::min(state.expected, limit) : limit;
}

server_numbers available_in(scaling_input const& input,
                            routes::autoscaling const& scaling)
{
    server_numbers numbers;
    for (auto const& [data_centre, price] : scaling.prices) {
        auto const found = input.data_centres.find(data_centre);
        auto const state = found == input.data_centres.end()
                               ? data_centre_state{}
                               : found->second;
        // Servers that cost as much and may be reclaimed are of no use.
        auto const cheap = scaling.reclaimable_price.value_or(1) < 1;
        numbers[data_centre] = {
            most_available(state.regular, scaling.max_servers),
            cheap ? most_available(state.reclaimable, scaling.max_servers) : 0};
    }
    return numbers;
}

server_need scaled(server_need const& need, double factor)
{
    return {need.total * factor, need.after_loss * factor,
            need.regular * factor};
}

bool suffices(server_numbers const& numbers, server_need const& need)
{
    return total_of(numbers) >= need.total &&
           left_after_reclaim(numbers) >= need.after_loss;
}

/// Keeps the numbers within the limits. The platform may hold more or fewer
/// servers at the start; an order never does.
void limit_to(server_numbers& numbers, routes::autoscaling const& scaling)
{
    for (auto& [data_centre, here] : numbers) {
        here.regular = std::min(here.regular, scaling.max_servers);
        here.reclaimable =
            std::min(here.reclaimable, scaling.max_servers - here.regular);
    }
}

/// Takes servers of one kind away, one by one from where the most are too many
/// by cost, as long as what serves suffices.
/// \return number of servers taken away
std::uint32_t take_away(server_numbers& numbers, server_numbers serving,
                        server_numbers const& target, kind_member kind,
                        std::uint32_t count, server_need const& need,
                        routes::autoscaling const& scaling)
{
    std::uint32_t taken = 0;
    for (; taken < count; ++taken) {
        std::pair<double, std::string const*> best{0, nullptr};
        for (auto const& [data_centre, price] : scaling.prices) {
            auto const here = numbers[data_centre];
            auto const found = target.find(data_centre);
            auto const wanted =
                found == target.end() ? 0U : found->second.*kind;
            auto const surplus =
                static_cast<double>(here.*kind) - static_cast<double>(wanted);
            auto const weight = surplus * (price + 1);
            // A reclaim must leave the least number that the platform allows.
            auto const staying =
                kind == &kind_numbers::regular ? here.regular : here.sum();
            if (surplus > 0 && staying > scaling.min_servers &&
                weight > best.first) {
                best = {weight, &data_centre};
            }
        }
        if (best.second == nullptr) {
            break;
        }
        auto& left = serving[*best.second].*kind;
        // A server that does not serve yet can be taken away at no loss.
        auto const starting = numbers[*best.second].*kind > left;
        left -= starting ? 0U : 1U;
        if (!suffices(serving, need)) {
            break;
        }
        --(numbers[*best.second].*kind);
    }
    return taken;
}

} // namespace

char const* name_of(scaling_reason reason)
{
    switch (reason) {
    case scaling_reason::none:
        return "none";
    case scaling_reason::more_needed:
        return "more_needed";
    case scaling_reason::exchange_begun:
        return "exchange_begun";
    case scaling_reason::exchanged:
        return "exchanged";
    case scaling_reason::fewer_needed:
        return "fewer_needed";
    }
    return "unknown";
}

autoscaling_policy::autoscaling_policy(autoscaling_settings settings)
    : settings_{settings}, history_{settings.window}
{}

void autoscaling_policy::add_demand(double demand, bool is_known,
                                    time_point now)
{
    auto const assumed = is_known ? demand : std::max(demand, history_.mean());
    using seconds = std::chrono::duration<double>;
    auto const weight = smoothed_at_ == time_point::min()
                            ? 1.0
                            : 1.0 - std::exp(-(seconds{now - smoothed_at_} /
                                               seconds{settings_.smoothing}));
    smoothed_demand_ += weight * (assumed - smoothed_demand_);
    smoothed_at_ = now;
    history_.add(smoothed_demand_, now);
}

scaling_decision autoscaling_policy::decide(routes::autoscaling const& scaling,
                                            scaling_input const& input,
                                            time_point now)
{
    auto decision = assess(scaling, input);
    auto const reducible = may_reduce(input, now);
    auto const changed =
        raise(decision, scaling, input) ||
        (reducible && (exchange(decision, scaling, input, now) ||
                       reduce(decision, scaling, input, now)));
    if (changed) {
        changed_at_ = now;
    }
    limit_to(decision.wanted, scaling);
    return decision;
}

scaling_decision autoscaling_policy::assess(routes::autoscaling const& scaling,
                                            scaling_input const& input)
{
    scaling_decision decision;
    auto const expected = numbers_of(input, &kind_state::expected);
    decision.wanted = expected;
    decision.peak = history_.peak();
    decision.mean = history_.mean();
    decision.rise = history_.largest_rise(scaling.boot_time);
    decision.has_history = history_.is_complete();
    auto& need = decision.need;
    need.total = std::max(decision.mean / settings_.mean_fill,
                          decision.peak / settings_.peak_fill);
    need.after_loss = (decision.peak + decision.rise) / settings_.loss_fill;
    need.regular = decision.mean / settings_.regular_fill;
    need.total = std::max(need.total, settings_.min_total);
    need.after_loss = std::max(need.after_loss, 1.0);
    limit_price(need, decision.peak, scaling, input.first_price);
    if (!first_total_) {
        first_total_ = total_of(expected);
    }
    if (!decision.has_history) {
        need.total = std::max(need.total, static_cast<double>(*first_total_));
    }
    return decision;
}

/// Reduces the need to what the price limit allows, but not below what the peak
/// needs. What is unavailable at present does not count, because its dearer
/// replacement would reduce the number just when servers are lost.
void autoscaling_policy::limit_price(server_need& need, double peak,
                                     routes::autoscaling const& scaling,
                                     std::optional<double> first_price) const
{
    // Without load the need never costs less than the least number of servers,
    // which may be above the limit.
    auto const fewest =
        std::max(peak / settings_.limited_fill, settings_.min_total);
    if (!first_price || need.total <= fewest) {
        return;
    }
    auto const limit = *first_price * settings_.price_limit;
    auto const available = available_in({}, scaling);
    constexpr double step = 0.95;
    auto limited = need;
    while (limited.total > fewest &&
           price_of(place_servers(limited, scaling, available), scaling) >
               limit) {
        limited = scaled(limited, step);
    }
    need = limited.total > fewest ? limited : scaled(need, fewest / need.total);
}

bool autoscaling_policy::is_short(server_numbers const& numbers,
                                  server_need const& need,
                                  routes::autoscaling const& scaling) const
{
    auto const below_limit =
        std::ranges::any_of(scaling.prices, [&](auto const& item) {
            auto const found = numbers.find(item.first);
            return (found == numbers.end() ? 0U : found->second.sum()) <
                   scaling.min_servers;
        });
    return below_limit ||
           !suffices(numbers, scaled(need, 1.0 - settings_.margin));
}

/// Orders more servers if too few can be counted on, or if cheaper ones should
/// replace regular ones.
bool autoscaling_policy::raise(scaling_decision& decision,
                               routes::autoscaling const& scaling,
                               scaling_input const& input) const
{
    auto const& need = decision.need;
    auto& wanted = decision.wanted;
    auto const short_of = is_short(wanted, need, scaling);
    auto const target = place_servers(scaled(need, 1.0 + settings_.margin),
                                      scaling, available_in(input, scaling));
    auto const total = total_of(wanted);
    auto const replaceable = regular_of(wanted) > regular_of(target);
    std::uint32_t added = 0;
    auto raised = wanted;
    for (auto const& [data_centre, here] : target) {
        auto& numbers = raised[data_centre];
        auto const before = numbers.sum();
        auto const room = scaling.max_servers;
        if (short_of) {
            numbers.regular =
                std::max(numbers.regular,
                         std::min(here.regular,
                                  room - std::min(room, numbers.reclaimable)));
        }
        numbers.reclaimable = std::max(
            numbers.reclaimable,
            std::min(here.reclaimable, room - std::min(room, numbers.regular)));
        added += numbers.sum() - before;
    }
    auto const noticeable = added > total * settings_.margin;
    if (added == 0 || !(short_of || (replaceable && noticeable))) {
        return false;
    }
    wanted = std::move(raised);
    decision.reason =
        short_of ? scaling_reason::more_needed : scaling_reason::exchange_begun;
    return true;
}

bool autoscaling_policy::may_reduce(scaling_input const& input, time_point now)
{
    if (input.failing > input.staying * settings_.failing_share) {
        failing_until_ = now + settings_.failing_hold;
    }
    auto const any_unavailable =
        std::ranges::any_of(input.data_centres, [](auto const& item) {
            return item.second.regular.unavailable;
        });
    return input.is_current && now >= failing_until_ && !any_unavailable;
}

/// Lets regular servers go that are replaced, a few at a time, once enough
/// others serve. Without reclaimable servers, they go only as fast as the
/// number of all servers may fall.
bool autoscaling_policy::exchange(scaling_decision& decision,
                                  routes::autoscaling const& scaling,
                                  scaling_input const& input,
                                  time_point now) const
{
    auto const regular = regular_of(decision.wanted);
    auto const target =
        place_servers(decision.need, scaling, available_in(input, scaling));
    auto const excess = regular - std::min(regular, regular_of(target));
    auto const replaced = total_of(target) > regular_of(target);
    if (excess <= std::max(1.0, regular * settings_.excess) ||
        history_.is_new_peak(rise_span) ||
        (replaced ? is_held(settings_.exchange_hold, now) : !may_shrink(now))) {
        return false;
    }
    auto const share =
        replaced ? settings_.exchange_step : settings_.reduction_step;
    auto const step = std::max(1U, static_cast<std::uint32_t>(regular * share));
    auto const taken =
        take_away(decision.wanted, numbers_of(input, &kind_state::serving),
                  target, &kind_numbers::regular, step, decision.need, scaling);
    if (taken > 0) {
        decision.reason = scaling_reason::exchanged;
    }
    return taken > 0;
}

bool autoscaling_policy::is_held(std::chrono::milliseconds hold,
                                 time_point now) const
{
    return changed_at_ != time_point::min() && now - changed_at_ < hold;
}

/// \return whether the number of all servers may fall now
bool autoscaling_policy::may_shrink(time_point now) const
{
    return history_.is_complete() && !history_.is_rising(rise_span) &&
           !is_held(settings_.reduction_hold, now);
}

/// Lets reclaimable servers go if there are clearly too many.
bool autoscaling_policy::reduce(scaling_decision& decision,
                                routes::autoscaling const& scaling,
                                scaling_input const& input,
                                time_point now) const
{
    auto const total = total_of(decision.wanted);
    auto const too_many =
        suffices(decision.wanted, scaled(decision.need, 1 + settings_.excess));
    if (!too_many || !may_shrink(now)) {
        return false;
    }
    auto const target =
        place_servers(scaled(decision.need, 1.0 + settings_.margin), scaling,
                      available_in(input, scaling));
    auto const step = std::max(
        1U, static_cast<std::uint32_t>(total * settings_.reduction_step));
    auto const taken = take_away(
        decision.wanted, numbers_of(input, &kind_state::serving), target,
        &kind_numbers::reclaimable, step, decision.need, scaling);
    if (taken > 0) {
        decision.reason = scaling_reason::fewer_needed;
    }
    return taken > 0;
}

} // namespace medlarstall::duty
