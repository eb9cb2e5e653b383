#include <medlarstall/platform_standins/path_standin.hpp>

#include <asio/write.hpp>

#include <array>
#include <tuple>
#include <utility>

namespace medlarstall::platform_standins {

struct path_standin::link
{
    explicit link(asio::ip::tcp::socket accepted, asio::io_context& context)
        : near{std::move(accepted)}, far{context}
    {}

    void close()
    {
        std::error_code ignored;
        std::ignore = near.close(ignored);
        std::ignore = far.close(ignored);
    }

    static constexpr std::size_t buffer_bytes = 16384;

    asio::ip::tcp::socket near;
    asio::ip::tcp::socket far;
    std::array<char, buffer_bytes> to_far{};
    std::array<char, buffer_bytes> to_near{};
};

path_standin::path_standin(asio::io_context& context,
                           asio::ip::tcp::endpoint target)
    : context_{context}, target_{std::move(target)},
      own_{asio::ip::make_address("127.0.0.1"), 0}, acceptor_{context, own_}
{
    own_ = acceptor_.local_endpoint();
    accept();
}

std::string path_standin::address() const
{
    return "127.0.0.1:" + std::to_string(own_.port());
}

void path_standin::cut()
{
    refuse_new();
    for (auto const& through : std::exchange(links_, {})) {
        std::error_code ignored;
        std::ignore = through->near.set_option(
            asio::socket_base::linger{true, 0}, ignored);
        through->close();
    }
}

void path_standin::refuse_new()
{
    std::error_code ignored;
    std::ignore = acceptor_.close(ignored);
}

void path_standin::heal()
{
    acceptor_ = asio::ip::tcp::acceptor{context_, own_};
    accept();
}

void path_standin::accept()
{
    acceptor_.async_accept(
        [this](std::error_code failure, asio::ip::tcp::socket accepted) {
            if (failure) {
                return;
            }
            auto const through =
                std::make_shared<link>(std::move(accepted), context_);
            links_.insert(through);
            through->far.async_connect(
                target_, [through](std::error_code not_connected) {
                    if (not_connected) {
                        through->close();
                        return;
                    }
                    pass_on(through, through->near, through->far);
                    pass_on(through, through->far, through->near);
                });
            accept();
        });
}

void path_standin::pass_on(std::shared_ptr<link> const& through,
                           asio::ip::tcp::socket& from,
                           asio::ip::tcp::socket& to)
{
    auto& buffer = &from == &through->near ? through->to_far : through->to_near;
    from.async_read_some(
        asio::buffer(buffer), [through, &from, &to, &buffer](
                                  std::error_code failure, std::size_t count) {
            if (failure) {
                through->close();
                return;
            }
            asio::async_write(
                to, asio::buffer(buffer.data(), count),
                [through, &from, &to](std::error_code lost, std::size_t) {
                    if (lost) {
                        through->close();
                        return;
                    }
                    pass_on(through, from, to);
                });
        });
}

} // namespace medlarstall::platform_standins
