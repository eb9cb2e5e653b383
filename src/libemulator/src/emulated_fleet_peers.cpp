// Messages between emulated daemons, and their periodic tasks.

#include "emulated_fleet.hpp"

#include <utility>

namespace medlarstall::emulator {

namespace {

/// Interval at which daemons expire entries and look for due probes.
constexpr std::chrono::milliseconds periodic_interval{50};

} // namespace

template<class Visit>
void emulated_fleet::for_each_peer(std::size_t index, Visit visit)
{
    for (std::size_t other = 0; other < daemons_.size(); ++other) {
        if (other != index && daemons_[other].cell == daemons_[index].cell) {
            visit(*daemons_[other].dispatcher);
        }
    }
}

/// Tells the peers in the cell of \p from which prompt a server now holds. An
/// update that is new for its server is sent at once, any other one with the
/// next periodic update.
void emulated_fleet::announce_prompt(std::size_t from, prompt_update update,
                                     bool is_new)
{
    if (!is_new) {
        daemons_[from].pending_updates.push_back(std::move(update));
        return;
    }
    events_.schedule_after(
        spec_.hop_delay, [this, from, update = std::move(update)] {
            for_each_peer(from, [&](dispatch::dispatcher& to) {
                to.merge_prompt(update.server, update.prompt, events_.now());
            });
        });
}

void emulated_fleet::run_periodic_tasks()
{
    auto const now = events_.now();
    for (std::size_t index = 0; index < daemons_.size(); ++index) {
        auto& dispatcher = *daemons_[index].dispatcher;
        dispatcher.expire(now, [](std::string const&) {});
        for (auto const& entry : dispatcher.take_due_probes(now)) {
            events_.schedule_after(
                2 * spec_.hop_delay,
                [this, index, id = entry.id] { probe(index, id); });
        }
    }
    events_.schedule_after(periodic_interval, [this] { run_periodic_tasks(); });
}

void emulated_fleet::probe(std::size_t from, std::string const& server)
{
    auto* const state = daemons_[from].dispatcher->health_tracker_of(server);
    if (state == nullptr) {
        return;
    }
    if (servers_.is_up(server)) {
        state->on_probe_succeeded(events_.now());
    } else {
        state->on_probe_failed(events_.now());
    }
}

void emulated_fleet::send_peer_updates()
{
    for (std::size_t from = 0; from < daemons_.size(); ++from) {
        auto loads = daemons_[from].dispatcher->own_loads(events_.now());
        auto updates = std::exchange(daemons_[from].pending_updates, {});
        events_.schedule_after(spec_.hop_delay, [this, from,
                                                 loads = std::move(loads),
                                                 updates = std::move(updates)] {
            for_each_peer(from, [&](dispatch::dispatcher& to) {
                to.merge_loads(std::to_string(from), loads, events_.now());
                for (auto const& update : updates) {
                    to.merge_prompt(update.server, update.prompt,
                                    events_.now());
                }
            });
        });
    }
    events_.schedule_after(spec_.peer_update_interval,
                           [this] { send_peer_updates(); });
}

} // namespace medlarstall::emulator
