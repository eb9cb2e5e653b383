#include <medlarstall/emulator/workload.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace medlarstall::emulator {

namespace {

using random_engine = std::mt19937_64;

/// Smallest id of prompt parts that belong to a single request. Ids of shared
/// parts are smaller.
constexpr std::uint64_t first_private_part_id = std::uint64_t{1} << 62U;

double draw_unit(random_engine& random)
{
    return std::uniform_real_distribution<double>{0, 1}(random);
}

double draw(lognormal_settings const& settings, random_engine& random)
{
    auto value = settings.mean;
    if (settings.sigma > 0 && settings.mean > 0) {
        auto const mu =
            std::log(settings.mean) - settings.sigma * settings.sigma / 2;
        value = std::lognormal_distribution<double>{mu, settings.sigma}(random);
    }
    return settings.maximum > 0 ? std::min(value, settings.maximum) : value;
}

std::uint32_t draw_tokens(lognormal_settings const& settings,
                          random_engine& random)
{
    return static_cast<std::uint32_t>(
        std::max(1L, std::lround(draw(settings, random))));
}

/// Draws from a Zipf distribution over the positions 0 to count - 1: the weight
/// of position n is 1 / (n + 1)^skew.
class zipf_distribution
{
public:
    zipf_distribution(std::uint32_t count, double skew)
    {
        for (std::uint32_t at = 0; at < count; ++at) {
            weights_.push_back(1.0 / std::pow(at + 1.0, skew));
        }
        distribution_ = {weights_.begin(), weights_.end()};
    }

    std::uint32_t draw(random_engine& random) { return distribution_(random); }

private:
    std::vector<double> weights_;
    std::discrete_distribution<std::uint32_t> distribution_;
};

/// Generates the requests of one class as a Poisson process whose rate varies
/// over time: arrivals are drawn at the maximum rate, and each is kept with the
/// probability current rate / maximum rate.
class class_generator
{
public:
    class_generator(experiment const& spec, std::size_t class_index,
                    std::uint64_t seed)
        : spec_{spec}, class_index_{class_index},
          settings_{spec.classes[class_index]},
          random_{seed * spec.classes.size() + class_index}
    {
        for (auto const& part : settings_.shared_parts) {
            part_distributions_.emplace_back(part.variants, part.skew);
        }
        auto const small_organisations =
            spec.organisation_count - spec.large_organisations;
        for (std::uint32_t at = 0; at < spec.organisation_count; ++at) {
            organisation_weights_.push_back(
                at < spec.large_organisations
                    ? spec.large_share / spec.large_organisations
                    : (1.0 - (spec.large_organisations > 0 ? spec.large_share
                                                           : 0.0)) /
                          small_organisations);
        }
    }

    /// Appends all requests of the class, ordered by arrival time.
    void add_to(std::vector<arrival>& arrivals)
    {
        auto const upper_rate = max_rate();
        std::exponential_distribution<double> gap{upper_rate};
        auto at = seconds{gap(random_)};
        while (at < spec_.length) {
            if (draw_unit(random_) * upper_rate < rate_at(at)) {
                arrivals.push_back(make_arrival(at));
            }
            at += seconds{gap(random_)};
        }
    }

private:
    bool applies_to(disturbance const& event, disturbance_kind kind) const
    {
        return event.kind == kind &&
               (event.class_name.empty() || event.class_name == settings_.name);
    }

    static bool is_active(disturbance const& event, seconds at)
    {
        return at >= event.start && at < event.start + event.length;
    }

    /// \return upper limit of rate_at() for the whole experiment
    double max_rate() const
    {
        double factor = 1.0 + spec_.wave_amplitude;
        for (auto const& event : spec_.disturbances) {
            if (applies_to(event, disturbance_kind::burst) ||
                applies_to(event, disturbance_kind::hot_organisation)) {
                factor *= std::max(1.0, event.strength);
            }
        }
        return settings_.requests_per_second * factor;
    }

    /// \return requests per second of the class at a time of the experiment
    double rate_at(seconds at) const
    {
        auto const periods =
            at.count() / spec_.wave_period.count() + spec_.wave_phase;
        auto const angle = 2.0 * std::numbers::pi * periods;
        double factor = 1.0 + spec_.wave_amplitude * std::sin(angle);
        for (auto const& event : spec_.disturbances) {
            if (!is_active(event, at)) {
                continue;
            }
            if (applies_to(event, disturbance_kind::burst)) {
                factor *= event.strength;
            } else if (applies_to(event, disturbance_kind::hot_organisation)) {
                factor *=
                    1.0 + hot_organisation_share() * (event.strength - 1.0);
            }
        }
        return settings_.requests_per_second * factor;
    }

    /// \return undisturbed share of the load of the organisation that a
    ///         hot_organisation disturbance affects, which is the last one
    double hot_organisation_share() const
    {
        return organisation_weights_.back();
    }

    std::uint32_t draw_organisation(seconds at)
    {
        auto weights = organisation_weights_;
        for (auto const& event : spec_.disturbances) {
            if (applies_to(event, disturbance_kind::hot_organisation) &&
                is_active(event, at)) {
                weights.back() *= event.strength;
            }
        }
        return std::discrete_distribution<std::uint32_t>{
            weights.begin(), weights.end()}(random_);
    }

    bool draw_is_hot(seconds at)
    {
        for (auto const& event : spec_.disturbances) {
            if (applies_to(event, disturbance_kind::hot_prompt_part) &&
                is_active(event, at)) {
                return draw_unit(random_) < event.affected_share;
            }
        }
        return false;
    }

    dispatch::prompt_part draw_part(std::size_t level, bool hot)
    {
        constexpr std::uint64_t radix = 4096;
        auto const position =
            hot ? 0 : part_distributions_[level].draw(random_);
        auto const id = ((class_index_ + 1) * radix + level) * radix + position;
        // Seeded with the id, so that a part always has the same length.
        random_engine part_random{id};
        return {id,
                draw_tokens(settings_.shared_parts[level].tokens, part_random)};
    }

    arrival make_arrival(seconds at)
    {
        arrival request;
        request.offset = std::chrono::duration_cast<duration>(at);
        request.class_index = class_index_;
        request.organisation = draw_organisation(at);
        if (settings_.prompt_tokens.mean <= 0) {
            auto const ms = draw(settings_.work_ms, random_);
            request.service_time = std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>{ms});
            return request;
        }
        auto const hot = draw_is_hot(at);
        for (std::size_t level = 0; level < part_distributions_.size();
             ++level) {
            request.prompt.parts.push_back(draw_part(level, hot));
        }
        request.prompt.parts.push_back(
            {first_private_part_id + class_index_ * (std::uint64_t{1} << 32U) +
                 ++request_count_,
             draw_tokens(settings_.prompt_tokens, random_)});
        for (auto const& part : request.prompt.parts) {
            request.prompt.tokens += part.tokens;
        }
        request.output_tokens = draw_tokens(settings_.output_tokens, random_);
        auto const estimate_factor =
            draw({1.0, settings_.output_estimate_sigma, 0}, random_);
        request.prompt.output_tokens = static_cast<std::uint32_t>(
            std::max(1.0, estimate_factor * request.output_tokens));
        constexpr double output_weight = 10.0;
        auto const mean =
            mean_prompt() + output_weight * settings_.output_tokens.mean;
        request.relative_size =
            (request.prompt.tokens + output_weight * request.output_tokens) /
            mean;
        return request;
    }

    double mean_prompt() const
    {
        auto mean = settings_.prompt_tokens.mean;
        for (auto const& part : settings_.shared_parts) {
            mean += part.tokens.mean;
        }
        return mean;
    }

    experiment const& spec_;
    std::size_t class_index_;
    class_settings const& settings_;
    random_engine random_;
    std::vector<zipf_distribution> part_distributions_;
    std::vector<double> organisation_weights_;
    std::uint64_t request_count_ = 0;
};

} // namespace

std::vector<arrival> generate_arrivals(experiment const& spec,
                                       std::uint64_t seed)
{
    std::vector<arrival> arrivals;
    for (std::size_t index = 0; index < spec.classes.size(); ++index) {
        class_generator{spec, index, seed}.add_to(arrivals);
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::offset);
    return arrivals;
}

} // namespace medlarstall::emulator
