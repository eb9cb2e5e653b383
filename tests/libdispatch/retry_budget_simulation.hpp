#ifndef MEDLARSTALL_TESTS_RETRY_BUDGET_SIMULATION_HPP
#define MEDLARSTALL_TESTS_RETRY_BUDGET_SIMULATION_HPP

// A fleet of daemons in virtual time that send failed requests again, and the
// rule that their retries must keep.

#include <medlarstall/dispatch/retry_budget.hpp>
#include <medlarstall/support/time.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace medlarstall::dispatch::simulation {

using namespace std::chrono_literals;

inline constexpr time_point retry_start{std::chrono::hours{1}};
inline constexpr auto retry_step = 10ms;
inline constexpr auto retry_simulated_time = 60s;
/// Until then a daemon that has started does not know the fleet.
inline constexpr auto fleet_known_after = 1s;
/// A daemon that is silent for this long may be left out of the sharers.
inline constexpr auto max_silence = 30s;
inline constexpr std::size_t max_sends = 3;
/// A daemon that leaves the list goes on for this long.
inline constexpr auto grace_period = 8s;

/// What one simulation plays.
struct retry_scenario
{
    std::size_t daemons = 5;
    retry_limits limits{};
    double requests_per_second = 200; ///< Of the whole fleet.
    bool bursts = false;              ///< Twice the traffic now and then.
    bool callers_move = false;        ///< From some daemons to others.
    bool kills = false;
    bool kill_all = false;
    bool cut = false;    ///< From 5 s to 50 s, two parts hear nothing.
    bool pauses = false; ///< Daemons stand still for some seconds.
    bool joins = false;  ///< A third of the daemons starts late, unnoticed.
    bool leaves = false; ///< Daemons leave one after the other, and return.
    std::uint32_t seed = 1;
};

/// Plays one scenario and compares the retries with the rule.
class retrying_fleet
{
public:
    explicit retrying_fleet(retry_scenario const& played)
        : played_{played}, random_{played.seed}, daemons_(played.daemons)
    {
        for (std::size_t index = 0; index < daemons_.size(); ++index) {
            auto& daemon = daemons_[index];
            daemon.weight = 1;
            daemon.other_side = index * 5 < daemons_.size() * 2;
            daemon.present = !played.joins || index >= daemons_.size() / 3;
            restart(daemon);
        }
    }

    void run()
    {
        for (now_ = retry_start; now_ < retry_start + retry_simulated_time;
             now_ += retry_step) {
            disturb();
            auto const mean = played_.requests_per_second * traffic_ *
                              std::chrono::duration<double>{retry_step}.count();
            auto const count = std::poisson_distribution<int>{mean}(random_);
            for (int made = 0; made < count; ++made) {
                arrive();
            }
            end_sends();
        }
    }

    /// \return most retries above what the rule allows in any window; zero or
    ///     less if it is kept
    [[nodiscard]] double excess() const
    {
        double worst = -1e9;
        std::size_t end = 0;
        for (std::size_t first = 0; first < retries_.size(); ++first) {
            auto const from = retries_[first];
            while (end < retries_.size() &&
                   retries_[end] < from + played_.limits.window) {
                ++end;
            }
            worst = std::max(worst,
                             static_cast<double>(end - first) - allowed(from));
        }
        return worst;
    }

    [[nodiscard]] std::size_t retry_count() const { return retries_.size(); }
    [[nodiscard]] std::size_t request_count() const { return requests_.size(); }

private:
    struct daemon
    {
        retry_budget budget;
        time_point started_at;
        time_point paused_until = retry_start;
        time_point down_until = retry_start;
        double weight = 1;
        bool other_side = false;
        bool present = true; ///< In the list of members.
        budget_sharers sharers;
        time_point left_at;
    };

    struct send
    {
        time_point ends_at;
        std::size_t daemon = 0;
        time_point daemon_started_at;
        std::size_t number = 1;
    };

    double fraction()
    {
        return std::uniform_real_distribution<>{0, 1}(random_);
    }

    std::chrono::milliseconds span(int least, int most)
    {
        return std::chrono::milliseconds{
            std::uniform_int_distribution<>{least, most}(random_)};
    }

    bool every(std::chrono::milliseconds interval) const
    {
        return (now_ - retry_start) % interval == 0ms;
    }

    /// \return what the rule allows in the window from a time on
    double allowed(time_point from) const
    {
        auto const window = played_.limits.window;
        auto const most =
            std::max({count_requests(from), count_requests(from - window),
                      count_requests(from - window / 2)});
        return played_.limits.ratio * static_cast<double>(most) +
               played_.limits.slack;
    }

    std::size_t count_requests(time_point from) const
    {
        auto const first = std::ranges::lower_bound(requests_, from);
        auto const last =
            std::ranges::lower_bound(requests_, from + played_.limits.window);
        return static_cast<std::size_t>(last - first);
    }

    void restart(daemon& which)
    {
        auto const first_start = now_ == retry_start;
        which.budget = retry_budget{
            fraction(), first_start ? now_ : now_ + played_.limits.window};
        which.sharers = {};
        which.started_at = now_;
        which.down_until = now_ + 300ms;
    }

    /// \return how many daemons share the budget, as one of them believes
    std::size_t sharers_seen_by(daemon const& which) const
    {
        if (now_ - which.started_at < fleet_known_after) {
            return 0;
        }
        auto const cut_off = cut_ && now_ - cut_since_ >= max_silence;
        std::size_t listed = 0;
        std::size_t heard = 0;
        for (auto const& other : daemons_) {
            if (!other.present && &other != &which) {
                continue;
            }
            ++listed;
            heard += !cut_off || other.other_side == which.other_side ? 1 : 0;
        }
        return 2 * heard > listed ? heard : listed;
    }

    /// Takes a daemon out of the list until its next turn.
    void leave(daemon& which)
    {
        if (which.present) {
            which.left_at = now_;
        } else {
            restart(which);
        }
        which.present = !which.present;
        which.weight = which.present ? 1 : 0.01;
    }

    void disturb()
    {
        failing_ = every(250ms) ? fraction() < 0.6 : failing_;
        if (played_.bursts && every(5s)) {
            traffic_ = fraction() < 0.5 ? 2.0 : 1.0;
        }
        if (played_.callers_move && every(2s)) {
            for (auto& item : daemons_) {
                item.weight = fraction() < 0.4 ? 0.02 : 1.0;
            }
        }
        for (auto& item : daemons_) {
            if (every(100ms)) {
                item.sharers.update(sharers_seen_by(item), now_);
            }
            if (played_.kills && every(2s) && fraction() < 0.3) {
                restart(item);
            }
            if (!item.present && item.left_at > retry_start &&
                now_ - item.left_at > grace_period) {
                item.weight = 0;
            }
            if (played_.pauses && every(4s) && fraction() < 0.3) {
                item.paused_until = now_ + span(1000, 4000);
            }
        }
        if (played_.kill_all && every(9s)) {
            std::ranges::for_each(daemons_,
                                  [this](auto& item) { restart(item); });
        }
        if (played_.leaves && every(4s)) {
            leave(daemons_[next_leaver_++ % daemons_.size()]);
        }
        if (played_.cut && now_ >= retry_start + 5s) {
            cut_ = now_ < retry_start + 50s;
            cut_since_ = retry_start + 5s;
        }
    }

    void arrive()
    {
        requests_.push_back(now_);
        std::vector<double> weights;
        weights.reserve(daemons_.size());
        for (auto const& item : daemons_) {
            weights.push_back(item.down_until > now_ ? 0.0 : item.weight);
        }
        std::discrete_distribution<std::size_t> choose(weights.begin(),
                                                       weights.end());
        if (std::ranges::all_of(weights, [](auto item) { return item <= 0; })) {
            return;
        }
        auto const index = choose(random_);
        auto& chosen = daemons_[index];
        chosen.budget.on_request(played_.limits, chosen.sharers.count());
        start_send(index, 1);
    }

    void start_send(std::size_t index, std::size_t number)
    {
        if (number > 1) {
            retries_.push_back(now_);
        }
        sends_.push_back(
            {now_ + span(5, 400), index, daemons_[index].started_at, number});
    }

    void end_sends()
    {
        auto const ended = [this](send const& item) {
            return item.ends_at <= now_ &&
                   daemons_[item.daemon].paused_until <= now_;
        };
        std::vector<send> done;
        std::ranges::copy_if(sends_, std::back_inserter(done), ended);
        std::erase_if(sends_, ended);
        for (auto const& item : done) {
            auto& owner = daemons_[item.daemon];
            auto const lost = owner.started_at != item.daemon_started_at;
            auto const fails = fraction() < (failing_ ? 0.9 : 0.02);
            if (lost || !fails || item.number >= max_sends) {
                continue;
            }
            auto const decision = owner.budget.try_consume(
                played_.limits, owner.sharers.count(), now_);
            if (decision.allowed) {
                start_send(item.daemon, item.number + 1);
            }
        }
    }

    retry_scenario played_;
    std::mt19937 random_;
    std::vector<daemon> daemons_;
    time_point now_ = retry_start;
    double traffic_ = 1;
    bool failing_ = false;
    bool cut_ = false;
    time_point cut_since_ = retry_start;
    std::size_t next_leaver_ = 0;
    std::vector<time_point> requests_;
    std::vector<time_point> retries_;
    std::vector<send> sends_;
};

} // namespace medlarstall::dispatch::simulation

#endif
