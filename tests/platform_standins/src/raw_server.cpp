#include <medlarstall/platform_standins/raw_server.hpp>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace medlarstall::platform_standins {

namespace {

/// What a server states of itself; the start as in its entry.
std::string const state_answer = "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n"
                                 R"({"born":1700000000000})";

} // namespace

/// One connection. Kept alive by its pending operations.
struct raw_server::session
{
    explicit session(asio::ip::tcp::socket connected)
        : socket{std::move(connected)}, timer{socket.get_executor()}
    {}

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 4096> buffer{};
    std::string received;
    bool answered = false; ///< It has carried a request before.
};

raw_server::raw_server(asio::io_context& context, raw_answer answer)
    : acceptor_{context, {asio::ip::make_address("127.0.0.1"), 0}},
      answer_{std::move(answer)}
{
    accept();
}

std::string raw_server::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void raw_server::accept()
{
    acceptor_.async_accept([this](std::error_code failure,
                                  asio::ip::tcp::socket connected) {
        if (!failure) {
            ++accepted_;
            auto const opened = std::make_shared<session>(std::move(connected));
            sessions_.push_back(opened);
            read(opened);
            accept();
        }
    });
}

void raw_server::close(session& ended)
{
    std::error_code ignored;
    std::ignore =
        ended.socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    std::ignore = ended.socket.close(ignored);
}

void raw_server::end_answers(std::size_t spared)
{
    std::vector<std::shared_ptr<session>> used;
    for (auto const& weak : sessions_) {
        auto const found = weak.lock();
        if (found && found->answered && found->socket.is_open()) {
            used.push_back(found);
        }
    }
    used.resize(used.size() - std::min(spared, used.size()));
    for (auto const& ended : used) {
        close(*ended);
    }
}

void raw_server::end_process()
{
    std::error_code ignored;
    std::ignore = acceptor_.close(ignored);
    for (auto const& weak : sessions_) {
        if (auto const found = weak.lock()) {
            close(*found);
        }
    }
}

void raw_server::read(std::shared_ptr<session> const& with)
{
    with->socket.async_read_some(
        asio::buffer(with->buffer),
        [this, with](std::error_code failure, std::size_t count) {
            if (failure == asio::error::operation_aborted) {
                return;
            }
            if (failure) {
                ++closed_;
                return;
            }
            with->received.append(with->buffer.data(), count);
            on_bytes(with);
            read(with);
        });
}

/// Takes the end of a head as the end of a request; bodies are not answered.
void raw_server::on_bytes(std::shared_ptr<session> const& with)
{
    auto const end = with->received.find("\r\n\r\n");
    if (end == std::string::npos) {
        return;
    }
    auto const head = std::exchange(with->received, {}).substr(0, end);
    if (head.starts_with("GET /healthz") && !answer_.to_health_checks) {
        asio::write(with->socket,
                    asio::buffer(std::string{
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}));
        return;
    }
    if (head.starts_with("GET /api/report ")) {
        std::error_code ignored;
        asio::write(with->socket, asio::buffer(state_answer), ignored);
        return;
    }
    ++requests_;
    constexpr std::string_view field = "X-Attempt-Id: ";
    auto const at = head.find(field);
    auto const id = at == std::string::npos
                        ? std::string{}
                        : head.substr(at + field.size(),
                                      head.find('\r', at) - at - field.size());
    auto const later = std::exchange(with->answered, true);
    auto text = (later ? answer_.before_later : "") + answer_.first;
    for (auto place = text.find("ID"); place != std::string::npos;
         place = text.find("ID")) {
        text.replace(place, 2, id);
    }
    auto const breaks_off = answer_.close_after < text.size();
    text.resize(std::min(text.size(), answer_.close_after));
    std::error_code ignored;
    asio::write(with->socket, asio::buffer(text), ignored);
    if (breaks_off) {
        std::ignore = with->socket.shutdown(
            asio::ip::tcp::socket::shutdown_both, ignored);
        return;
    }
    send_again(with);
}

void raw_server::send_again(std::shared_ptr<session> const& with)
{
    if (answer_.again.empty()) {
        return;
    }
    with->timer.expires_after(answer_.interval);
    with->timer.async_wait([this, with](std::error_code) {
        asio::async_write(with->socket, asio::buffer(answer_.again),
                          [this, with](std::error_code failure, std::size_t) {
                              if (!failure) {
                                  send_again(with);
                              }
                          });
    });
}

} // namespace medlarstall::platform_standins
