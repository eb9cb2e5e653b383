#ifndef MEDLARSTALL_GATEWAY_FETCH_SCHEDULER_HPP
#define MEDLARSTALL_GATEWAY_FETCH_SCHEDULER_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace medlarstall::gateway {

/// Selects the peer from which the records of a topic are fetched. Only one
/// fetch runs at a time, each fetch goes to the next peer in turn, and each
/// daemon starts with a different peer, so that a large record is not requested
/// over the same link by all daemons. Performs no I/O; owned by the gateway.
class fetch_scheduler
{
public:
    /// \param seed number that differs between daemons; selects the first peer
    /// \param min_interval least time between the starts of two fetches
    fetch_scheduler(std::uint64_t seed, std::chrono::milliseconds min_interval)
        : turn_{seed}, min_interval_{min_interval}
    {}

    /// Starts a fetch if one is due.
    /// \param ahead number of peers that have newer records than this daemon
    /// \param now current time
    /// \return index of the peer to ask; empty if no peer is ahead, while a
    ///     fetch is in progress, or within the least interval after the last
    ///     start
    [[nodiscard]] std::optional<std::size_t> try_start(std::size_t ahead,
                                                       time_point now);

    /// Marks the fetch in progress as finished.
    void note_finished() { in_progress_ = false; }

private:
    std::uint64_t turn_;
    std::chrono::milliseconds min_interval_;
    bool in_progress_ = false;
    time_point not_before_;
};

} // namespace medlarstall::gateway

#endif
