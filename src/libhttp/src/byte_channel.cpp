#include <medlarstall/http/byte_channel.hpp>

#include <medlarstall/http/memory_account.hpp>

#include <asio/buffer.hpp>
#include <asio/post.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <optional>
#include <tuple>
#include <utility>

namespace medlarstall::http {

namespace {

constexpr std::size_t read_buffer_bytes = 65536;
/// Sent bytes are removed from the write buffer from this number on.
constexpr std::size_t compaction_threshold = 65536;

/// A body up to this size is sent with its head in one system call.
constexpr std::size_t max_joined_bytes = 16384;

/// \return read buffer that all channels of the thread share
std::array<char, read_buffer_bytes>& shared_read_buffer()
{
    static thread_local std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

template<class Value>
void set_option(int socket, int level, int name, Value value)
{
    std::ignore = ::setsockopt(socket, level, name, &value, sizeof value);
}

/// \return what the kernel knows of a connection; empty if it does not say
std::optional<tcp_info> info_of(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    return info;
}

} // namespace

byte_channel::byte_channel(asio::ip::tcp::socket socket)
    : socket_{std::move(socket)}
{}

void byte_channel::connect(asio::ip::tcp::endpoint const& address,
                           std::function<void(std::error_code)> done)
{
    std::error_code failure;
    std::ignore = socket_.open(address.protocol(), failure);
    if (!failure) {
        std::ignore = socket_.non_blocking(true, failure);
    }
    set_option(socket_.native_handle(), IPPROTO_TCP, TCP_NODELAY, 1);
    socket_.async_connect(address,
                          [self = shared_from_this(),
                           done = std::move(done)](std::error_code outcome) {
                              if (self->socket_.is_open()) {
                                  done(outcome);
                              }
                          });
}

std::string byte_channel::peer_address() const
{
    std::error_code failure;
    auto const peer = socket_.remote_endpoint(failure);
    return failure ? std::string{} : peer.address().to_string();
}

void byte_channel::set_peer_timeout(std::chrono::milliseconds timeout)
{
    constexpr int keepalive_interval_s = 1;
    constexpr int keepalive_probes = 2;
    auto const socket = socket_.native_handle();
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<unsigned>(timeout.count()));
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

void byte_channel::start(channel_events events)
{
    events_ = std::move(events);
    std::error_code ignored;
    std::ignore = socket_.non_blocking(true, ignored);
    set_option(socket_.native_handle(), IPPROTO_TCP, TCP_NODELAY, 1);
    wait_readable();
}

bool byte_channel::is_established()
{
    if (!socket_.is_open() || paused_) {
        return false;
    }
    auto const info = info_of(socket_.native_handle());
    return info && info->tcpi_state == TCP_ESTABLISHED;
}

bool byte_channel::peer_has_closed()
{
    if (!socket_.is_open() || close_reported_) {
        return true;
    }
    auto const info = info_of(socket_.native_handle());
    return info &&
           (info->tcpi_state == TCP_CLOSE_WAIT ||
            info->tcpi_state == TCP_LAST_ACK || info->tcpi_state == TCP_CLOSE);
}

std::chrono::milliseconds byte_channel::newest_bytes_age()
{
    auto const info = info_of(socket_.native_handle());
    return std::chrono::milliseconds{info ? info->tcpi_last_data_recv : 0};
}

void byte_channel::wait_readable()
{
    if (waiting_read_ || paused_ || close_reported_ || !socket_.is_open()) {
        return;
    }
    waiting_read_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](std::error_code failure) {
                           self->waiting_read_ = false;
                           self->on_readable(failure);
                       });
}

void byte_channel::on_readable(std::error_code failure)
{
    if (failure || paused_ || !socket_.is_open()) {
        return;
    }
    auto& buffer = shared_read_buffer();
    auto const limit =
        events_.read_limit ? events_.read_limit() : read_buffer_bytes;
    if (limit == 0) {
        paused_ = true;
        return;
    }
    auto const count = socket_.read_some(asio::buffer(buffer, limit), failure);
    if (failure == asio::error::would_block) {
        wait_readable();
        return;
    }
    if (failure) {
        report_closed(failure == asio::error::eof ? std::error_code{}
                                                  : failure);
        return;
    }
    moved_bytes_ += count;
    if (auto const handler = events_.received) {
        handler(std::string_view{buffer.data(), count});
    }
    wait_readable();
}

void byte_channel::resume()
{
    paused_ = false;
    wait_readable();
}

void byte_channel::send(std::string_view bytes)
{
    if (!socket_.is_open()) {
        return;
    }
    if (body_) { // Order is kept by copying what is left of the body.
        write_buffer_.append(*body_, body_offset_);
        body_.reset();
    }
    if (unsent_bytes() == 0) {
        bytes.remove_prefix(write_now(bytes));
    }
    write_buffer_.append(bytes);
    if (unsent_bytes() > 0) {
        wait_writable();
    } else {
        shutdown_if_sent();
    }
}

void byte_channel::send(std::string head,
                        std::shared_ptr<std::string const> body)
{
    if (body && body->size() <= max_joined_bytes) {
        head.append(*std::exchange(body, nullptr));
    }
    send(std::string_view{head});
    if (!body || !socket_.is_open()) {
        return;
    }
    body_offset_ = unsent_bytes() == 0 ? write_now(*body) : 0;
    if (body_offset_ < body->size()) {
        body_ = std::move(body);
        wait_writable();
    }
}

/// \return number of bytes that need not be sent any more: those that the
///     kernel has accepted, or all if the connection has failed
std::size_t byte_channel::write_now(std::string_view bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        std::error_code failure;
        auto const count = socket_.write_some(
            asio::buffer(bytes.data() + written, bytes.size() - written),
            failure);
        if (failure == asio::error::would_block) {
            break;
        }
        if (failure) {
            report_closed(failure);
            return bytes.size();
        }
        written += count;
        moved_bytes_ += count;
        has_sent_ = true;
    }
    return written;
}

void byte_channel::flush()
{
    write_offset_ +=
        write_now(std::string_view{write_buffer_}.substr(write_offset_));
    compact();
    if (write_buffer_.empty() && body_) {
        body_offset_ +=
            write_now(std::string_view{*body_}.substr(body_offset_));
        if (body_offset_ == body_->size()) {
            body_.reset();
        }
    }
    if (unsent_bytes() > 0) {
        wait_writable();
    } else {
        shutdown_if_sent();
    }
}

/// Releases the memory of sent bytes, once they are half of the buffer.
void byte_channel::compact()
{
    if (write_offset_ == write_buffer_.size()) {
        release_text(write_buffer_);
        write_offset_ = 0;
    } else if (write_offset_ >= compaction_threshold &&
               write_offset_ >= write_buffer_.size() / 2) {
        write_buffer_.substr(write_offset_).swap(write_buffer_);
        write_offset_ = 0;
    }
}

std::size_t byte_channel::held_bytes() const
{
    return heap_bytes(write_buffer_);
}

void byte_channel::set_receive_buffer(std::size_t bytes)
{
    receive_buffer_ = bytes;
    set_option(socket_.native_handle(), SOL_SOCKET, SO_RCVBUF,
               static_cast<int>(bytes));
}

void byte_channel::set_unsent_limit(std::size_t bytes)
{
    set_option(socket_.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
               static_cast<int>(bytes));
}

void byte_channel::wait_writable()
{
    if (waiting_write_) {
        return;
    }
    waiting_write_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this()](std::error_code failure) {
                           self->waiting_write_ = false;
                           if (failure || !self->socket_.is_open()) {
                               return;
                           }
                           self->flush();
                           if (auto const handler = self->events_.sent) {
                               handler();
                           }
                       });
}

void byte_channel::report_closed(std::error_code reason)
{
    if (std::exchange(close_reported_, true)) {
        return;
    }
    // Reported from the event loop, as the owner may be within send() now.
    asio::post(socket_.get_executor(), [self = shared_from_this(), reason] {
        if (auto const handler = self->events_.closed) {
            handler(reason);
        }
    });
}

void byte_channel::shutdown_when_sent()
{
    shutting_down_ = true;
    shutdown_if_sent();
}

void byte_channel::shutdown_if_sent()
{
    if (!shutting_down_ || unsent_bytes() > 0) {
        return;
    }
    std::error_code ignored;
    std::ignore =
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void byte_channel::close()
{
    events_ = {};
    release_text(write_buffer_);
    write_offset_ = 0;
    body_.reset();
    std::error_code ignored;
    std::ignore = socket_.close(ignored);
}

void byte_channel::abandon()
{
    int unacknowledged = 0;
    auto const known =
        ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
    if (known && unacknowledged > 0) {
        reset();
    } else {
        close();
    }
}

void byte_channel::reset()
{
    std::error_code ignored;
    std::ignore =
        socket_.set_option(asio::socket_base::linger{true, 0}, ignored);
    close();
}

} // namespace medlarstall::http
