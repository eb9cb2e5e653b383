#ifndef MEDLARSTALL_GATEWAY_EARLY_REQUEST_QUEUE_HPP
#define MEDLARSTALL_GATEWAY_EARLY_REQUEST_QUEUE_HPP

#include <medlarstall/http/server_connection.hpp>
#include <medlarstall/support/time.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::gateway {

/// A request that arrived before the daemon knew the configuration and the
/// backend servers.
struct early_request
{
    std::unique_ptr<http::exchange> caller;
    /// Id that the caller gives to this attempt of its request.
    std::string attempt_id;
    time_point expires_at; ///< When it is refused.
};

/// Requests that wait until the daemon knows the configuration and the backend
/// servers, in order of arrival. A refused caller retries only after a fixed
/// delay and may find that the daemon still knows nothing; a request that waits
/// here is served as soon as that is possible. Needed if all daemons are lost
/// while the record store is unreachable. Owned by the gateway.
class early_request_queue
{
public:
    /// \param left time left for the request
    /// \return how long the request may wait; the rest of the time is for the
    ///     caller to retry after a refusal
    [[nodiscard]] static duration max_wait(duration left);

    /// Queues a request.
    /// \param arrived the request; moved from only if it is queued
    /// \return false if the limit of requests or of body bytes is reached
    [[nodiscard]] bool add(early_request& arrived);

    /// Removes the requests whose time to wait is over.
    /// \param now current time
    /// \return the removed requests
    [[nodiscard]] std::vector<early_request> take_expired(time_point now);

    /// Empties the queue.
    /// \return the requests whose callers are still connected
    [[nodiscard]] std::vector<early_request> take_all();

private:
    std::vector<early_request> queued_;
    std::size_t body_bytes_ = 0; ///< Of all queued requests.
};

} // namespace medlarstall::gateway

#endif
