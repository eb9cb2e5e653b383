#ifndef MEDLARSTALL_DAEMON_INSTANCE_SERVICE_HPP
#define MEDLARSTALL_DAEMON_INSTANCE_SERVICE_HPP

#include "platform_connection.hpp"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace medlarstall::daemon {

/// Registers a daemon with the platform's list of instances and reads it.
class instance_service
{
public:
    using list_handler =
        std::function<void(platform::instance_snapshot const&)>;

    /// \param io context of the daemon
    /// \param platform the platform's list
    /// \param on_list called with each reading
    instance_service(asio::io_context& io, platform_connection& platform,
                     list_handler on_list);
    ~instance_service();
    instance_service(instance_service const&) = delete;
    instance_service& operator=(instance_service const&) = delete;

    /// Starts to register and to read.
    /// \param self this daemon
    void start(platform::instance self);

    /// Registers this daemon as leaving.
    void leave();

    /// Removes this daemon from the list and stops registering it.
    /// \param on_done called once the platform answered, well or not
    void remove(std::function<void()> on_done);

private:
    void register_self();
    void read_list();

    platform_connection& platform_;
    list_handler on_list_;
    platform::instance self_;
    bool registering_ = false;
    bool removed_ = false;
    asio::steady_timer register_timer_;
    asio::steady_timer list_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
