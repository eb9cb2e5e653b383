#ifndef MEDLARSTALL_STANDINS_HTTP_HOST_HPP
#define MEDLARSTALL_STANDINS_HTTP_HOST_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace asio {
class io_context;
}

namespace medlarstall::standins {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// A request as a stand-in sees it. Plain data.
struct http_request
{
    std::string method;
    std::string path;
    std::string query; ///< Without the question mark.
    std::string body;
    header_list headers;
    std::uint64_t connection = 0; ///< Grows with each accepted connection.

    /// \param name name of a header in any case
    /// \return its value, or an empty text
    [[nodiscard]] std::string header(std::string_view name) const;

    /// \param name name of a query parameter
    /// \param fallback value if it is absent or no number
    /// \return its value
    [[nodiscard]] std::uint64_t parameter(std::string_view name,
                                          std::uint64_t fallback) const;
};

/// A request and the means to answer it. Kept alive by whoever still has to
/// answer; on a connection made silent every answer is swallowed.
class http_exchange
{
public:
    struct implementation;

    explicit http_exchange(std::unique_ptr<implementation> parts);
    ~http_exchange();
    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;

    /// \return the request
    [[nodiscard]] http_request const& request() const;

    /// Answers at once.
    /// \param code HTTP status
    /// \param body body of the answer
    /// \param headers further headers
    void reply(unsigned code, std::string body, header_list headers = {});

    /// Answers with a body cut short, then resets the connection.
    /// \param code HTTP status
    /// \param body whole body, whose length is announced
    /// \param sent bytes of it that are sent
    void reply_cut(unsigned code, std::string const& body, std::size_t sent);

    /// Starts a chunked answer.
    /// \param code HTTP status
    /// \param content_type type of the body
    void start_stream(unsigned code, std::string content_type);

    /// Sends a chunk of a chunked answer.
    /// \param chunk bytes to send
    /// \param flushed called with true once they are written, with false if
    ///     the connection broke
    void write(std::string chunk, std::function<void(bool)> flushed);

    /// Ends a chunked answer.
    void finish();

    /// Resets the connection.
    void drop();

private:
    std::unique_ptr<implementation> parts_;
};

using http_exchange_ptr = std::shared_ptr<http_exchange>;

/// Where a host listens.
struct host_settings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: the system chooses one.
};

/// An HTTP server on one io_context that runs on a single thread.
class http_host
{
public:
    struct implementation;
    using handler = std::function<void(http_exchange_ptr)>;

    /// \param context context that calls the handler; must outlive the host
    /// \param settings address and port
    /// \param handle called for each request
    http_host(asio::io_context& context, host_settings settings,
              handler handle);
    ~http_host();
    http_host(http_host const&) = delete;
    http_host& operator=(http_host const&) = delete;

    /// Listens; after stop() again on the same port.
    void start();

    /// Stops listening and resets every connection.
    void stop();

    /// \return true between start() and stop()
    [[nodiscard]] bool running() const;

    /// \return the bound port, 0 before the first start()
    [[nodiscard]] std::uint16_t port() const;

    /// Leaves open connections open, but answers and hears nothing on them
    /// any more; new connections work.
    void silence_open_connections();

    /// Resets every connection; new connections work.
    void drop_connections();

private:
    std::shared_ptr<implementation> parts_;
};

} // namespace medlarstall::standins

#endif
