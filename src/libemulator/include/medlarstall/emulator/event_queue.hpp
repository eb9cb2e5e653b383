#ifndef MEDLARSTALL_EMULATOR_EVENT_QUEUE_HPP
#define MEDLARSTALL_EMULATOR_EVENT_QUEUE_HPP

#include <medlarstall/support/time.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace medlarstall::emulator {

/// Virtual clock of a discrete-event simulation. Runs scheduled actions in the
/// order of their times; actions with equal times run in the order in which
/// they were added.
class event_queue
{
public:
    /// Virtual time of a new queue.
    static constexpr time_point initial_time{std::chrono::hours{1}};

    /// \return the current virtual time
    [[nodiscard]] time_point now() const { return now_; }

    /// Schedules an action relative to the current virtual time.
    /// \param delay time from now until the action runs
    /// \param action called once when the delay has passed
    void schedule_after(duration delay, std::function<void()> action)
    {
        events_.push({now_ + delay, next_sequence_++, std::move(action)});
    }

    /// Schedules an action at a point in virtual time.
    /// \param time when the action runs; a time in the past means now
    /// \param action called once at that time
    void schedule_at(time_point time, std::function<void()> action)
    {
        schedule_after(std::max(duration{0}, time - now_), std::move(action));
    }

    /// Runs all actions that are due and advances the clock to \p end.
    /// \param end virtual time of the last actions that run
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            auto event = std::move(const_cast<scheduled_event&>(events_.top()));
            events_.pop();
            now_ = event.time;
            event.action();
        }
        now_ = end;
    }

private:
    struct scheduled_event
    {
        time_point time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(scheduled_event const& other) const
        {
            return std::pair{time, sequence} >
                   std::pair{other.time, other.sequence};
        }
    };

    time_point now_ = initial_time;
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<scheduled_event> events_;
};

} // namespace medlarstall::emulator

#endif
