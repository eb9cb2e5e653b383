#ifndef MEDLARSTALL_TESTS_LIBDUTY_AUTOSCALING_SIMULATION_HPP
#define MEDLARSTALL_TESTS_LIBDUTY_AUTOSCALING_SIMULATION_HPP

#include <medlarstall/duty/autoscaling_duty.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numbers>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::duty::simulation {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

inline constexpr std::uint32_t max_servers = 60;
inline constexpr milliseconds boot_time{4000};
inline constexpr milliseconds drain_time{3000};
inline constexpr milliseconds step{100};

inline routes::autoscaling scaling()
{
    return {
        1, max_servers, boot_time, 0.18, {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}}};
}

/// A demand that goes up and down by 27% every 11 s.
inline double wave(double mean, milliseconds at)
{
    auto const turns = std::chrono::duration<double>{at} / 11s;
    return mean * (1 + 0.27 * std::sin(2 * std::numbers::pi * turns));
}

/// Servers of a platform in virtual time, the duty that orders them, and what
/// must hold throughout.
class autoscaling_simulation
{
public:
    using demand_function = std::function<double(milliseconds)>;

    explicit autoscaling_simulation(demand_function demand)
        : demand_{std::move(demand)}
    {
        for (auto const& [data_centre, price] : scaling().prices) {
            for (int index = 0; index < 30; ++index) {
                servers_.push_back({data_centre, false});
            }
        }
        duty_.on_taken({}, time());
    }

    /// Runs until a point in time.
    void run_until(milliseconds end)
    {
        for (; now_ < end; now_ += step) {
            advance_servers();
            answer_calls();
            if (now_ % 300ms == 0ms && has_holder) {
                duty_.observe(sample(), time());
                changes_ += duty_.take_changes().size();
            }
            if (now_ % 500ms == 0ms) {
                stored_ = duty_.state();
                duty_.on_stored(duty_.revision());
            }
            for (auto const& call : duty_.due_calls(time())) {
                send(std::get<scale_order>(call));
            }
            account();
        }
    }

    /// Replaces the holder by one that knows only what is stored.
    void change_holder()
    {
        duty_ = autoscaling_duty{};
        duty_.on_taken({stored_, {}}, time());
        answers_.clear();
    }

    /// Takes away all reclaimable servers of a data centre; there are no more
    /// for a while.
    void reclaim(std::string const& data_centre, milliseconds lasts)
    {
        refused_until[data_centre] = now_ + lasts;
        orders_[{data_centre, true}] = 0;
        for (auto& server : servers_) {
            if (server.data_centre == data_centre && server.reclaimable) {
                server.reclaimed = true;
                server.leaves_at = std::min(server.leaves_at, now_ + 2s);
            }
        }
    }

    /// Lets some servers crash and come back after 2 s.
    void crash_every(std::size_t nth)
    {
        for (std::size_t index = 0; index < servers_.size(); index += nth) {
            servers_[index].failing_until = now_ + 2s;
        }
    }

    [[nodiscard]] std::uint32_t serving() const
    {
        return static_cast<std::uint32_t>(
            std::ranges::count_if(servers_, [this](server const& item) {
                return item.starts_at <= now_ && item.failing_until <= now_ &&
                       item.leaves_at == milliseconds::max();
            }));
    }
    [[nodiscard]] std::uint32_t ordered(std::string const& data_centre,
                                        bool reclaimable) const
    {
        auto const found = orders_.find({data_centre, reclaimable});
        return found == orders_.end() ? 0U : found->second;
    }
    [[nodiscard]] double cost() const { return cost_; }
    [[nodiscard]] double worst_fill() const { return worst_fill_; }
    [[nodiscard]] std::size_t calls() const { return calls_; }
    [[nodiscard]] std::size_t changes() const { return changes_; }
    [[nodiscard]] std::size_t violations() const { return violations_; }
    [[nodiscard]] milliseconds now() const { return now_; }

    /// Begins new figures of cost, fill and calls.
    void reset_figures()
    {
        cost_ = 0;
        worst_fill_ = 0;
        calls_ = 0;
        changes_ = 0;
    }

    /// Share of the cost of the servers that were there at the start.
    [[nodiscard]] double cost_share(milliseconds over) const
    {
        return cost_ / (30 * (1.0 + 0.8 + 1.25) *
                        std::chrono::duration<double>{over}.count());
    }

    std::map<std::string, milliseconds> refused_until;
    bool platform_is_silent = false;
    bool list_is_known = true;
    bool peers_are_heard = true;
    bool has_holder = true;
    bool is_configured = true;

private:
    struct server
    {
        std::string data_centre;
        bool reclaimable = false;
        milliseconds starts_at{0};
        milliseconds failing_until{0};
        milliseconds leaves_at = milliseconds::max();
        bool reclaimed = false;
    };
    struct answer
    {
        milliseconds at;
        scale_order order;
        call_outcome outcome;
    };
    using kind_key = std::pair<std::string, bool>;

    time_point time() const { return time_point{} + 1h + now_; }

    void advance_servers()
    {
        std::erase_if(servers_, [this](server const& item) {
            return item.leaves_at <= now_;
        });
    }

    void answer_calls()
    {
        while (!answers_.empty() && answers_.front().at <= now_) {
            auto const next = answers_.front();
            answers_.pop_front();
            duty_.on_result(next.order, next.outcome, time());
        }
    }

    void send(scale_order const& order)
    {
        ++calls_;
        if (platform_is_silent) {
            answers_.push_back({now_ + 1s, order, call_outcome::unknown});
        } else {
            answers_.push_back({now_ + 100ms, order, execute(order)});
        }
        std::ranges::sort(answers_, {}, &answer::at);
    }

    call_outcome execute(scale_order const& order)
    {
        kind_key const key{order.data_centre, order.reclaimable};
        auto const other =
            orders_.contains({key.first, !key.second}) || key.second
                ? count_of({key.first, !key.second})
                : 0U;
        auto const sum = order.count + other;
        violations_ += sum > max_servers || sum < 1 ? 1 : 0;
        auto const present = count_of(key);
        if (order.reclaimable && now_ < refused_until[key.first] &&
            order.count > present) {
            return call_outcome::unavailable;
        }
        orders_[key] = order.count;
        for (auto have = present; have < order.count; ++have) {
            servers_.push_back({key.first, key.second, now_ + boot_time});
        }
        drain(key, present - std::min(present, order.count));
        return call_outcome::accepted;
    }

    std::uint32_t count_of(kind_key const& key) const
    {
        return static_cast<std::uint32_t>(
            std::ranges::count_if(servers_, [&](server const& item) {
                return kind_key{item.data_centre, item.reclaimable} == key &&
                       item.leaves_at == milliseconds::max();
            }));
    }

    void drain(kind_key const& key, std::uint32_t count)
    {
        for (auto& item : servers_) {
            if (count > 0 && item.leaves_at == milliseconds::max() &&
                kind_key{item.data_centre, item.reclaimable} == key) {
                item.leaves_at = now_ + drain_time;
                --count;
            }
        }
    }

    scaling_sample sample() const
    {
        // A daemon that hears no other one knows only its own requests.
        service_sample service{
            "s", scaling(), demand_(now_) * (peers_are_heard ? 1 : 0.1), {}};
        for (auto const& item : servers_) {
            if (item.starts_at > now_) {
                continue; // Not listed yet.
            }
            auto& here = service.data_centres[item.data_centre];
            auto& counts = item.reclaimable ? here.reclaimable : here.regular;
            if (item.leaves_at != milliseconds::max()) {
                ++(item.reclaimed ? counts.reclaimed : counts.draining);
            } else {
                ++(item.failing_until > now_ ? counts.failing : counts.up);
            }
        }
        scaling_sample result;
        result.list_is_known = list_is_known;
        result.load_is_known = peers_are_heard;
        if (is_configured) {
            result.services.push_back(std::move(service));
        }
        return result;
    }

    void account()
    {
        auto const prices = scaling().prices;
        for (auto const& item : servers_) {
            cost_ += prices.at(item.data_centre) *
                     (item.reclaimable ? 0.18 : 1.0) *
                     std::chrono::duration<double>{step}.count();
        }
        worst_fill_ =
            std::max(worst_fill_, demand_(now_) / std::max(serving(), 1U));
    }

    demand_function demand_;
    autoscaling_duty duty_;
    std::string stored_;
    std::vector<server> servers_;
    std::map<kind_key, std::uint32_t> orders_;
    std::deque<answer> answers_;
    milliseconds now_{0};
    double cost_ = 0;
    double worst_fill_ = 0;
    std::size_t calls_ = 0;
    std::size_t changes_ = 0;
    std::size_t violations_ = 0;
};

} // namespace medlarstall::duty::simulation

#endif
