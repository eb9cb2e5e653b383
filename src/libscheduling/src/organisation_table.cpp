#include "organisation_table.hpp"

#include <medlarstall/catalogue/catalogue.hpp>

#include <algorithm>
#include <tuple>

namespace medlarstall::scheduling {

namespace {

/// Lower bounds that keep divisions by a weight or a rate defined.
constexpr double min_weight = 1e-6;
constexpr double min_rate = 1e-3;
/// Fraction of the difference by which a local rate moves towards its target
/// per usage report. With a full correction, two owners that adjust at the
/// same time would oscillate.
constexpr double rate_gain = 0.5;

/// \param limit limit of the organisation over all owners
/// \param remote what the other owners use of it
/// \param owners number of other owners
/// \return what the other owners leave of the limit, but at least an equal
///     share of it
double local_allowance(double limit, double remote, std::uint32_t owners)
{
    return std::max({limit - remote, limit / (1.0 + owners), min_rate});
}

void set_bucket(std::optional<token_bucket>& bucket, std::optional<double> rate,
                time_point now)
{
    if (!rate) {
        bucket.reset();
    } else if (!bucket) {
        bucket.emplace(std::max(*rate, min_rate), now);
    } else {
        bucket->set_rate(std::max(*rate, min_rate), now);
    }
}

void adapt_rate(std::optional<token_bucket>& bucket,
                std::optional<double> limit, double remote,
                std::uint32_t owners, time_point now)
{
    if (!bucket || !limit) {
        return;
    }
    auto const target = local_allowance(*limit, remote, owners);
    auto const rate = bucket->rate();
    bucket->set_rate(rate + rate_gain * (target - rate), now);
}

} // namespace

void organisation_table::apply_catalogue(catalogue::catalogue const& entries,
                                         time_point now)
{
    for (auto const& [name, entry] : entries.organisations) {
        index_of(name);
    }
    for (auto& each : organisations_) {
        auto const* entry = catalogue::find(entries.organisations, each.name);
        auto const settings = entry ? *entry : catalogue::organisation{};
        each.weight = std::max(settings.share, min_weight);
        set_limits(each, settings.limits, now);
    }
}

organisation_index organisation_table::index_of(std::string_view name)
{
    auto const found = indices_.find(name);
    if (found != indices_.end()) {
        return found->second;
    }
    auto const index = static_cast<organisation_index>(organisations_.size());
    indices_.emplace(name, index);
    organisations_.emplace_back().name = name;
    return index;
}

double organisation_table::weight(organisation_index organisation) const
{
    return organisations_[organisation].weight;
}

organisation_usage& organisation_table::usage(organisation_index organisation,
                                              std::string_view service_class)
{
    auto& state = organisations_[organisation];
    auto found = state.usage_by_class.find(service_class);
    if (found == state.usage_by_class.end()) {
        organisation_usage new_counters;
        new_counters.organisation = state.name;
        new_counters.service_class = service_class;
        found =
            state.usage_by_class.emplace(service_class, std::move(new_counters))
                .first;
    }
    return found->second;
}

std::vector<organisation_usage> organisation_table::usage() const
{
    std::vector<organisation_usage> all;
    for (auto const& each : organisations_) {
        for (auto const& [service_class, counters] : each.usage_by_class) {
            all.push_back(counters);
        }
    }
    std::ranges::sort(all, {}, [](organisation_usage const& counters) {
        return std::tie(counters.organisation, counters.service_class);
    });
    return all;
}

void organisation_table::count_start(organisation_index organisation,
                                     bool first_start, time_point now)
{
    auto& state = organisations_[organisation];
    ++state.running;
    if (first_start && state.request_rate_bucket) {
        state.request_rate_bucket->consume(1.0, now);
    }
}

void organisation_table::count_stop(organisation_index organisation)
{
    --organisations_[organisation].running;
}

void organisation_table::charge(organisation_index organisation, double tokens,
                                time_point now)
{
    auto& state = organisations_[organisation];
    if (state.token_rate_bucket) {
        state.token_rate_bucket->consume(tokens, now);
    }
}

bool organisation_table::at_limit(organisation_index organisation,
                                  time_point now) const
{
    auto const& state = organisations_[organisation];
    return (state.limits.concurrency &&
            state.running >= concurrency_allowance(state)) ||
           next_start(organisation, now) > now;
}

time_point organisation_table::next_start(organisation_index organisation,
                                          time_point now) const
{
    auto const& state = organisations_[organisation];
    auto next = now;
    if (state.request_rate_bucket) {
        next = std::max(
            next, state.request_rate_bucket->time_when_available(1.0, now));
    }
    if (state.token_rate_bucket) {
        next = std::max(next,
                        state.token_rate_bucket->time_when_available(1.0, now));
    }
    return next;
}

duration organisation_table::min_time_to_start(organisation_index organisation,
                                               double requests,
                                               double tokens) const
{
    auto const& state = organisations_[organisation];
    double seconds = 0;
    if (state.request_rate_bucket) {
        seconds =
            std::max(seconds, requests / state.request_rate_bucket->rate());
    }
    if (state.token_rate_bucket) {
        seconds = std::max(seconds, tokens / state.token_rate_bucket->rate());
    }
    constexpr double max_seconds = 86'400;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{std::min(seconds, max_seconds)});
}

double organisation_table::set_remote_usage(organisation_index organisation,
                                            std::string_view service_class,
                                            remote_usage const& usage,
                                            time_point now)
{
    auto& state = organisations_[organisation];
    auto const found = state.remote_by_class.find(service_class);
    double served = 0;
    if (found == state.remote_by_class.end()) {
        state.remote_by_class.emplace(service_class, usage);
    } else {
        auto const previous = found->second.served_tokens;
        // The total decreases when an owner was replaced. That is no service.
        served = double(usage.served_tokens -
                        std::min(usage.served_tokens, previous));
        found->second = usage;
    }
    adapt_rates(state, now);
    return served;
}

void organisation_table::set_limits(
    organisation_state& state, catalogue::organisation_limits const& limits,
    time_point now)
{
    if (state.limits.requests_per_second != limits.requests_per_second) {
        set_bucket(state.request_rate_bucket, limits.requests_per_second, now);
    }
    if (state.limits.tokens_per_second != limits.tokens_per_second) {
        set_bucket(state.token_rate_bucket, limits.tokens_per_second, now);
    }
    state.limits = limits;
}

remote_usage
organisation_table::total_remote_usage(organisation_state const& state)
{
    remote_usage total;
    for (auto const& [service_class, usage] : state.remote_by_class) {
        total.tokens_per_second += usage.tokens_per_second;
        total.requests_per_second += usage.requests_per_second;
        total.running += usage.running;
        total.owners = std::max(total.owners, usage.owners);
    }
    return total;
}

void organisation_table::adapt_rates(organisation_state& state, time_point now)
{
    auto const remote = total_remote_usage(state);
    adapt_rate(state.request_rate_bucket, state.limits.requests_per_second,
               remote.requests_per_second, remote.owners, now);
    adapt_rate(state.token_rate_bucket, state.limits.tokens_per_second,
               remote.tokens_per_second, remote.owners, now);
}

unsigned
organisation_table::concurrency_allowance(organisation_state const& state)
{
    auto const remote = total_remote_usage(state);
    auto const limit = *state.limits.concurrency;
    auto const remaining = limit - std::min(limit, remote.running);
    return std::max(remaining, limit / (1 + remote.owners));
}

} // namespace medlarstall::scheduling
