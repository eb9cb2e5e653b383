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

/// Passes each HTTP request to the handler that is registered for its method
/// and path.
class api_server
{
public:
    using handler = std::function<void(std::shared_ptr<entry::exchange>)>;

    /// Registers a handler. Of several that match, the first one is called.
    /// \param method HTTP method, or "*" for any method
    /// \param path exact path, or a prefix if it ends in '/' and is not "/"
    /// \param handle called with each matching request
    void add(std::string method, std::string path, handler handle);

    /// Calls the handler of a request, or responds with status 404 or 405 if
    /// there is none.
    /// \param exchange the request and its response
    void handle(std::shared_ptr<entry::exchange> exchange) const;

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
