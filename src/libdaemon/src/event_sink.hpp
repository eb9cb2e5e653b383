#ifndef MEDLARSTALL_DAEMON_EVENT_SINK_HPP
#define MEDLARSTALL_DAEMON_EVENT_SINK_HPP

#include "work_event.hpp"

#include <cstddef>
#include <functional>

namespace medlarstall::daemon {

/// Where the owner sends the events of an order: the same daemon's entry side
/// or a stream to another daemon.
struct event_sink
{
    std::function<void(work_event)> send;
    /// Bytes of events that were not taken yet.
    std::function<std::size_t()> pending_bytes;
};

} // namespace medlarstall::daemon

#endif
