#ifndef MEDLARSTALL_PLATFORM_STANDINS_PATH_STANDIN_HPP
#define MEDLARSTALL_PLATFORM_STANDINS_PATH_STANDIN_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace medlarstall::platform_standins {

/// A path between one daemon and one server that a test can cut: it passes all
/// bytes on in both directions.
class path_standin
{
public:
    /// \param context event loop
    /// \param target address and port of the server
    path_standin(asio::io_context& context, asio::ip::tcp::endpoint target);

    /// \return its address as IP:PORT
    [[nodiscard]] std::string address() const;

    /// Refuses new connections, and resets those that are open.
    void cut();

    /// Refuses new connections; those that are open live on.
    void refuse_new();

    /// Accepts connections again, at the same address.
    void heal();

private:
    struct link;

    void accept();
    static void pass_on(std::shared_ptr<link> const& through,
                        asio::ip::tcp::socket& from, asio::ip::tcp::socket& to);

    asio::io_context& context_;
    asio::ip::tcp::endpoint target_;
    asio::ip::tcp::endpoint own_;
    asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<link>> links_;
};

} // namespace medlarstall::platform_standins

#endif
