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

/// Ports that a daemon listens on.
struct daemon_endpoints
{
    std::uint16_t port = 0;      ///< For callers.
    std::uint16_t peer_port = 0; ///< For other daemons.
};

/// Reads the state charts that the daemon interprets. Call it before the first
/// daemon is made.
/// \return the first fault in a chart, with its file and element
[[nodiscard]] status check_charts();

/// A whole daemon on an Asio context that runs on a single thread. Many can
/// be made in one process. Destroying one without drain() is like a crash.
class daemon
{
public:
    /// \param io context that runs the daemon
    /// \param settings what the daemon is told
    daemon(asio::io_context& io, daemon_settings settings);
    ~daemon();
    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;

    /// Starts to listen and to work.
    /// \return the bound ports, or what could not be done
    [[nodiscard]] result<daemon_endpoints> start();

    /// Stops gracefully: no longer listed, no new orders, every open stream
    /// finished.
    /// \param on_drained called once nothing is open, or at the bound; true
    ///     if nothing was cut off
    void drain(std::function<void(bool)> on_drained);

    /// Sets what is called each time that a graceful stop has ended, whoever
    /// asked for it: drain() or an operator.
    /// \param handler as for drain()
    void when_drained(std::function<void(bool)> handler);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace medlarstall::daemon

#endif
