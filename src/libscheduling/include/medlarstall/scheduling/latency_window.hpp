#ifndef MEDLARSTALL_SCHEDULING_LATENCY_WINDOW_HPP
#define MEDLARSTALL_SCHEDULING_LATENCY_WINDOW_HPP

#include <medlarstall/support/time.hpp>

#include <array>
#include <cstddef>

namespace medlarstall::scheduling {

/// Sliding window over the most recent latencies of one kind at one backend
/// server.
class latency_window
{
public:
    /// \param latency newest observation; replaces the oldest when full
    void add(duration latency);

    /// \return median of the window, or zero if it is empty
    [[nodiscard]] duration median() const;

private:
    static constexpr std::size_t capacity = 31;

    std::array<duration, capacity> latencies_{};
    std::size_t count_ = 0;
    std::size_t next_index_ = 0;
};

} // namespace medlarstall::scheduling

#endif
