#ifndef MEDLARSTALL_PLATFORM_HTTP_PLATFORM_HPP
#define MEDLARSTALL_PLATFORM_HTTP_PLATFORM_HPP

#include <medlarstall/platform/jittered_backoff.hpp>
#include <medlarstall/platform/platform_client.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace medlarstall::backend {
class http_client;
}

namespace medlarstall::platform {

/// How the platform is reached.
struct http_platform_settings
{
    std::vector<std::string> addresses; ///< IP:PORT, tried in turn.
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds try_timeout{2'000}; ///< Of one try.
    backoff_bounds backoff;
    std::size_t appends_in_flight = 8;
    std::size_t max_waiting_appends = 256; ///< More are refused at once.
    std::uint64_t seed = 1;                ///< Of the jitter.
};

/// The platform over HTTP. Appends are repeated with the same writer and
/// sequence until they succeed, are refused, or their time limit passes;
/// reads and the instance list are tried once at each address. Used on the
/// thread of its io_context. No callback runs after the destructor.
class http_platform
{
public:
    /// \param context context that runs the timers and callbacks
    /// \param http client that carries the requests; must outlive this object
    /// \param settings addresses, timeouts and bounds; at least one address
    http_platform(asio::io_context& context, backend::http_client& http,
                  http_platform_settings settings);
    ~http_platform();
    http_platform(http_platform const&) = delete;
    http_platform& operator=(http_platform const&) = delete;

    /// Appends to a log.
    /// \param log name of the log
    /// \param request writer, sequence and records, at most 1 MiB as JSON
    /// \param time_limit when to give up
    /// \param on_done called once with the outcome
    void append(std::string const& log, append_request request,
                std::chrono::milliseconds time_limit, append_callback on_done);

    /// Reads from a log.
    /// \param log name of the log
    /// \param request offset, limit and how long the platform may wait
    /// \param on_done called once with the page, or an error that names the
    ///     operation and the cause
    void read(std::string const& log, read_request request,
              read_callback on_done);

    /// \param on_done called once with the platform's list or an error
    void list_instances(list_callback on_done);

    /// Registers, renews or changes an instance.
    /// \param registered instance
    /// \param lease when the registration lapses; the platform's 10 s if absent
    /// \param on_done called once
    void put_instance(instance const& registered,
                      std::optional<std::chrono::milliseconds> lease,
                      change_callback on_done);

    /// \param id instance to remove
    /// \param on_done called once
    void remove_instance(std::string const& id, change_callback on_done);

    /// Asks the weight store for a model.
    /// \param model name of the model
    /// \param version version of the model
    /// \param on_done called once; a refusal says when to ask again
    void read_weights(std::string const& model, std::string const& version,
                      weight_callback on_done);

    /// \return appends that have neither succeeded nor failed
    [[nodiscard]] std::size_t pending_appends() const;

private:
    struct implementation;
    std::shared_ptr<implementation> parts_;
};

} // namespace medlarstall::platform

#endif
