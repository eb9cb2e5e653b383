#ifndef MEDLARSTALL_TESTS_ROOM_SIMULATION_HPP
#define MEDLARSTALL_TESTS_ROOM_SIMULATION_HPP

// A fleet of daemons in virtual time, with backend servers that let few
// requests wait, and crash if they have to reject many in a second.

#include <medlarstall/dispatch/dispatcher.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::dispatch::room_simulation {

using namespace std::chrono_literals;

inline constexpr time_point start{std::chrono::hours{1}};
inline constexpr shared_time start_of_day{std::chrono::hours{500000}};
inline constexpr auto step = 5ms;
inline constexpr auto update_interval = 200ms;
inline constexpr auto update_delay = 50ms;
inline constexpr auto answer_delay = 5ms;
/// The servers state their limit from then to then, and let fewer requests wait
/// from the end of the notice period on.
inline constexpr auto need_begins = 2s;
inline constexpr auto notice_period = 3s;
inline constexpr auto need_ends = 14s;
inline constexpr auto simulated_time = 18s;
inline constexpr auto crash_time = 3s;

/// What one simulation plays.
struct scenario
{
    std::size_t daemons = 6;
    std::size_t servers = 10;
    std::uint32_t slots = 4;
    std::size_t waiting = 8;       ///< Room for requests that wait.
    std::size_t later_waiting = 0; ///< The same while the servers are in need.
    double rejections = 10;        ///< That a server survives in a second.
    double load = 1.2;             ///< Of what the servers can run.
    std::chrono::milliseconds work{200};
    bool states_limit = true;  ///< The daemons are told of the limit.
    bool uneven = false;       ///< Half of the requests come to one daemon.
    bool restarts = false;     ///< Daemons forget what they know.
    bool lost_updates = false; ///< Half of what the daemons tell each other.
    std::uint32_t seed = 1;
};

/// Plays one scenario, and counts crashes and answers.
class simulated_fleet
{
public:
    explicit simulated_fleet(scenario const& played)
        : played_{played}, random_{played.seed}, servers_(played.servers)
    {
        for (std::size_t index = 0; index < played.daemons; ++index) {
            names_.push_back("10.0.0." + std::to_string(index) + ":7340");
        }
        daemons_.resize(played.daemons);
        for (std::size_t index = 0; index < played.daemons; ++index) {
            restart(index);
        }
    }

    void run()
    {
        auto const capacity =
            played_.slots * static_cast<double>(played_.servers) /
            std::chrono::duration<double>{played_.work}.count();
        auto const mean = capacity * played_.load *
                          std::chrono::duration<double>{step}.count();
        for (now_ = start; now_ < start + simulated_time; now_ += step) {
            deliver();
            tick();
            auto const count = std::poisson_distribution<int>{mean}(random_);
            for (int made = 0; made < count; ++made) {
                ++requests_;
                arrive(played_.uneven && chance(0.5) ? 0 : any_daemon());
            }
        }
    }

    /// \return crashes while the servers were in need, after the notice period
    [[nodiscard]] std::size_t crashes() const { return crashes_; }

    /// \return share of the requests that were served
    [[nodiscard]] double served_share() const
    {
        return static_cast<double>(served_) / static_cast<double>(requests_);
    }

private:
    struct server
    {
        std::size_t running = 0;
        std::size_t waiting = 0;
        std::deque<time_point> rejections; ///< Of the last second.
        time_point down_until = start;
        std::size_t crashes = 0;
    };
    struct event
    {
        time_point at;
        std::size_t daemon;
        std::size_t server;
        std::size_t server_crashes; ///< When the request arrived.
        std::size_t life;           ///< Of the daemon.
        bool rejected;
        load_reservation reservation;
    };
    struct daemon
    {
        std::unique_ptr<dispatcher> decisions;
        std::size_t life = 0;
    };
    struct update
    {
        time_point at;
        std::size_t from;
        std::vector<server_load_entry> loads;
    };

    bool chance(double probability)
    {
        return std::bernoulli_distribution{probability}(random_);
    }

    std::size_t any_daemon()
    {
        return std::uniform_int_distribution<std::size_t>{0, played_.daemons -
                                                                 1}(random_);
    }

    static std::string id_of(std::size_t server)
    {
        return "server-" + std::to_string(server);
    }

    [[nodiscard]] bool in_need() const
    {
        return now_ >= start + need_begins && now_ < start + need_ends;
    }

    void restart(std::size_t index)
    {
        auto& restarted = daemons_[index];
        end_requests_of(index);
        ++restarted.life;
        restarted.decisions =
            std::make_unique<dispatcher>(dispatcher_settings{"dc", {}, {}});
        for (std::size_t number = 0; number < played_.servers; ++number) {
            backend_server_entry entry;
            entry.id = id_of(number);
            entry.service = "s";
            entry.address = "10.0.1.1:80";
            entry.data_centre = "dc";
            entry.slots = played_.slots;
            restarted.decisions->apply(entry, now_);
        }
        restarted.decisions->set_fleet({names_[index], names_, names_});
        restarted.decisions->set_cell(cell_containing(names_, names_[index]));
        restarted.decisions->set_time_of_day(start_of_day + (now_ - start),
                                             now_);
    }

    /// Its connections are closed, so that the servers stop running them.
    void end_requests_of(std::size_t index)
    {
        std::erase_if(events_, [&](event const& item) {
            auto& target = servers_[item.server];
            auto const is_its = item.daemon == index;
            if (is_its && !item.rejected &&
                target.crashes == item.server_crashes) {
                target.waiting > 0 ? --target.waiting : --target.running;
            }
            return is_its;
        });
    }

    void tick()
    {
        if ((now_ - start) % update_interval != 0ms) {
            return;
        }
        for (std::size_t index = 0; index < daemons_.size(); ++index) {
            if (played_.restarts && chance(0.01)) {
                restart(index);
            }
            auto& decisions = *daemons_[index].decisions;
            decisions.set_time_of_day(start_of_day + (now_ - start), now_);
            updates_.push_back(
                {now_ + update_delay, index, decisions.own_loads(now_)});
        }
    }

    void deliver()
    {
        for (; !updates_.empty() && updates_.front().at <= now_;
             updates_.pop_front()) {
            auto const& item = updates_.front();
            for (std::size_t to = 0; to < daemons_.size(); ++to) {
                if (to != item.from && !(played_.lost_updates && chance(0.5))) {
                    daemons_[to].decisions->merge_loads(names_[item.from],
                                                        item.loads, now_);
                }
            }
        }
        auto const due = std::partition(
            events_.begin(), events_.end(),
            [this](event const& item) { return item.at > now_; });
        std::vector<event> ended{std::make_move_iterator(due),
                                 std::make_move_iterator(events_.end())};
        events_.erase(due, events_.end());
        for (auto& item : ended) {
            finish(item);
        }
    }

    void arrive(std::size_t index)
    {
        placement_request request;
        request.service = "s";
        request.tie_break_hash = random_();
        auto& decisions = *daemons_[index].decisions;
        auto const chosen = decisions.choose(request, now_);
        if (!chosen) {
            return;
        }
        auto const number = std::stoul(chosen->backend_server.substr(7));
        auto& target = servers_[number];
        event sent{now_ + answer_delay,
                   index,
                   number,
                   target.crashes,
                   daemons_[index].life,
                   true,
                   decisions.on_sent(request, *chosen, now_)};
        auto const room =
            in_need() && now_ >= start + need_begins + notice_period
                ? played_.later_waiting
                : played_.waiting;
        if (now_ < target.down_until) {
            // Refused at once.
        } else if (target.running < played_.slots) {
            ++target.running;
            sent.rejected = false;
            sent.at = now_ + work();
        } else if (target.waiting < room) {
            ++target.waiting;
            sent.rejected = false;
            sent.at = now_ + work() + played_.work;
        } else {
            reject(target);
        }
        events_.push_back(std::move(sent));
    }

    duration work()
    {
        auto const mean = std::chrono::duration<double>{played_.work};
        return std::chrono::duration_cast<duration>(
            mean * std::exponential_distribution<>{1.0}(random_));
    }

    void reject(server& target)
    {
        auto& recent = target.rejections;
        recent.push_back(now_);
        while (now_ - recent.front() >= 1s) {
            recent.pop_front();
        }
        auto const fragile =
            in_need() && now_ >= start + need_begins + notice_period;
        if (fragile &&
            static_cast<double>(recent.size()) > played_.rejections) {
            ++crashes_;
            ++target.crashes;
            target.running = target.waiting = 0;
            target.down_until = now_ + crash_time;
            recent.clear();
        }
    }

    void finish(event& item)
    {
        auto& target = servers_[item.server];
        auto const lost = target.crashes != item.server_crashes;
        if (!item.rejected && !lost) {
            target.waiting > 0 ? --target.waiting : --target.running;
        }
        served_ += !item.rejected && !lost ? 1 : 0;
        auto& receiver = daemons_[item.daemon];
        if (receiver.life != item.life) {
            return;
        }
        auto& decisions = *receiver.decisions;
        auto const answered = !lost && now_ >= target.down_until;
        if (answered && in_need() && played_.states_limit) {
            decisions.on_rejection_limit(id_of(item.server), played_.rejections,
                                         now_);
        } else if (answered) {
            decisions.on_no_rejection_limit(id_of(item.server),
                                            item.reservation.sent_at, now_);
        }
        if (!answered) {
            if (auto* const health =
                    decisions.health_tracker_of(id_of(item.server))) {
                health->on_connection_lost(now_);
            }
        }
        decisions.on_send_ended(item.reservation,
                                !answered       ? send_outcome::failed
                                : item.rejected ? send_outcome::rejected
                                                : send_outcome::succeeded,
                                now_);
    }

    scenario played_;
    std::mt19937 random_;
    std::vector<std::string> names_;
    std::vector<daemon> daemons_;
    std::vector<server> servers_;
    std::vector<event> events_;
    std::deque<update> updates_;
    time_point now_ = start;
    std::size_t requests_ = 0;
    std::size_t served_ = 0;
    std::size_t crashes_ = 0;
};

} // namespace medlarstall::dispatch::room_simulation

#endif
