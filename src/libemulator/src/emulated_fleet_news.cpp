// What emulated daemons tell each other, and what they do by the clock.

#include "emulated_fleet.hpp"

#include <utility>

namespace medlarstall::emulator {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};

} // namespace

template<class Tell>
void emulated_fleet::for_each_peer(std::size_t of, Tell tell)
{
    for (std::size_t at = 0; at < daemons_.size(); ++at) {
        if (at != of && daemons_[at].cell == daemons_[of].cell) {
            tell(*daemons_[at].decisions);
        }
    }
}

/// Tells the other daemons of a prompt: at once if it is new to its server.
void emulated_fleet::tell_prompt(std::size_t from, prompt_note note,
                                 bool is_new)
{
    if (!is_new) {
        daemons_[from].untold.push_back(std::move(note));
        return;
    }
    events_.after(what_.hop, [this, from, note = std::move(note)] {
        for_each_peer(from, [&](dispatch::dispatcher& to) {
            to.merge_prompt(note.server, note.sent, events_.now());
        });
    });
}

void emulated_fleet::tick()
{
    auto const now = events_.now();
    for (std::size_t at = 0; at < daemons_.size(); ++at) {
        auto& decisions = *daemons_[at].decisions;
        decisions.expire(now, [](std::string const&) {});
        for (auto const& entry : decisions.due_probes(now)) {
            events_.after(2 * what_.hop,
                          [this, at, id = entry.id] { probe(at, id); });
        }
    }
    events_.after(tick_interval, [this] { tick(); });
}

void emulated_fleet::probe(std::size_t from, std::string const& server)
{
    auto* const state = daemons_[from].decisions->health_of(server);
    if (state == nullptr) {
        return;
    }
    if (servers_.is_up(server)) {
        state->on_probe_good(events_.now());
    } else {
        state->on_probe_failed(events_.now());
    }
}

void emulated_fleet::tell_news()
{
    for (std::size_t from = 0; from < daemons_.size(); ++from) {
        auto loads = daemons_[from].decisions->own_loads(events_.now());
        auto notes = std::exchange(daemons_[from].untold, {});
        events_.after(what_.hop, [this, from, loads = std::move(loads),
                                  notes = std::move(notes)] {
            for_each_peer(from, [&](dispatch::dispatcher& to) {
                to.merge_loads(std::to_string(from), loads, events_.now());
                for (auto const& note : notes) {
                    to.merge_prompt(note.server, note.sent, events_.now());
                }
            });
        });
    }
    events_.after(what_.news_interval, [this] { tell_news(); });
}

} // namespace medlarstall::emulator
