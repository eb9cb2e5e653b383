#ifndef MEDLARSTALL_TESTS_VIRTUAL_FLEET_HPP
#define MEDLARSTALL_TESTS_VIRTUAL_FLEET_HPP

#include <medlarstall/membership/live_view.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::membership {

/// Live views of many daemons in virtual time, with messages that take a fixed
/// time and links that can be cut in one direction.
class virtual_fleet
{
public:
    static constexpr std::chrono::milliseconds step{50};

    explicit virtual_fleet(std::size_t daemons, std::size_t data_centres = 4)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            listed.push_back(
                {.id = name(i),
                 .address = "10.0.0.1",
                 .data_centre = "dc" + std::to_string(i % data_centres)});
        }
        views.resize(daemons);
        for (std::size_t i = 0; i < daemons; ++i) {
            start(i);
        }
    }

    static std::string name(std::size_t i)
    {
        return "daemon" + std::to_string(1000 + i);
    }

    void start(std::size_t i)
    {
        views[i].emplace(live_view_settings{.daemon = name(i)}, ++starts, now);
        views[i]->on_instances(listed, now);
    }

    void stop(std::size_t i) { views[i].reset(); }

    /// Cuts or heals the direction from one daemon to another.
    void cut(std::size_t from, std::size_t to, bool is_cut)
    {
        auto const key = std::pair{name(from), name(to)};
        is_cut ? void(cuts.insert(key)) : void(cuts.erase(key));
    }

    /// Gives the list to all daemons.
    void publish_list()
    {
        for (auto& view : views) {
            if (view) {
                view->on_instances(listed, now);
            }
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (auto const end = now + time; now < end; now += step) {
            run_step();
        }
    }

    /// \return true if every running daemon sees exactly \p expected as live
    [[nodiscard]] bool agrees(std::set<std::size_t> const& expected) const
    {
        for (std::size_t i = 0; i < views.size(); ++i) {
            for (std::size_t j = 0; views[i] && j < views.size(); ++j) {
                if (views[i]->is_live(name(j)) != expected.contains(j)) {
                    return false;
                }
            }
        }
        return true;
    }

    [[nodiscard]] std::set<std::size_t> running() const
    {
        std::set<std::size_t> numbers;
        for (std::size_t i = 0; i < views.size(); ++i) {
            if (views[i]) {
                numbers.insert(i);
            }
        }
        return numbers;
    }

    std::vector<daemon_info> listed;
    std::vector<std::optional<live_view>> views;
    std::set<std::pair<std::string, std::string>> cuts;
    std::set<std::size_t> paused;
    std::function<void(std::size_t, outgoing_heartbeat const&)> on_send;
    time_point now{std::chrono::hours{1}};
    std::uint64_t starts = 0;
    std::size_t losses = 0; ///< Events of loss at any daemon.

private:
    void run_step()
    {
        auto const due = std::exchange(in_flight_, {});
        for (auto const& one : due) {
            deliver(one);
        }
        for (std::size_t i = 0; i < views.size(); ++i) {
            if (!views[i] || paused.contains(i)) {
                continue;
            }
            auto actions = views[i]->tick(now);
            for (auto const& event : actions.events) {
                losses += event.what == membership_event::kind::lost ? 1 : 0;
            }
            for (auto& one : actions.heartbeats) {
                if (on_send) {
                    on_send(i, one);
                }
                in_flight_.push_back(std::move(one));
            }
        }
    }

    void deliver(outgoing_heartbeat const& one)
    {
        auto const to = std::stoul(one.to.substr(6)) - 1000;
        if (views[to] && !paused.contains(to) &&
            !cuts.contains({one.message.from, one.to})) {
            views[to]->on_heartbeat(one.message, now);
        }
    }

    std::vector<outgoing_heartbeat> in_flight_;
};

} // namespace medlarstall::membership

#endif
