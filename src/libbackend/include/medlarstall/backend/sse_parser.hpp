#ifndef MEDLARSTALL_BACKEND_SSE_PARSER_HPP
#define MEDLARSTALL_BACKEND_SSE_PARSER_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace medlarstall::backend {

/// Parses a stream of server-sent events that arrives in pieces, and extracts
/// the data of each event.
class sse_parser
{
public:
    /// Maximum size of an event, in bytes.
    static constexpr std::size_t max_event_bytes = std::size_t{1} << 20U;

    /// Adds received bytes and parses each line that is complete.
    /// \param bytes next bytes of the stream
    /// \param on_data called with the content of each data line; returns false
    ///     to stop
    /// \return false if an event is too long or the handler stopped
    template<class Handler>
    [[nodiscard]] bool feed(std::string_view bytes, Handler&& on_data)
    {
        std::string_view unparsed = bytes;
        if (!incomplete_line_.empty()) {
            incomplete_line_ += bytes;
            unparsed = incomplete_line_;
        }
        std::size_t parsed_bytes = 0;
        for (auto line_end = unparsed.find('\n');
             line_end != std::string_view::npos;
             line_end = unparsed.find('\n', parsed_bytes)) {
            auto const line =
                unparsed.substr(parsed_bytes, line_end - parsed_bytes);
            parsed_bytes = line_end + 1;
            if (!parse_line(line, on_data)) {
                return false;
            }
        }
        keep_incomplete_line(unparsed, parsed_bytes);
        return incomplete_line_.size() <= max_event_bytes;
    }

private:
    template<class Handler>
    bool parse_line(std::string_view line, Handler& on_data)
    {
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        constexpr std::string_view prefix = "data:";
        if (!line.starts_with(prefix)) {
            return true;
        }
        line.remove_prefix(prefix.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        return on_data(line);
    }

    void keep_incomplete_line(std::string_view unparsed,
                              std::size_t parsed_bytes)
    {
        if (!incomplete_line_.empty()) {
            incomplete_line_.erase(0, parsed_bytes);
        } else {
            incomplete_line_.assign(unparsed.substr(parsed_bytes));
        }
    }

    std::string incomplete_line_;
};

} // namespace medlarstall::backend

#endif
