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

/// Simulates the live views of many daemons in virtual time. Messages take one
/// step to arrive, and the network between two daemons can be interrupted in
/// one direction. The daemons are identified by their index.
class virtual_fleet
{
public:
    static constexpr std::chrono::milliseconds step{50};

    explicit virtual_fleet(std::size_t daemons, std::size_t data_centres = 4)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            listed.push_back(
                {.id = daemon_id(i),
                 .address = "10.0.0.1",
                 .data_centre = "dc" + std::to_string(i % data_centres)});
        }
        views.resize(daemons);
        for (std::size_t i = 0; i < daemons; ++i) {
            start(i);
        }
    }

    static std::string daemon_id(std::size_t i)
    {
        return "daemon" + std::to_string(1000 + i);
    }

    void start(std::size_t i)
    {
        views[i].emplace(live_view_settings{.daemon_id = daemon_id(i)},
                         ++starts, now);
        views[i]->on_daemon_list(listed, now);
    }

    void stop(std::size_t i) { views[i].reset(); }

    /// Interrupts or restores the network from one daemon to another. The
    /// opposite direction is not changed.
    void set_interrupted(std::size_t from, std::size_t to, bool interrupted)
    {
        auto const direction = std::pair{daemon_id(from), daemon_id(to)};
        interrupted ? void(interruptions.insert(direction))
                    : void(interruptions.erase(direction));
    }

    /// Passes the instance list to all running daemons.
    void publish_instance_list()
    {
        for (auto& view : views) {
            if (view) {
                view->on_daemon_list(listed, now);
            }
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (auto const end = now + time; now < end; now += step) {
            run_step();
        }
    }

    /// \param expected indices of the daemons that should be live
    /// \return true if in the view of every running daemon exactly these are
    ///     live
    [[nodiscard]] bool agrees(std::set<std::size_t> const& expected) const
    {
        for (std::size_t i = 0; i < views.size(); ++i) {
            for (std::size_t j = 0; views[i] && j < views.size(); ++j) {
                if (views[i]->is_live(daemon_id(j)) != expected.contains(j)) {
                    return false;
                }
            }
        }
        return true;
    }

    /// \return indices of the running daemons
    [[nodiscard]] std::set<std::size_t> running() const
    {
        std::set<std::size_t> indices;
        for (std::size_t i = 0; i < views.size(); ++i) {
            if (views[i]) {
                indices.insert(i);
            }
        }
        return indices;
    }

    std::vector<daemon_info> listed;
    std::vector<std::optional<live_view>> views;
    std::set<std::pair<std::string, std::string>> interruptions;
    std::set<std::size_t> paused; ///< Daemons that neither run nor receive.
    /// Called with the index of the sender and each heartbeat, if set.
    std::function<void(std::size_t, outgoing_heartbeat const&)> on_send;
    time_point now{std::chrono::hours{1}};
    std::uint64_t starts = 0;    ///< Incarnation of the last daemon started.
    std::size_t loss_events = 0; ///< Number of lost events at all daemons.

private:
    void run_step()
    {
        auto const due = std::exchange(in_flight_, {});
        for (auto const& outgoing : due) {
            deliver(outgoing);
        }
        for (std::size_t i = 0; i < views.size(); ++i) {
            if (!views[i] || paused.contains(i)) {
                continue;
            }
            auto actions = views[i]->tick(now);
            for (auto const& event : actions.events) {
                loss_events +=
                    event.change == membership_event::kind::lost ? 1 : 0;
            }
            for (auto& outgoing : actions.heartbeats) {
                if (on_send) {
                    on_send(i, outgoing);
                }
                in_flight_.push_back(std::move(outgoing));
            }
        }
    }

    void deliver(outgoing_heartbeat const& outgoing)
    {
        auto const to = std::stoul(outgoing.to.substr(6)) - 1000;
        if (views[to] && !paused.contains(to) &&
            !interruptions.contains({outgoing.message.from, outgoing.to})) {
            views[to]->on_heartbeat(outgoing.message, now);
        }
    }

    std::vector<outgoing_heartbeat> in_flight_;
};

} // namespace medlarstall::membership

#endif
