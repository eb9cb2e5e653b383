#ifndef MEDLARSTALL_TESTS_RATE_LIMIT_SIMULATION_HPP
#define MEDLARSTALL_TESTS_RATE_LIMIT_SIMULATION_HPP

// A fleet of daemons in virtual time, with backend servers that limit the
// requests per second of all daemons together.

#include <medlarstall/dispatch/dispatcher.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace medlarstall::dispatch::simulation {

using namespace std::chrono_literals;

inline constexpr time_point start{std::chrono::hours{1}};
inline constexpr shared_time start_of_day{std::chrono::hours{500000}};
inline constexpr auto step = 5ms;
/// Interval at which a daemon sends probes and reads the time of day.
inline constexpr auto tick = 100ms;
inline constexpr auto window = 4s;
/// A daemon counts from this time on after it was told of a limit.
inline constexpr auto told_margin = 500ms;
/// The limit holds from this time on after it was first stated.
inline constexpr auto notice_period = 3s;
inline constexpr auto answer_time = 40ms;

/// What one simulation plays.
struct scenario
{
    std::size_t daemons = 5;
    std::size_t servers = 3;
    std::size_t limited_servers = 3;
    double limit = 1;
    double later_limit = 1; ///< From the middle of the limited time on.
    double requests_per_second = 100; ///< Of the whole fleet.
    bool clock_steps = false;
    bool different_views = false;
    bool cut = false;
    bool pauses = false;
    bool restarts = false;
    bool failures = false; ///< Requests are sent again, and servers probed.
    std::uint32_t seed = 1;
};

inline constexpr auto limit_starts = 3s;
inline constexpr auto limit_changes = 13s;
inline constexpr auto limit_ends = 23s;
inline constexpr auto simulated_time = 28s;

struct arrival
{
    time_point at;
    bool counts = false; ///< Its daemon was told of the limit before.
};

struct daemon
{
    std::unique_ptr<dispatcher> decisions;
    std::string name;
    std::chrono::milliseconds clock_offset{0};
    std::map<std::size_t, time_point> told_at; ///< By server.
    time_point frozen_until = start;
    std::size_t waiting = 0; ///< Requests that arrived while it was frozen.
};

struct answer
{
    time_point at;
    std::size_t daemon = 0;
    std::size_t server = 0;
    load_reservation reservation;
    std::optional<double> limit; ///< As stated when the request arrived.
    bool failed = false;
    placement_request request;
};

struct notice
{
    time_point at;
    std::size_t daemon = 0;
    rate_limit_notice content;
};

/// Plays one scenario and counts the arrivals at each backend server.
class simulated_fleet
{
public:
    explicit simulated_fleet(scenario const& played)
        : played_{played}, random_{played.seed}, arrivals_(played.servers)
    {
        for (std::size_t index = 0; index < played.daemons; ++index) {
            names_.push_back("10.0.0." + std::to_string(index) + ":7340");
        }
        for (std::size_t index = 0; index < played.daemons; ++index) {
            daemons_.emplace_back();
            daemons_.back().name = names_[index];
            daemons_.back().clock_offset =
                std::chrono::milliseconds{number(-50, 50)};
            restart(index);
        }
    }

    void run()
    {
        for (now_ = start; now_ < start + simulated_time; now_ += step) {
            disturb();
            deliver();
            auto const mean = played_.requests_per_second *
                              std::chrono::duration<double>{step}.count();
            auto const count = std::poisson_distribution<int>{mean}(random_);
            for (int made = 0; made < count; ++made) {
                arrive(static_cast<std::size_t>(
                    number(0, static_cast<int>(played_.daemons) - 1)));
            }
        }
    }

    /// \return most arrivals above what the limit allows in any window; zero
    ///     or less if the limits are kept
    [[nodiscard]] double excess() const
    {
        double worst = -1e9;
        for (std::size_t server = 0; server < played_.limited_servers;
             ++server) {
            std::deque<time_point> recent;
            for (auto const& item : arrivals_[server]) {
                if (!item.counts || item.at > start + limit_ends ||
                    item.at < start + limit_starts + notice_period) {
                    continue;
                }
                recent.push_back(item.at);
                while (item.at - recent.front() > window) {
                    recent.pop_front();
                }
                worst = std::max(worst, static_cast<double>(recent.size()) -
                                            allowed(item.at));
            }
        }
        return worst;
    }

    /// \return requests that reached the limited servers while the limit did
    ///     not change, divided by the number that it would have allowed
    [[nodiscard]] double use() const
    {
        auto const from = start + limit_starts + notice_period;
        auto const to = start + limit_changes;
        std::size_t used = 0;
        for (std::size_t server = 0; server < played_.limited_servers;
             ++server) {
            used += static_cast<std::size_t>(std::ranges::count_if(
                arrivals_[server], [&](arrival const& item) {
                    return item.at >= from && item.at < to;
                }));
        }
        return static_cast<double>(used) /
               (played_.limit * static_cast<double>(played_.limited_servers) *
                std::chrono::duration<double>{to - from}.count());
    }

    /// \return requests that reached a server in the last seconds, after the
    ///     limits have ended
    [[nodiscard]] std::size_t arrivals_at_the_end(std::size_t server) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(arrivals_[server], [](arrival const& item) {
                return item.at > start + simulated_time - 2s;
            }));
    }

    /// \return requests that found no server although one has no limit
    [[nodiscard]] std::size_t unplaced() const { return unplaced_; }

private:
    int number(int low, int high)
    {
        return std::uniform_int_distribution<int>{low, high}(random_);
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution{probability}(random_);
    }

    [[nodiscard]] double allowed(time_point at) const
    {
        constexpr double factor = 1.5;
        constexpr double slack = 5;
        auto const spans_change = at < start + limit_changes + window + 1s;
        auto const limit = at < start + limit_changes ? played_.limit
                           : spans_change
                               ? std::max(played_.limit, played_.later_limit)
                               : played_.later_limit;
        return factor * limit * window.count() + slack;
    }

    [[nodiscard]] std::optional<double> stated(std::size_t server) const
    {
        auto const elapsed = now_ - start;
        if (server >= played_.limited_servers || elapsed < limit_starts ||
            elapsed >= limit_ends) {
            return std::nullopt;
        }
        return elapsed < limit_changes ? played_.limit : played_.later_limit;
    }

    static std::string id_of(std::size_t server)
    {
        return "server-" + std::to_string(server);
    }

    void restart(std::size_t index)
    {
        auto& restarted = daemons_[index];
        restarted.decisions =
            std::make_unique<dispatcher>(dispatcher_settings{"dc", {}, {}});
        restarted.told_at.clear();
        for (std::size_t server = 0; server < played_.servers; ++server) {
            backend_server_entry entry;
            entry.id = id_of(server);
            entry.service = "s";
            entry.address = "10.0.1.1:80";
            entry.data_centre = "dc";
            entry.slots = 8;
            restarted.decisions->apply(entry, now_);
        }
        restarted.decisions->set_fleet({names_[index], names_, names_});
        restarted.decisions->set_cell(cell_containing(names_, names_[index]));
    }

    /// Lets one daemon believe that some of the others do not exist.
    void change_view(std::size_t index)
    {
        auto known = names_;
        if (chance(0.5)) {
            std::erase_if(known, [&](std::string const& name) {
                return name != names_[index] && chance(0.1);
            });
        }
        daemons_[index].decisions->set_fleet({names_[index], known, known});
    }

    /// Cuts every fourth daemon off from the others, which hear most of the
    /// fleet and no longer count them.
    void cut_off_some()
    {
        std::vector<std::string> rest;
        for (std::size_t index = 0; index < names_.size(); ++index) {
            if (index % 4 != 0) {
                rest.push_back(names_[index]);
            }
        }
        for (std::size_t index = 0; index < names_.size(); ++index) {
            auto const sharers = index % 4 != 0 ? rest : names_;
            daemons_[index].decisions->set_fleet(
                {names_[index], names_, sharers});
        }
    }

    void disturb()
    {
        auto const elapsed = now_ - start;
        if (played_.cut && elapsed == 5s) {
            cut_off_some();
        }
        for (std::size_t index = 0; index < daemons_.size(); ++index) {
            auto& daemon = daemons_[index];
            if (played_.different_views && chance(0.001)) {
                change_view(index);
            }
            if (played_.clock_steps && elapsed == 8s && index % 3 == 0) {
                daemon.clock_offset += index % 2 == 0 ? 2000ms : -2000ms;
            }
            if (played_.clock_steps && elapsed == 12s && index % 3 == 0) {
                daemon.clock_offset -= index % 2 == 0 ? 2000ms : -2000ms;
            }
            if (played_.pauses && chance(0.0005)) {
                daemon.frozen_until = now_ + 2s;
            }
            if (played_.restarts && chance(0.0003)) {
                restart(index);
            }
            if (now_ >= daemon.frozen_until && elapsed % tick == 0ms) {
                daemon.decisions->set_time_of_day(
                    start_of_day + (now_ - start) + daemon.clock_offset, now_);
                for (; daemon.waiting > 0; --daemon.waiting) {
                    arrive(index);
                }
                probe(index);
            }
        }
    }

    void probe(std::size_t index)
    {
        for (auto const& entry :
             daemons_[index].decisions->take_due_probes(now_)) {
            auto const server = static_cast<std::size_t>(
                std::stoul(entry.id.substr(entry.id.find('-') + 1)));
            note_arrival(index, server);
        }
    }

    void arrive(std::size_t index)
    {
        if (now_ < daemons_[index].frozen_until) {
            ++daemons_[index].waiting;
            return;
        }
        placement_request request;
        request.service = "s";
        request.tie_break_hash = random_();
        send(index, std::move(request));
    }

    void send(std::size_t index, placement_request request)
    {
        auto& decisions = *daemons_[index].decisions;
        auto const chosen = decisions.choose(request, now_);
        if (!chosen) {
            unplaced_ += request.excluded_servers.empty() ? 1 : 0;
            return;
        }
        auto const server =
            static_cast<std::size_t>(std::stoul(chosen->backend_server.substr(
                chosen->backend_server.find('-') + 1)));
        note_arrival(index, server);
        answer sent{now_ + answer_time,
                    index,
                    server,
                    decisions.on_sent(request, *chosen, now_),
                    stated(server),
                    played_.failures && chance(0.3),
                    std::move(request)};
        sent.request.excluded_servers.push_back(chosen->backend_server);
        answers_.push_back(std::move(sent));
    }

    void note_arrival(std::size_t index, std::size_t server)
    {
        auto const& told = daemons_[index].told_at;
        auto const found = told.find(server);
        arrivals_[server].push_back(
            {now_, found != told.end() && now_ >= found->second + told_margin});
    }

    void deliver()
    {
        while (!answers_.empty() && answers_.front().at <= now_) {
            auto const item = std::move(answers_.front());
            answers_.pop_front();
            finish(item);
        }
        while (!notices_.empty() && notices_.front().at <= now_) {
            std::ignore =
                daemons_[notices_.front().daemon].decisions->merge_rate_limit(
                    notices_.front().content, now_);
            notices_.pop_front();
        }
    }

    void finish(answer const& item)
    {
        auto& daemon = daemons_[item.daemon];
        auto& decisions = *daemon.decisions;
        auto change = rate_limit_change::none;
        if (item.limit) {
            daemon.told_at.try_emplace(item.server, now_);
            change =
                decisions.on_rate_limit(id_of(item.server), *item.limit, now_);
        } else {
            change = decisions.on_no_rate_limit(id_of(item.server),
                                                item.reservation.sent_at, now_);
        }
        decisions.on_send_ended(
            item.reservation,
            item.failed ? send_outcome::failed : send_outcome::succeeded, now_);
        if (change != rate_limit_change::none) {
            announce(item.daemon);
        }
        if (item.failed) {
            if (auto* const health =
                    decisions.health_tracker_of(id_of(item.server))) {
                health->on_connection_lost(now_);
            }
            send(item.daemon, item.request);
        }
    }

    /// Tells the other daemons of a change. A tenth of the messages is lost.
    void announce(std::size_t from)
    {
        auto const changes =
            daemons_[from].decisions->rate_limits_changed_since(now_ - 1ms,
                                                                now_);
        for (std::size_t to = 0; to < daemons_.size(); ++to) {
            for (auto const& content : changes) {
                if (to != from && chance(0.9)) {
                    notices_.push_back({now_ + 100ms, to, content});
                }
            }
        }
    }

    scenario played_;
    std::mt19937 random_;
    std::vector<std::string> names_;
    std::vector<daemon> daemons_;
    std::vector<std::vector<arrival>> arrivals_;
    std::deque<answer> answers_;
    std::deque<notice> notices_;
    time_point now_ = start;
    std::size_t unplaced_ = 0;
};

} // namespace medlarstall::dispatch::simulation

#endif
