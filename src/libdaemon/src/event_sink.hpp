#ifndef MEDLARSTALL_DAEMON_EVENT_SINK_HPP
#define MEDLARSTALL_DAEMON_EVENT_SINK_HPP

#include "work_event.hpp"

#include <cstddef>
#include <functional>

namespace medlarstall::daemon {

/// Receives the events of an order from its owner and passes them to the entry
/// side, in the same daemon or over a stream to another daemon.
struct event_sink
{
    /// Passes one event on.
    std::function<void(work_event)> send;
    /// Returns the bytes of events that the receiver has not consumed yet.
    std::function<std::size_t()> pending_bytes;
};

} // namespace medlarstall::daemon

#endif
