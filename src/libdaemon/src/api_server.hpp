#ifndef MEDLARSTALL_DAEMON_API_SERVER_HPP
#define MEDLARSTALL_DAEMON_API_SERVER_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::entry {
class exchange;
}

namespace medlarstall::daemon {

/// Hands each request to the handler of its method and path.
class api_server
{
public:
    using handler = std::function<void(std::shared_ptr<entry::exchange>)>;

    /// Adds a handler.
    /// \param method method, or "*" for any
    /// \param path path; one that ends in '/' stands for all below it
    /// \param handle called with each request for it
    void add(std::string method, std::string path, handler handle);

    /// Handles a request.
    /// \param caller the request and the answer to it
    void handle(std::shared_ptr<entry::exchange> caller) const;

private:
    struct endpoint
    {
        std::string method;
        std::string path;
        handler handle;
    };

    std::vector<endpoint> endpoints_;
};

} // namespace medlarstall::daemon

#endif
