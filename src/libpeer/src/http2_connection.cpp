#include "http2_connection.hpp"

#include "session_callbacks.hpp"

#include <asio/connect.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>

#include <array>

namespace medlarstall::peer {

namespace {

/// Flow control windows for received data, per connection and per stream.
constexpr std::int32_t connection_window_bytes = 16 * 1024 * 1024;
constexpr std::uint32_t stream_window_bytes = 256 * 1024;

/// Streams that the other daemon may have open at the same time.
constexpr std::uint32_t max_concurrent_streams = 100'000;

/// Bytes that are read from a socket at once.
constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

/// Frames are collected up to this size before they are written to the socket.
constexpr std::size_t write_batch_bytes = std::size_t{128} * 1024;

/// Makes a header field that refers to its arguments without a copy.
nghttp2_nv make_header_field(std::string_view name, std::string_view value)
{
    // nghttp2 copies name and value; its structure only lacks the const.
    auto const bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

} // namespace

http2_connection::http2_connection(asio::io_context& io, peer_settings settings)
    : io_{io}, settings_{std::move(settings)}, socket_{io}, timer_{io},
      last_receive_time_{monotonic_clock::now()}
{}

http2_connection::~http2_connection()
{
    nghttp2_session_del(session_);
}

void http2_connection::connect(std::string const& address, std::uint16_t port)
{
    start_session(false);
    asio::error_code failure;
    auto const ip = asio::ip::make_address(address, failure);
    if (failure) {
        asio::post(io_, [self = shared_from_this()] { self->close(); });
        return;
    }
    timer_.expires_after(settings_.connect_timeout);
    timer_.async_wait([self = shared_from_this()](auto const& timer_failure) {
        if (!timer_failure && !self->connected_) {
            self->close();
        }
    });
    socket_.async_connect(
        {ip, port}, [self = shared_from_this()](auto const& connect_failure) {
            if (connect_failure || self->closed_) {
                self->close();
                return;
            }
            self->connected_ = true;
            self->set_socket_options();
            self->last_receive_time_ = monotonic_clock::now();
            self->schedule_ping();
            self->start_read();
            self->schedule_write();
        });
}

void http2_connection::accept(asio::ip::tcp::socket socket,
                              stream_handler on_stream)
{
    is_server_ = true;
    connected_ = true;
    socket_ = std::move(socket);
    on_stream_ = std::move(on_stream);
    accepted_at_ = monotonic_clock::now();
    start_session(true);
    set_socket_options();
    schedule_ping();
    start_read();
    schedule_write();
}

void http2_connection::set_socket_options()
{
    asio::error_code ignored;
    ignored = socket_.non_blocking(true, ignored);
    ignored = socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    using user_timeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    ignored = socket_.set_option(
        user_timeout(static_cast<int>(settings_.receive_timeout.count())),
        ignored);
}

void http2_connection::start_session(bool server)
{
    session_ = make_session(server, this);
    std::array const entries{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                               max_concurrent_streams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                               stream_window_bytes}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(),
                            entries.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                          connection_window_bytes);
}

std::shared_ptr<peer_stream> http2_connection::open_stream(std::string path)
{
    auto stream =
        std::make_shared<peer_stream>(weak_from_this(), std::move(path));
    if (!usable()) {
        asio::post(io_, [stream] { stream->close(stream_outcome::refused); });
        return stream;
    }
    submit_request(*stream);
    streams_.emplace(stream->id_, stream);
    schedule_write();
    return stream;
}

void http2_connection::submit_request(peer_stream& stream)
{
    std::array const fields{
        make_header_field(":method", "POST"),
        make_header_field(":scheme", "http"),
        make_header_field(":authority", "peer"),
        make_header_field(":path", stream.path_),
        make_header_field("authorization", settings_.secret)};
    auto const provider = stream_data_provider();
    stream.id_ = nghttp2_submit_request(session_, nullptr, fields.data(),
                                        fields.size(), &provider, nullptr);
}

void http2_connection::handle_headers_received(std::int32_t id)
{
    auto const node = request_headers_.extract(id);
    if (node.empty()) {
        established_ = true;
        return;
    }
    authenticated_ = !settings_.secret.empty() &&
                     secret_matches(node.mapped().secret, settings_.secret);
    if (!authenticated_) {
        std::array const fields{make_header_field(":status", "401")};
        nghttp2_submit_response(session_, id, fields.data(), fields.size(),
                                nullptr);
        nghttp2_session_terminate_session(session_, NGHTTP2_REFUSED_STREAM);
        return;
    }
    accept_stream(id, node.mapped().path);
}

void http2_connection::accept_stream(std::int32_t id, std::string path)
{
    auto stream =
        std::make_shared<peer_stream>(weak_from_this(), std::move(path));
    stream->id_ = id;
    streams_.emplace(id, stream);
    std::array const fields{make_header_field(":status", "200")};
    auto const provider = stream_data_provider();
    nghttp2_submit_response(session_, id, fields.data(), fields.size(),
                            &provider);
    on_stream_(std::move(stream));
}

void http2_connection::start_read()
{
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](auto const& failure) {
                           if (failure || self->closed_) {
                               self->close();
                               return;
                           }
                           self->on_readable();
                       });
}

void http2_connection::on_readable()
{
    // Shared by all connections of the thread, so that an idle one holds none.
    static thread_local std::array<std::uint8_t, read_buffer_bytes> buffer;
    asio::error_code failure;
    auto const bytes = socket_.read_some(asio::buffer(buffer), failure);
    if (failure == asio::error::would_block) {
        start_read();
    } else if (failure) {
        close();
    } else {
        handle_input(buffer.data(), bytes);
    }
}

void http2_connection::handle_input(std::uint8_t const* data, std::size_t bytes)
{
    last_receive_time_ = monotonic_clock::now();
    bytes_received_ += bytes;
    auto const processed = nghttp2_session_mem_recv(session_, data, bytes);
    if (closed_) {
        return;
    }
    if (processed < 0) {
        close();
        return;
    }
    schedule_write();
    start_read();
}

void http2_connection::schedule_write()
{
    if (!connected_ || closed_ || writing_ || write_scheduled_) {
        return;
    }
    write_scheduled_ = true;
    asio::post(io_, [self = shared_from_this()] {
        self->write_scheduled_ = false;
        self->start_write();
    });
}

void http2_connection::start_write()
{
    if (closed_ || writing_) {
        return;
    }
    output_buffer_.clear();
    while (output_buffer_.size() < write_batch_bytes) {
        std::uint8_t const* data = nullptr;
        auto const size = nghttp2_session_mem_send(session_, &data);
        if (size <= 0) {
            break;
        }
        output_buffer_.append(reinterpret_cast<char const*>(data),
                              static_cast<std::size_t>(size));
    }
    if (output_buffer_.empty()) {
        if (nghttp2_session_want_read(session_) == 0 &&
            nghttp2_session_want_write(session_) == 0) {
            close();
        }
        return;
    }
    writing_ = true;
    asio::async_write(
        socket_, asio::buffer(output_buffer_),
        [self = shared_from_this()](auto const& failure, std::size_t bytes) {
            self->writing_ = false;
            self->bytes_sent_ += bytes;
            if (failure) {
                self->close();
                return;
            }
            self->start_write();
        });
}

void http2_connection::schedule_ping()
{
    timer_.expires_after(settings_.ping_interval);
    timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (failure || !self || self->closed_) {
            return;
        }
        auto const now = monotonic_clock::now();
        auto const idle_time = now - self->last_receive_time_;
        auto const too_late =
            self->unauthenticated() &&
            now - self->accepted_at_ > self->settings_.authentication_timeout;
        if (too_late || idle_time > self->settings_.receive_timeout) {
            self->close();
            return;
        }
        if (idle_time >= self->settings_.ping_interval) {
            nghttp2_submit_ping(self->session_, NGHTTP2_FLAG_NONE, nullptr);
            self->schedule_write();
        }
        self->schedule_ping();
    });
}

void http2_connection::shut_down()
{
    if (closed_ || going_away_) {
        return;
    }
    going_away_ = true;
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    schedule_write();
}

void http2_connection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    timer_.cancel();
    asio::error_code ignored;
    ignored = socket_.close(ignored);
    close_streams(connected_ ? stream_outcome::connection_lost
                             : stream_outcome::refused);
}

void http2_connection::close_without_notifying()
{
    auto const open_streams = streams_;
    for (auto const& [id, stream] : open_streams) {
        stream->on_message(nullptr);
        stream->on_sent(nullptr);
        stream->on_closed(nullptr);
    }
    close();
}

void http2_connection::close_streams(stream_outcome outcome)
{
    auto const open_streams = std::exchange(streams_, {});
    for (auto const& [id, stream] : open_streams) {
        stream->close(stream->headers_sent_ ? outcome
                                            : stream_outcome::refused);
    }
}

void http2_connection::handle_stream_closed(std::int32_t id,
                                            std::uint32_t error_code)
{
    auto const node = streams_.extract(id);
    if (node.empty()) {
        return;
    }
    auto& stream = *node.mapped();
    if (error_code == NGHTTP2_REFUSED_STREAM) {
        stream.close(stream_outcome::refused);
        return;
    }
    bool const complete =
        error_code == NGHTTP2_NO_ERROR && stream.receiving_finished_;
    stream.close(complete ? stream_outcome::complete : stream_outcome::reset);
}

void http2_connection::resume_sending(std::int32_t id)
{
    nghttp2_session_resume_data(session_, id);
    schedule_write();
}

void http2_connection::reset_stream(std::int32_t id)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    schedule_write();
}

void http2_connection::acknowledge_consumed(std::int32_t id, std::size_t bytes)
{
    nghttp2_session_consume(session_, id, bytes);
    schedule_write();
}

} // namespace medlarstall::peer
