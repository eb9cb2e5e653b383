#ifndef MEDLARSTALL_BACKEND_EVENT_STREAM_HPP
#define MEDLARSTALL_BACKEND_EVENT_STREAM_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace medlarstall::backend {

/// Cuts a stream of server-sent events into the data of its events.
class event_stream
{
public:
    /// Longest event, in bytes.
    static constexpr std::size_t max_event_bytes = std::size_t{1} << 20U;

    /// Takes bytes and hands on the data of each line that is complete.
    /// \param bytes what was received
    /// \param on_data called with the data of an event; returns false to stop
    /// \return false if an event is too long or the handler stopped
    template<class Handler>
    [[nodiscard]] bool feed(std::string_view bytes, Handler&& on_data)
    {
        std::string_view rest = bytes;
        if (!held_.empty()) {
            held_ += bytes;
            rest = held_;
        }
        std::size_t used = 0;
        for (auto end = rest.find('\n'); end != std::string_view::npos;
             end = rest.find('\n', used)) {
            auto const line = rest.substr(used, end - used);
            used = end + 1;
            if (!take_line(line, on_data)) {
                return false;
            }
        }
        keep(rest, used);
        return held_.size() <= max_event_bytes;
    }

private:
    template<class Handler>
    bool take_line(std::string_view line, Handler& on_data)
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

    void keep(std::string_view rest, std::size_t used)
    {
        if (!held_.empty()) {
            held_.erase(0, used);
        } else {
            held_.assign(rest.substr(used));
        }
    }

    std::string held_;
};

} // namespace medlarstall::backend

#endif
