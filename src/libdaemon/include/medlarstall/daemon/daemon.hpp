#ifndef MEDLARSTALL_DAEMON_DAEMON_HPP
#define MEDLARSTALL_DAEMON_DAEMON_HPP

#include <medlarstall/daemon/daemon_settings.hpp>
#include <medlarstall/support/result.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace medlarstall::daemon {

/// TCP ports that a daemon listens on.
struct listening_ports
{
    std::uint16_t port = 0;      ///< For HTTP requests of callers.
    std::uint16_t peer_port = 0; ///< For connections of other daemons.
};

/// Loads and validates the state charts that daemons execute. Must be called
/// before the first daemon is constructed.
/// \return success, or the first fault in a chart, with its file and element
[[nodiscard]] status load_state_charts();

/// A complete daemon on an Asio context that runs on a single thread. One
/// process can hold several daemons. Destroying a daemon without drain() has
/// the same effect on the others as a crash of its process.
class daemon
{
public:
    /// \param io context that runs all handlers of the daemon
    /// \param settings configuration, not changed later
    daemon(asio::io_context& io, daemon_settings settings);
    ~daemon();
    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;

    /// Starts listening and joins the other daemons.
    /// \return the bound ports, or an error if a port could not be opened or
    ///     the catalogue of a standalone daemon is invalid
    [[nodiscard]] result<listening_ports> start();

    /// Shuts down gracefully: removes the daemon from the list, accepts no new
    /// orders and lets every open stream finish.
    /// \param on_drained called once no work is open, or after
    ///     daemon_settings::drain_timeout; its argument is true if no work
    ///     was cut off
    void drain(std::function<void(bool)> on_drained);

    /// Sets a handler that is called when a graceful shutdown has ended,
    /// whether drain() or an operator started it.
    /// \param handler receives true if no work was cut off
    void set_drained_handler(std::function<void(bool)> handler);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace medlarstall::daemon

#endif
