#include <medlarstall/gateway/event_splitter.hpp>

#include <algorithm>
#include <charconv>

namespace medlarstall::gateway {

namespace {

/// \return position after the first blank line, or npos if there is none
std::size_t end_of_event(std::string_view text)
{
    auto const plain = text.find("\n\n");
    auto const carriage = text.find("\r\n\r\n");
    if (plain == std::string_view::npos && carriage == std::string_view::npos) {
        return std::string_view::npos;
    }
    if (plain < carriage) {
        return plain + 2;
    }
    return carriage + 4;
}

std::optional<std::uint64_t> id_of(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t at = 0;
    while (at < event.size()) {
        auto const end = std::min(event.find('\n', at), event.size());
        auto line = event.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        auto const parsed =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec == std::errc{}) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<stream_event> event_splitter::feed(std::string_view bytes)
{
    partial_event_.append(bytes);
    std::vector<stream_event> events;
    std::string_view rest{partial_event_};
    for (auto end = end_of_event(rest); end != std::string_view::npos;
         end = end_of_event(rest)) {
        auto const event = rest.substr(0, end);
        events.push_back({std::string{event}, id_of(event)});
        rest.remove_prefix(end);
    }
    partial_event_.erase(0, partial_event_.size() - rest.size());
    return events;
}

} // namespace medlarstall::gateway
