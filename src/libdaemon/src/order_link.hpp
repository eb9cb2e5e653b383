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
enum class stream_outcome;
} // namespace medlarstall::peer

namespace medlarstall::daemon {

struct daemon_context;

/// Path of the peer streams that carry orders between daemons.
inline constexpr std::string_view order_stream_path = "/orders";

/// Callbacks of an order_link. None is called after the last event, after
/// on_link_lost or after the link is destroyed.
struct order_handlers
{
    /// Called for each event, in the order in which the owner sent them.
    std::function<void(work_event)> on_event;
    /// Called when the connection to the owner is lost before the last event.
    std::function<void()> on_link_lost;
    /// Returns the bytes of the answer that wait to be sent to the caller.
    std::function<std::size_t()> pending_bytes;
};

/// The entry side of one order: sends the order to its owner, which may be this
/// daemon, and reports the events. Destroying the link cancels the order.
class order_link
{
public:
    /// \param shared state that all parts of this daemon share; must outlive
    ///     this object
    /// \param owner id of the daemon that owns the backend server
    /// \param order the order to send
    /// \param handlers callbacks; not called before the constructor returns
    order_link(daemon_context& shared, std::string const& owner,
               work_order const& order, order_handlers handlers);
    ~order_link();
    order_link(order_link const&) = delete;
    order_link& operator=(order_link const&) = delete;

    /// Pauses or resumes reading events from another daemon, for flow control.
    /// Has no effect if this daemon is the owner.
    /// \param reading false to pause
    void set_reading(bool reading);

private:
    struct link_state;

    void submit_locally(work_order const& order);
    void send_to_peer(std::string const& owner, work_order const& order);
    static void on_stream_ended(link_state& link, peer::stream_outcome how);
    static void deliver_event(std::shared_ptr<link_state> const& link,
                              work_event event);

    daemon_context& node_;
    std::shared_ptr<link_state> state_;
};

} // namespace medlarstall::daemon

#endif
