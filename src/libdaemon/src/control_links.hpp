#ifndef MEDLARSTALL_DAEMON_CONTROL_LINKS_HPP
#define MEDLARSTALL_DAEMON_CONTROL_LINKS_HPP

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace medlarstall::peer {
class peer_stream;
}

namespace medlarstall::daemon {

struct daemon_context;

/// Path of the long-lived peer streams that carry control messages between
/// daemons.
inline constexpr std::string_view control_path = "/control";

/// Outgoing control streams, one per receiving daemon, opened on demand.
/// Messages to a daemon that reads too slowly are dropped; their content is
/// sent again later.
class control_links
{
public:
    using message_handler = std::function<void(nlohmann::json const&)>;
    using disconnect_handler = std::function<void(std::string const& daemon)>;

    /// \param context state that all services of this daemon share
    /// \param on_message receives each message of another daemon
    /// \param on_disconnect called when the stream to a daemon has ended
    control_links(daemon_context& context, message_handler on_message,
                  disconnect_handler on_disconnect);
    ~control_links();
    control_links(control_links const&) = delete;
    control_links& operator=(control_links const&) = delete;

    /// Sends a message to another daemon.
    /// \param daemon id of a listed daemon
    /// \param message content of the message
    /// \return size of the encoded message in bytes, or 0 if it was dropped
    std::size_t send(std::string const& daemon, nlohmann::json const& message);

    /// Receives the messages on a stream that another daemon opened.
    void accept(std::shared_ptr<peer::peer_stream> const& stream);

private:
    daemon_context& context_;
    message_handler on_message_;
    disconnect_handler on_disconnect_;
    std::map<std::string, std::shared_ptr<peer::peer_stream>> streams_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
