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

struct node;

/// Path of the long-lived streams that carry what daemons tell one another.
inline constexpr std::string_view control_path = "/control";

/// One stream to each daemon that is told something. Messages to a daemon
/// whose stream is behind are dropped: what they say is said again later.
class control_links
{
public:
    using message_handler = std::function<void(nlohmann::json const&)>;
    using lost_handler = std::function<void(std::string const& daemon)>;

    /// \param shared parts of this daemon
    /// \param on_message receives what others send
    /// \param on_lost called when the stream to a daemon ended
    control_links(node& shared, message_handler on_message,
                  lost_handler on_lost);
    ~control_links();
    control_links(control_links const&) = delete;
    control_links& operator=(control_links const&) = delete;

    /// Sends a message.
    /// \param daemon id of a daemon in the list
    /// \param message content
    /// \return encoded bytes, 0 if it was dropped
    std::size_t send(std::string const& daemon, nlohmann::json const& message);

    /// Takes a stream of another daemon.
    void accept(std::shared_ptr<peer::peer_stream> const& stream);

private:
    node& node_;
    message_handler on_message_;
    lost_handler on_lost_;
    std::map<std::string, std::shared_ptr<peer::peer_stream>> streams_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
