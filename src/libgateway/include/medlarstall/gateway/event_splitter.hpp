#ifndef MEDLARSTALL_GATEWAY_EVENT_SPLITTER_HPP
#define MEDLARSTALL_GATEWAY_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::gateway {

/// An event of a text/event-stream body.
struct stream_event
{
    std::string bytes; ///< As received, with the blank line that ends it.
    std::optional<std::uint64_t> id; ///< Empty if none or no number.
};

/// Splits a text/event-stream body into whole events. Owned by the request that
/// relays the body.
class event_splitter
{
public:
    /// Appends bytes of the body.
    /// \param bytes next bytes of the body, cut at any place
    /// \return the events that these bytes complete, in order
    [[nodiscard]] std::vector<stream_event> feed(std::string_view bytes);

    /// \return true if the bytes so far end in the middle of an event
    [[nodiscard]] bool has_partial_event() const
    {
        return !partial_event_.empty();
    }

    /// \return true if the incomplete event exceeds 1 MiB; the stream is then
    ///     treated as malformed
    [[nodiscard]] bool partial_event_too_long() const
    {
        return partial_event_.size() > max_event_bytes;
    }

    /// Discards the incomplete event, before a new stream is read.
    void discard_partial_event() { partial_event_.clear(); }

private:
    static constexpr std::size_t max_event_bytes = 1048576;

    std::string partial_event_;
};

} // namespace medlarstall::gateway

#endif
