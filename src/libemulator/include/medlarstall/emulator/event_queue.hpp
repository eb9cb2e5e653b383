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

/// Virtual time: runs actions in order of their times, equal ones in the
/// order in which they were added.
class event_queue
{
public:
    /// Virtual time at the beginning.
    static constexpr time_point start{std::chrono::hours{1}};

    /// \return the current virtual time
    [[nodiscard]] time_point now() const { return now_; }

    /// \param delay from now
    /// \param action what to do then
    void after(duration delay, std::function<void()> action)
    {
        events_.push({now_ + delay, next_++, std::move(action)});
    }

    /// \param time when to act, not before now
    /// \param action what to do then
    void at(time_point time, std::function<void()> action)
    {
        after(std::max(duration{0}, time - now_), std::move(action));
    }

    /// Runs all events up to a time.
    /// \param end last time that is run
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            auto event = std::move(const_cast<event_type&>(events_.top()));
            events_.pop();
            now_ = event.time;
            event.action();
        }
        now_ = end;
    }

private:
    struct event_type
    {
        time_point time;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(event_type const& other) const
        {
            return std::pair{time, number} >
                   std::pair{other.time, other.number};
        }
    };

    time_point now_ = start;
    std::uint64_t next_ = 0;
    std::priority_queue<event_type> events_;
};

} // namespace medlarstall::emulator

#endif
