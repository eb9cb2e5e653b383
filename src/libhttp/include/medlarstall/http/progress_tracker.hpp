#ifndef MEDLARSTALL_HTTP_PROGRESS_TRACKER_HPP
#define MEDLARSTALL_HTTP_PROGRESS_TRACKER_HPP

#include <medlarstall/support/time.hpp>

#include <cstddef>
#include <cstdint>

namespace medlarstall::http {

/// Remembers when a connection last moved a considerable number of bytes. Few
/// bytes are no progress, since a client could otherwise hold a large request
/// by sending a byte now and then.
class progress_tracker
{
public:
    static constexpr std::size_t unit = 16384;

    /// \param moved_bytes bytes that the connection has moved so far
    /// \param now current time
    void update(std::uint64_t moved_bytes, time_point now)
    {
        if (moved_bytes - counted_bytes_ >= unit) {
            restart(moved_bytes, now);
        }
    }

    /// Counts from now on, for example from the start of a message.
    /// \param moved_bytes bytes that the connection has moved so far
    /// \param now current time
    void restart(std::uint64_t moved_bytes, time_point now)
    {
        counted_bytes_ = moved_bytes;
        at_ = now;
    }

    /// \return when progress was last seen
    [[nodiscard]] time_point at() const { return at_; }

private:
    std::uint64_t counted_bytes_ = 0;
    time_point at_;
};

} // namespace medlarstall::http

#endif
