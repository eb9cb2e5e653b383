#include <medlarstall/duty/autoscaling_duty.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace medlarstall::duty {

namespace {

using std::chrono::milliseconds;

/// A new holder knows of no load, and of few servers, at first.
constexpr milliseconds observation_time{3000};
/// Older knowledge of the list is not taken for the present state.
constexpr milliseconds max_list_age{3000};
/// Longer than servers of a data centre stay reclaimed, some 10 s.
constexpr milliseconds reclaim_block{12000};

/// \return whether the platform takes back servers that were not ordered away
bool is_reclaim(server_counts const& counts,
                std::optional<std::uint32_t> ordered)
{
    return counts.reclaimed > 0 && counts.staying() < ordered.value_or(0);
}

/// \return demand for the servers of the data centres that have a price;
///     others are neither ordered nor counted
double demand_in_priced(service_sample const& service)
{
    double priced = 0;
    double all = 0;
    for (auto const& [data_centre, counts] : service.data_centres) {
        auto const servers =
            counts.regular.staying() + counts.reclaimable.staying();
        all += servers;
        priced += service.scaling.prices.contains(data_centre) ? servers : 0;
    }
    return all > 0 ? service.demand * priced / all : service.demand;
}

data_centre_sample counts_in(service_sample const& service,
                             std::string const& data_centre)
{
    auto const found = service.data_centres.find(data_centre);
    return found == service.data_centres.end() ? data_centre_sample{}
                                               : found->second;
}

/// \return what the listed servers cost for each second
double price_of_listed(service_sample const& service)
{
    server_numbers numbers;
    for (auto const& [data_centre, counts] : service.data_centres) {
        numbers[data_centre] = {counts.regular.staying(),
                                counts.reclaimable.staying()};
    }
    return price_of(numbers, service.scaling);
}

/// Missing servers stay ordered: the platform may bring them back, and it would
/// let others go for a lower number.
/// \return number to order
std::uint32_t with_missing(std::uint32_t wanted, kind_state const& known,
                           server_counts const& counts)
{
    auto const are_missing = wanted == known.expected &&
                             known.expected < known.ordered &&
                             !is_reclaim(counts, known.ordered);
    return are_missing ? known.ordered : wanted;
}

} // namespace

void autoscaling_duty::on_taken(stored_state const& stored, time_point now)
{
    on_lost();
    orders_.decode(stored.bytes, now);
    if (stored.lost_until) {
        orders_.doubt_all();
    }
    taken_at_ = now;
}

void autoscaling_duty::on_lost()
{
    taken_at_.reset();
    sample_ = {};
    policies_.clear();
    decisions_.clear();
    changes_.clear();
}

bool autoscaling_duty::is_current() const
{
    return sample_.list_is_known && sample_.list_age <= max_list_age;
}

void autoscaling_duty::observe(scaling_sample sample, time_point now)
{
    if (!taken_at_) {
        return;
    }
    sample_ = std::move(sample);
    forget_others();
    for (auto const& service : sample_.services) {
        policies_.try_emplace(service.service, settings_)
            .first->second.add_demand(demand_in_priced(service),
                                      sample_.load_is_known, now);
    }
    if (now - *taken_at_ >= observation_time) {
        for (auto const& service : sample_.services) {
            decide(service, now);
        }
    }
}

bool autoscaling_duty::has_orders(service_sample const& service) const
{
    return std::ranges::any_of(service.scaling.prices, [&](auto const& item) {
        return orders_.ordered({service.service, item.first, false}) ||
               orders_.ordered({service.service, item.first, true});
    });
}

kind_state autoscaling_duty::state_of(scale_subject const& subject,
                                      server_counts const& counts,
                                      routes::autoscaling const& scaling,
                                      time_point now)
{
    auto const ordered = orders_.ordered(subject);
    kind_state state;
    state.ordered = ordered.value_or(counts.staying());
    state.serving = counts.up;
    state.expected = state.ordered;
    if (is_current()) {
        if (is_reclaim(counts, ordered)) {
            orders_.block(subject, reclaim_block, now);
            state.expected = counts.staying();
        } else {
            state.expected = orders_.expected(subject, counts.staying(),
                                              scaling.boot_time, now);
        }
    }
    state.unavailable =
        orders_.is_blocked(subject, now) || state.expected < state.ordered;
    return state;
}

scaling_input autoscaling_duty::input_of(service_sample const& service,
                                         time_point now)
{
    scaling_input input;
    input.is_current = is_current() && sample_.load_is_known;
    input.demand = demand_in_priced(service);
    input.first_price = orders_.first_price(service.service);
    for (auto const& [data_centre, price] : service.scaling.prices) {
        auto const counts = counts_in(service, data_centre);
        input.data_centres[data_centre] = {
            state_of({service.service, data_centre, false}, counts.regular,
                     service.scaling, now),
            state_of({service.service, data_centre, true}, counts.reclaimable,
                     service.scaling, now)};
        for (auto const* const kind : {&counts.regular, &counts.reclaimable}) {
            input.staying += kind->staying();
            input.failing += kind->failing;
        }
    }
    return input;
}

void autoscaling_duty::decide(service_sample const& service, time_point now)
{
    // Without orders, the number of servers is known from the list alone.
    if (!is_current() && !has_orders(service)) {
        return;
    }
    if (!has_orders(service)) {
        orders_.set_first_price(service.service, price_of_listed(service));
    }
    auto const input = input_of(service, now);
    auto& policy =
        policies_.try_emplace(service.service, settings_).first->second;
    auto const decision = policy.decide(service.scaling, input, now);
    for (auto const& [data_centre, state] : input.data_centres) {
        order(service, data_centre, state, decision, input.demand, now);
    }
    decisions_[service.service] = decision;
}

void autoscaling_duty::order(service_sample const& service,
                             std::string const& data_centre,
                             data_centre_state const& known,
                             scaling_decision const& decision, double demand,
                             time_point now)
{
    auto const counts = counts_in(service, data_centre);
    auto const wanted = decision.wanted.at(data_centre);
    auto const regular =
        with_missing(wanted.regular, known.regular, counts.regular);
    auto const reclaimable =
        with_missing(wanted.reclaimable, known.reclaimable, counts.reclaimable);
    auto const fits = regular + reclaimable <= service.scaling.max_servers;
    scaling_change const change{{},       0,      0, decision.reason,
                                decision, demand, 0, sample_.list_age};
    order({service.service, data_centre, false}, known.regular,
          fits ? regular : wanted.regular, counts.regular.staying(), change,
          now);
    order({service.service, data_centre, true}, known.reclaimable,
          fits ? reclaimable : wanted.reclaimable, counts.reclaimable.staying(),
          change, now);
}

void autoscaling_duty::order(scale_subject const& subject,
                             kind_state const& known, std::uint32_t count,
                             std::uint32_t listed, scaling_change change,
                             time_point now)
{
    if (orders_.set(subject, count, listed, now)) {
        change.subject = subject;
        change.before = known.ordered;
        change.count = count;
        change.listed = listed;
        changes_.push_back(std::move(change));
    }
}

/// Drops what is known of services that are not configured any more.
void autoscaling_duty::forget_others()
{
    std::set<std::string> services;
    for (auto const& service : sample_.services) {
        services.insert(service.service);
    }
    auto const is_other = [&services](auto const& item) {
        return !services.contains(item.first);
    };
    std::erase_if(policies_, is_other);
    std::erase_if(decisions_, is_other);
}

std::vector<duty_call> autoscaling_duty::due_calls(time_point now)
{
    std::map<std::string, std::uint32_t> limits;
    for (auto const& service : sample_.services) {
        if (decisions_.contains(service.service)) {
            limits[service.service] = service.scaling.max_servers;
        }
    }
    std::vector<duty_call> calls;
    for (auto& order : orders_.take_due(limits, now)) {
        calls.emplace_back(std::move(order));
    }
    return calls;
}

void autoscaling_duty::on_result(duty_call const& call, call_outcome outcome,
                                 time_point now)
{
    auto const* const order = std::get_if<scale_order>(&call);
    if (order == nullptr || !taken_at_) {
        return;
    }
    orders_.on_result(*order, outcome, now);
    if (outcome != call_outcome::unavailable) {
        return;
    }
    for (auto const& service : sample_.services) {
        if (service.service == order->service) {
            decide(service, now);
        }
    }
}

std::vector<scaling_change> autoscaling_duty::take_changes()
{
    return std::exchange(changes_, {});
}

} // namespace medlarstall::duty
