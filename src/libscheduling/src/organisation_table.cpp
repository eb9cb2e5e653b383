#include "organisation_table.hpp"

#include <medlarstall/catalogue/catalogue.hpp>

#include <algorithm>
#include <tuple>

namespace medlarstall::scheduling {

namespace {

constexpr double least_weight = 1e-6;
constexpr double least_rate = 1e-3;
/// Part of the way that a local rate moves for each report; two owners that
/// correct themselves at once would swing otherwise.
constexpr double rate_gain = 0.5;

/// \return what the other owners leave of a limit, at least an equal part
double allowed(double limit, double remote, std::uint32_t owners)
{
    return std::max({limit - remote, limit / (1.0 + owners), least_rate});
}

void set_bucket(std::optional<token_bucket>& bucket, std::optional<double> rate,
                time_point now)
{
    if (!rate) {
        bucket.reset();
    } else if (!bucket) {
        bucket.emplace(std::max(*rate, least_rate), now);
    } else {
        bucket->set_rate(std::max(*rate, least_rate), now);
    }
}

void adapt_rate(std::optional<token_bucket>& bucket,
                std::optional<double> limit, double remote,
                std::uint32_t owners, time_point now)
{
    if (!bucket || !limit) {
        return;
    }
    auto const target = allowed(*limit, remote, owners);
    auto const rate = bucket->rate();
    bucket->set_rate(rate + rate_gain * (target - rate), now);
}

} // namespace

void organisation_table::set_policy(catalogue::catalogue const& entries,
                                    time_point now)
{
    for (auto const& [name, entry] : entries.organisations) {
        index_of(name);
    }
    for (auto& each : members_) {
        auto const* entry = catalogue::find(entries.organisations, each.name);
        auto const known = entry ? *entry : catalogue::organisation{};
        each.weight = std::max(known.share, least_weight);
        set_limits(each, known.limits, now);
    }
}

organisation_index organisation_table::index_of(std::string_view name)
{
    auto const found = indices_.find(name);
    if (found != indices_.end()) {
        return found->second;
    }
    auto const index = static_cast<organisation_index>(members_.size());
    indices_.emplace(name, index);
    members_.emplace_back().name = name;
    return index;
}

double organisation_table::weight(organisation_index organisation) const
{
    return members_[organisation].weight;
}

organisation_usage& organisation_table::usage(organisation_index organisation,
                                              std::string_view service_class)
{
    auto& of = members_[organisation];
    auto found = of.usage.find(service_class);
    if (found == of.usage.end()) {
        organisation_usage fresh;
        fresh.organisation = of.name;
        fresh.service_class = service_class;
        found = of.usage.emplace(service_class, std::move(fresh)).first;
    }
    return found->second;
}

std::vector<organisation_usage> organisation_table::usage() const
{
    std::vector<organisation_usage> all;
    for (auto const& each : members_) {
        for (auto const& [service_class, counters] : each.usage) {
            all.push_back(counters);
        }
    }
    std::ranges::sort(all, {}, [](organisation_usage const& one) {
        return std::tie(one.organisation, one.service_class);
    });
    return all;
}

void organisation_table::start(organisation_index organisation, bool first,
                               time_point now)
{
    auto& of = members_[organisation];
    ++of.running;
    if (first && of.requests) {
        of.requests->take(1.0, now);
    }
}

void organisation_table::stop(organisation_index organisation)
{
    --members_[organisation].running;
}

void organisation_table::charge(organisation_index organisation, double tokens,
                                time_point now)
{
    auto& of = members_[organisation];
    if (of.tokens) {
        of.tokens->take(tokens, now);
    }
}

bool organisation_table::at_limit(organisation_index organisation,
                                  time_point now) const
{
    auto const& of = members_[organisation];
    return (of.limits.concurrency && of.running >= allowance(of)) ||
           next_start(organisation, now) > now;
}

time_point organisation_table::next_start(organisation_index organisation,
                                          time_point now) const
{
    auto const& of = members_[organisation];
    auto next = now;
    if (of.requests) {
        next = std::max(next, of.requests->time_of(1.0, now));
    }
    if (of.tokens) {
        next = std::max(next, of.tokens->time_of(1.0, now));
    }
    return next;
}

duration organisation_table::time_for(organisation_index organisation,
                                      double requests, double tokens) const
{
    auto const& of = members_[organisation];
    double seconds = 0;
    if (of.requests) {
        seconds = std::max(seconds, requests / of.requests->rate());
    }
    if (of.tokens) {
        seconds = std::max(seconds, tokens / of.tokens->rate());
    }
    constexpr double most_seconds = 86'400;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{std::min(seconds, most_seconds)});
}

double organisation_table::set_remote(organisation_index organisation,
                                      std::string_view service_class,
                                      remote_usage const& usage, time_point now)
{
    auto& of = members_[organisation];
    auto const found = of.remote.find(service_class);
    double served = 0;
    if (found == of.remote.end()) {
        of.remote.emplace(service_class, usage);
    } else {
        auto const former = found->second.served_tokens;
        // The sum falls when an owner was replaced; that serves nothing.
        served =
            double(usage.served_tokens - std::min(usage.served_tokens, former));
        found->second = usage;
    }
    adapt_rates(of, now);
    return served;
}

void organisation_table::set_limits(
    member& of, catalogue::organisation_limits const& limits, time_point now)
{
    if (of.limits.requests_per_second != limits.requests_per_second) {
        set_bucket(of.requests, limits.requests_per_second, now);
    }
    if (of.limits.tokens_per_second != limits.tokens_per_second) {
        set_bucket(of.tokens, limits.tokens_per_second, now);
    }
    of.limits = limits;
}

remote_usage organisation_table::total_remote(member const& of)
{
    remote_usage total;
    for (auto const& [service_class, usage] : of.remote) {
        total.tokens_per_second += usage.tokens_per_second;
        total.requests_per_second += usage.requests_per_second;
        total.running += usage.running;
        total.owners = std::max(total.owners, usage.owners);
    }
    return total;
}

void organisation_table::adapt_rates(member& of, time_point now)
{
    auto const remote = total_remote(of);
    adapt_rate(of.requests, of.limits.requests_per_second,
               remote.requests_per_second, remote.owners, now);
    adapt_rate(of.tokens, of.limits.tokens_per_second, remote.tokens_per_second,
               remote.owners, now);
}

unsigned organisation_table::allowance(member const& of)
{
    auto const remote = total_remote(of);
    auto const limit = *of.limits.concurrency;
    auto const left = limit - std::min(limit, remote.running);
    return std::max(left, limit / (1 + remote.owners));
}

} // namespace medlarstall::scheduling
