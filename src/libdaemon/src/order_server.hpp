#ifndef MEDLARSTALL_DAEMON_ORDER_SERVER_HPP
#define MEDLARSTALL_DAEMON_ORDER_SERVER_HPP

#include <memory>

namespace medlarstall::peer {
class peer_stream;
}

namespace medlarstall::daemon {

struct daemon_context;

/// Accepts the orders that other daemons send to this daemon as the owner.
class order_server
{
public:
    /// \param shared state that all parts of this daemon share; must outlive
    ///     this object
    explicit order_server(daemon_context& shared) : node_{shared} {}

    /// Accepts a stream that carries one order and answers with its events.
    /// \param stream stream that the other daemon opened on order_stream_path
    void accept(std::shared_ptr<peer::peer_stream> const& stream);

private:
    daemon_context& node_;
};

} // namespace medlarstall::daemon

#endif
