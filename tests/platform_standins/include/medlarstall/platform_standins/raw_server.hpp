#ifndef MEDLARSTALL_PLATFORM_STANDINS_RAW_SERVER_HPP
#define MEDLARSTALL_PLATFORM_STANDINS_RAW_SERVER_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::platform_standins {

/// Bytes that a raw server sends to each request.
struct raw_answer
{
    std::string first; ///< Once; ID stands for the id of the attempt.
    std::string again; ///< After that, until the connection is closed.
    std::chrono::milliseconds interval{0}; ///< Between two of the latter.
    /// Before `first`, unless the request is the first of its connection.
    std::string before_later;
    /// Closes the connection after so many bytes of `first`, if it has as many.
    std::size_t close_after = std::string::npos;
    /// Whether health checks get these bytes, too.
    bool to_health_checks = false;
};

/// A backend server in trouble: it answers with bytes that need not be HTTP and
/// need not end. Health checks are answered well.
class raw_server
{
public:
    /// \param context event loop
    /// \param answer what it sends
    raw_server(asio::io_context& context, raw_answer answer);

    /// \return its address as IP:PORT
    [[nodiscard]] std::string address() const;

    /// Sets what it sends from now on.
    /// \param answer the bytes
    void set_answer(raw_answer answer) { answer_ = std::move(answer); }

    /// \return requests that it has received, health checks aside
    [[nodiscard]] std::size_t requests() const { return requests_; }

    /// \return connections that the other side has closed
    [[nodiscard]] std::size_t closed() const { return closed_; }

    /// \return connections that it has accepted
    [[nodiscard]] std::size_t accepted() const { return accepted_; }

    /// Closes the connections that have carried a request, without a reset.
    /// \param spared number of them that stay open, the last ones
    void end_answers(std::size_t spared = 0);

    /// Closes everything as a kernel does when the process has ended: each
    /// connection ends without a reset, and new ones are refused.
    void end_process();

private:
    struct session;

    void accept();
    static void close(session& ended);
    void read(std::shared_ptr<session> const& with);
    void on_bytes(std::shared_ptr<session> const& with);
    void send_again(std::shared_ptr<session> const& with);

    asio::ip::tcp::acceptor acceptor_;
    raw_answer answer_;
    std::vector<std::weak_ptr<session>> sessions_;
    std::size_t requests_ = 0;
    std::size_t closed_ = 0;
    std::size_t accepted_ = 0;
};

} // namespace medlarstall::platform_standins

#endif
