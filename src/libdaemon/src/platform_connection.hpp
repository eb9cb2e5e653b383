#ifndef MEDLARSTALL_DAEMON_PLATFORM_CONNECTION_HPP
#define MEDLARSTALL_DAEMON_PLATFORM_CONNECTION_HPP

#include <medlarstall/platform/http_platform.hpp>
#include <medlarstall/platform/memory_platform.hpp>
#include <medlarstall/platform/platform_client.hpp>

#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace medlarstall::daemon {

/// The platform that a daemon uses: a remote one over HTTP, or one in memory
/// for a standalone daemon. Models the concept platform::platform_client.
class platform_connection
{
public:
    using http_platform_pointer = std::unique_ptr<platform::http_platform>;
    using memory_platform_pointer = std::unique_ptr<platform::memory_platform>;

    explicit platform_connection(http_platform_pointer connected)
        : platform_{std::move(connected)}
    {}
    explicit platform_connection(memory_platform_pointer connected)
        : platform_{std::move(connected)}
    {}

    void append(std::string const& log, platform::append_request request,
                std::chrono::milliseconds time_limit,
                platform::append_callback on_done)
    {
        visit([&](auto& target) {
            target.append(log, std::move(request), time_limit,
                          std::move(on_done));
        });
    }

    void read(std::string const& log, platform::read_request request,
              platform::read_callback on_done)
    {
        visit([&](auto& target) {
            target.read(log, request, std::move(on_done));
        });
    }

    void list_instances(platform::list_callback on_done)
    {
        visit([&](auto& target) { target.list_instances(std::move(on_done)); });
    }

    void put_instance(platform::instance const& instance,
                      std::optional<std::chrono::milliseconds> lease,
                      platform::change_callback on_done)
    {
        visit([&](auto& target) {
            target.put_instance(instance, lease, std::move(on_done));
        });
    }

    void remove_instance(std::string const& id,
                         platform::change_callback on_done)
    {
        visit([&](auto& target) {
            target.remove_instance(id, std::move(on_done));
        });
    }

    void read_weights(std::string const& model, std::string const& version,
                      platform::weight_callback on_done)
    {
        visit([&](auto& target) {
            target.read_weights(model, version, std::move(on_done));
        });
    }

private:
    template<class Function>
    void visit(Function function)
    {
        std::visit([&](auto& pointer) { function(*pointer); }, platform_);
    }

    std::variant<http_platform_pointer, memory_platform_pointer> platform_;
};

} // namespace medlarstall::daemon

#endif
