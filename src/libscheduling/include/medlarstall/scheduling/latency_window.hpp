#ifndef MEDLARSTALL_SCHEDULING_LATENCY_WINDOW_HPP
#define MEDLARSTALL_SCHEDULING_LATENCY_WINDOW_HPP

#include <medlarstall/support/time.hpp>

#include <array>
#include <cstddef>

namespace medlarstall::scheduling {

/// The last few latencies of one kind at one backend server.
class latency_window
{
public:
    /// \param latency newest observation; replaces the oldest
    void add(duration latency);

    /// \return the median, or zero if nothing was observed
    [[nodiscard]] duration median() const;

private:
    static constexpr std::size_t capacity = 31;

    std::array<duration, capacity> latencies_{};
    std::size_t count_ = 0;
    std::size_t next_ = 0;
};

} // namespace medlarstall::scheduling

#endif
