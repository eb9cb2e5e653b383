#ifndef MEDLARSTALL_GATEWAY_EARLY_CALLERS_HPP
#define MEDLARSTALL_GATEWAY_EARLY_CALLERS_HPP

#include <medlarstall/http/server_connection.hpp>
#include <medlarstall/support/time.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::gateway {

/// A request that came before the daemon knew what to serve, and where.
struct early_caller
{
    std::unique_ptr<http::exchange> caller;
    std::string attempt_id;
    time_point until; ///< Then it is refused.
};

/// Requests that wait until the daemon knows the configuration and the backend
/// servers, in the order in which they came. A caller that is refused comes
/// back at one moment and may find the daemon no wiser; while it waits here, it
/// is served as soon as that can be done. Answers the loss of all daemons while
/// the store is away. Owned by the gateway.
class early_callers
{
public:
    /// \param left time that a caller has for its request
    /// \return how long it may wait: it must have time to come back after a
    ///     refusal
    [[nodiscard]] static duration patience(duration left);

    /// Lets a request wait.
    /// \param arrived the request
    /// \return false if too many or too large ones wait already; the request
    ///     stays where it is
    [[nodiscard]] bool add(early_caller& arrived);

    /// \param now current time
    /// \return the requests whose time to wait is over
    [[nodiscard]] std::vector<early_caller> take_expired(time_point now);

    /// \return all requests that wait and whose callers are still there
    [[nodiscard]] std::vector<early_caller> take_all();

private:
    std::vector<early_caller> waiting_;
    std::size_t body_bytes_ = 0; ///< Of all that wait.
};

} // namespace medlarstall::gateway

#endif
