#include <medlarstall/emulator/workload.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace medlarstall::emulator {

namespace {

using random_engine = std::mt19937_64;

/// Ids of parts that belong to one request only begin here.
constexpr std::uint64_t first_own_part = std::uint64_t{1} << 62U;

double draw_unit(random_engine& random)
{
    return std::uniform_real_distribution<double>{0, 1}(random);
}

double draw(spread_number const& from, random_engine& random)
{
    auto value = from.mean;
    if (from.spread > 0 && from.mean > 0) {
        auto const centre = std::log(from.mean) - from.spread * from.spread / 2;
        value =
            std::lognormal_distribution<double>{centre, from.spread}(random);
    }
    return from.most > 0 ? std::min(value, from.most) : value;
}

std::uint32_t draw_tokens(spread_number const& from, random_engine& random)
{
    return static_cast<std::uint32_t>(
        std::max(1L, std::lround(draw(from, random))));
}

/// Draws a position with weights that fall by a power of it.
class skewed_position
{
public:
    skewed_position(std::uint32_t count, double skew)
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

/// Draws the requests of one class.
class class_source
{
public:
    class_source(experiment const& from, std::size_t kind, std::uint64_t seed)
        : from_{from}, kind_{kind}, settings_{from.classes[kind]},
          random_{seed * from.classes.size() + kind}
    {
        for (auto const& part : settings_.shared) {
            positions_.emplace_back(part.different, part.skew);
        }
        auto const small = from.organisations - from.large;
        for (std::uint32_t at = 0; at < from.organisations; ++at) {
            organisations_.push_back(
                at < from.large
                    ? from.large_share / from.large
                    : (1.0 - (from.large > 0 ? from.large_share : 0.0)) /
                          small);
        }
    }

    /// Adds all requests of the class.
    void add_to(std::vector<arrival>& arrivals)
    {
        auto const most = most_rate();
        std::exponential_distribution<double> pause{most};
        auto at = seconds{pause(random_)};
        while (at < from_.length) {
            if (draw_unit(random_) * most < rate(at)) {
                arrivals.push_back(make(at));
            }
            at += seconds{pause(random_)};
        }
    }

private:
    bool concerns(trouble const& one, trouble_kind kind) const
    {
        return one.kind == kind &&
               (one.class_name.empty() || one.class_name == settings_.name);
    }

    static bool is_at(trouble const& one, seconds at)
    {
        return at >= one.at && at < one.at + one.length;
    }

    double most_rate() const
    {
        double factor = 1.0 + from_.wave;
        for (auto const& one : from_.troubles) {
            if (concerns(one, trouble_kind::burst) ||
                concerns(one, trouble_kind::hot_organisation)) {
                factor *= std::max(1.0, one.strength);
            }
        }
        return settings_.per_second * factor;
    }

    double rate(seconds at) const
    {
        auto const periods =
            at.count() / from_.wave_period.count() + from_.wave_phase;
        auto const angle = 2.0 * std::numbers::pi * periods;
        double factor = 1.0 + from_.wave * std::sin(angle);
        for (auto const& one : from_.troubles) {
            if (!is_at(one, at)) {
                continue;
            }
            if (concerns(one, trouble_kind::burst)) {
                factor *= one.strength;
            } else if (concerns(one, trouble_kind::hot_organisation)) {
                factor *= 1.0 + hot_weight() * (one.strength - 1.0);
            }
        }
        return settings_.per_second * factor;
    }

    /// \return usual part of the load of the organisation that gets hot
    double hot_weight() const { return organisations_.back(); }

    std::uint32_t draw_organisation(seconds at)
    {
        auto weights = organisations_;
        for (auto const& one : from_.troubles) {
            if (concerns(one, trouble_kind::hot_organisation) &&
                is_at(one, at)) {
                weights.back() *= one.strength;
            }
        }
        return std::discrete_distribution<std::uint32_t>{
            weights.begin(), weights.end()}(random_);
    }

    bool is_hot(seconds at)
    {
        for (auto const& one : from_.troubles) {
            if (concerns(one, trouble_kind::hot_part) && is_at(one, at)) {
                return draw_unit(random_) < one.share;
            }
        }
        return false;
    }

    dispatch::prompt_part draw_part(std::size_t level, bool hot)
    {
        constexpr std::uint64_t radix = 4096;
        auto const position = hot ? 0 : positions_[level].draw(random_);
        auto const id = ((kind_ + 1) * radix + level) * radix + position;
        random_engine of_part{id}; // The same part is always as long.
        return {id, draw_tokens(settings_.shared[level].tokens, of_part)};
    }

    arrival make(seconds at)
    {
        arrival made;
        made.at = std::chrono::duration_cast<duration>(at);
        made.kind = kind_;
        made.organisation = draw_organisation(at);
        if (settings_.prompt_tokens.mean <= 0) {
            auto const ms = draw(settings_.work_ms, random_);
            made.work = std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>{ms});
            return made;
        }
        auto const hot = is_hot(at);
        for (std::size_t level = 0; level < positions_.size(); ++level) {
            made.asked.parts.push_back(draw_part(level, hot));
        }
        made.asked.parts.push_back(
            {first_own_part + kind_ * (std::uint64_t{1} << 32U) + ++made_,
             draw_tokens(settings_.prompt_tokens, random_)});
        for (auto const& part : made.asked.parts) {
            made.asked.tokens += part.tokens;
        }
        made.output_tokens = draw_tokens(settings_.output_tokens, random_);
        auto const guess =
            draw({1.0, settings_.output_guess_spread, 0}, random_);
        made.asked.output_tokens = static_cast<std::uint32_t>(
            std::max(1.0, guess * made.output_tokens));
        constexpr double output_weight = 10.0;
        auto const mean =
            mean_prompt() + output_weight * settings_.output_tokens.mean;
        made.size =
            (made.asked.tokens + output_weight * made.output_tokens) / mean;
        return made;
    }

    double mean_prompt() const
    {
        auto mean = settings_.prompt_tokens.mean;
        for (auto const& part : settings_.shared) {
            mean += part.tokens.mean;
        }
        return mean;
    }

    experiment const& from_;
    std::size_t kind_;
    class_settings const& settings_;
    random_engine random_;
    std::vector<skewed_position> positions_;
    std::vector<double> organisations_;
    std::uint64_t made_ = 0;
};

} // namespace

std::vector<arrival> make_arrivals(experiment const& from, std::uint64_t seed)
{
    std::vector<arrival> arrivals;
    for (std::size_t kind = 0; kind < from.classes.size(); ++kind) {
        class_source{from, kind, seed}.add_to(arrivals);
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    return arrivals;
}

} // namespace medlarstall::emulator
