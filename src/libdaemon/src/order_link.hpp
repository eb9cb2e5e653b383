#ifndef MEDLARSTALL_DAEMON_ORDER_LINK_HPP
#define MEDLARSTALL_DAEMON_ORDER_LINK_HPP

#include "work_event.hpp"
#include "work_order.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace medlarstall::peer {
class peer_stream;
enum class stream_end;
} // namespace medlarstall::peer

namespace medlarstall::daemon {

struct node;

/// Path of the streams that carry orders between daemons.
inline constexpr std::string_view order_path = "/orders";

/// Receives what comes of an order. None is called after the last event, after
/// on_lost or once the link is gone.
struct order_handlers
{
    std::function<void(work_event)> on_event;
    /// The link broke before the last event.
    std::function<void()> on_lost;
    /// Bytes that the caller did not take yet.
    std::function<std::size_t()> pending_bytes;
};

/// The entry side of one order: sends it to its owner, which may be this
/// daemon, and passes the events on. Destroying it cancels the order.
class order_link
{
public:
    /// \param shared parts of this daemon
    /// \param owner daemon that owns the backend server
    /// \param order what to run
    /// \param handlers receivers; called after the constructor returned
    order_link(node& shared, std::string const& owner, work_order const& order,
               order_handlers handlers);
    ~order_link();
    order_link(order_link const&) = delete;
    order_link& operator=(order_link const&) = delete;

    /// Stops or goes on taking events from another daemon.
    /// \param reading false to stop
    void set_reading(bool reading);

private:
    struct state;

    void submit_here(work_order const& order);
    void send_to(std::string const& owner, work_order const& order);
    static void stream_ended(state& link, peer::stream_end how);
    static void deliver(std::shared_ptr<state> const& link, work_event event);

    node& node_;
    std::shared_ptr<state> state_;
};

} // namespace medlarstall::daemon

#endif
