#ifndef MEDLARSTALL_DAEMON_ORDER_SERVER_HPP
#define MEDLARSTALL_DAEMON_ORDER_SERVER_HPP

#include <memory>

namespace medlarstall::peer {
class peer_stream;
}

namespace medlarstall::daemon {

struct node;

/// Takes the orders that other daemons send to this owner.
class order_server
{
public:
    /// \param shared parts of this daemon
    explicit order_server(node& shared) : node_{shared} {}

    /// Takes a stream that carries one order.
    /// \param stream the stream
    void accept(std::shared_ptr<peer::peer_stream> const& stream);

private:
    node& node_;
};

} // namespace medlarstall::daemon

#endif
