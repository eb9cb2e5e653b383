#ifndef MEDLARSTALL_GATEWAY_EVENT_SPLITTER_HPP
#define MEDLARSTALL_GATEWAY_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::gateway {

/// An event of a text/event-stream body, as it came.
struct stream_event
{
    std::string bytes; ///< With the blank line that ends it.
    std::optional<std::uint64_t> id;
};

/// Cuts a body of events into whole events. Owned by the request that relays
/// the body.
class event_splitter
{
public:
    /// Takes in bytes of the body.
    /// \param bytes bytes as they came
    /// \return the events that are whole now
    [[nodiscard]] std::vector<stream_event> feed(std::string_view bytes);

    /// \return true if the bytes so far end within an event
    [[nodiscard]] bool within_event() const { return !pending_.empty(); }

    /// \return true if the event that is not whole is longer than any should be
    [[nodiscard]] bool too_long() const
    {
        return pending_.size() > most_event_bytes;
    }

    /// Drops the event that is not whole.
    void restart() { pending_.clear(); }

private:
    static constexpr std::size_t most_event_bytes = 1048576;

    std::string pending_;
};

} // namespace medlarstall::gateway

#endif
