#ifndef MEDLARSTALL_DAEMON_INSTANCE_SERVICE_HPP
#define MEDLARSTALL_DAEMON_INSTANCE_SERVICE_HPP

#include "platform_connection.hpp"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace medlarstall::daemon {

/// Keeps a daemon registered in the platform's instance list and reads that
/// list periodically.
class instance_service
{
public:
    using instance_list_handler =
        std::function<void(platform::instance_snapshot const&)>;

    /// \param io context of the daemon
    /// \param platform holds the instance list
    /// \param on_instance_list receives the list after each successful read
    instance_service(asio::io_context& io, platform_connection& platform,
                     instance_list_handler on_instance_list);
    ~instance_service();
    instance_service(instance_service const&) = delete;
    instance_service& operator=(instance_service const&) = delete;

    /// Starts registering the daemon and reading the list.
    /// \param self entry of the daemon in the list
    void start(platform::instance self);

    /// Registers the daemon as leaving, so that callers stop choosing it.
    void register_as_leaving();

    /// Removes the daemon from the list and stops registering it.
    /// \param on_done called when the platform has answered, also if the
    ///     removal failed
    void deregister(std::function<void()> on_done);

private:
    void register_self();
    void read_list();

    platform_connection& platform_;
    instance_list_handler on_instance_list_;
    platform::instance self_;
    bool registration_in_progress_ = false;
    bool deregistered_ = false;
    asio::steady_timer register_timer_;
    asio::steady_timer list_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
