#include "connection_core.hpp"

#include "session_callbacks.hpp"

#include <asio/connect.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>

namespace medlarstall::peer {

namespace {

constexpr std::int32_t connection_window_bytes = 16 * 1024 * 1024;
constexpr std::uint32_t stream_window_bytes = 256 * 1024;
constexpr std::uint32_t max_streams = 100'000;
constexpr std::size_t write_batch_bytes = 128 * 1024;

nghttp2_nv field(std::string_view name, std::string_view value)
{
    // nghttp2 copies both; its interface just lacks the const.
    auto const bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

} // namespace

connection_core::connection_core(asio::io_context& io, peer_settings settings)
    : io_{io}, settings_{std::move(settings)}, socket_{io}, timer_{io},
      last_heard_{decision_clock::now()}
{}

connection_core::~connection_core()
{
    nghttp2_session_del(session_);
}

void connection_core::connect(std::string const& address, std::uint16_t port)
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
            self->last_heard_ = decision_clock::now();
            self->ping();
            self->read();
            self->schedule_write();
        });
}

void connection_core::serve(asio::ip::tcp::socket socket,
                            stream_handler on_stream)
{
    server_ = true;
    connected_ = true;
    socket_ = std::move(socket);
    on_stream_ = std::move(on_stream);
    start_session(true);
    set_socket_options();
    ping();
    read();
    schedule_write();
}

void connection_core::set_socket_options()
{
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    using user_timeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket_.set_option(
        user_timeout(static_cast<int>(settings_.silence_timeout.count())),
        ignored);
}

void connection_core::start_session(bool server)
{
    session_ = make_session(server, this);
    std::array const entries{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                               max_streams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                               stream_window_bytes}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(),
                            entries.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                          connection_window_bytes);
}

std::shared_ptr<peer_stream> connection_core::open(std::string path)
{
    auto made =
        std::make_shared<peer_stream>(weak_from_this(), std::move(path));
    if (!usable()) {
        asio::post(io_, [made] { made->finished(stream_end::refused); });
        return made;
    }
    submit_request(*made);
    streams_.emplace(made->id_, made);
    schedule_write();
    return made;
}

void connection_core::submit_request(peer_stream& stream)
{
    std::array const fields{field(":method", "POST"), field(":scheme", "http"),
                            field(":authority", "peer"),
                            field(":path", stream.path_),
                            field("authorization", settings_.secret)};
    auto const provider = stream_data_provider();
    stream.id_ = nghttp2_submit_request(session_, nullptr, fields.data(),
                                        fields.size(), &provider, nullptr);
}

void connection_core::head_complete(std::int32_t id)
{
    auto const node = heads_.extract(id);
    if (node.empty()) {
        established_ = true;
        return;
    }
    if (!secret_matches(node.mapped().secret, settings_.secret)) {
        std::array const fields{field(":status", "401")};
        nghttp2_submit_response(session_, id, fields.data(), fields.size(),
                                nullptr);
        nghttp2_session_terminate_session(session_, NGHTTP2_REFUSED_STREAM);
        return;
    }
    accept_stream(id, node.mapped().path);
}

void connection_core::accept_stream(std::int32_t id, std::string path)
{
    auto made =
        std::make_shared<peer_stream>(weak_from_this(), std::move(path));
    made->id_ = id;
    streams_.emplace(id, made);
    std::array const fields{field(":status", "200")};
    auto const provider = stream_data_provider();
    nghttp2_submit_response(session_, id, fields.data(), fields.size(),
                            &provider);
    on_stream_(std::move(made));
}

void connection_core::read()
{
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](auto const& failure, std::size_t bytes) {
            if (failure || self->closed_) {
                self->close();
                return;
            }
            self->received(bytes);
        });
}

void connection_core::received(std::size_t bytes)
{
    last_heard_ = decision_clock::now();
    bytes_received_ += bytes;
    auto const taken = nghttp2_session_mem_recv(session_, input_.data(), bytes);
    if (closed_) {
        return;
    }
    if (taken < 0) {
        close();
        return;
    }
    schedule_write();
    read();
}

void connection_core::schedule_write()
{
    if (!connected_ || closed_ || writing_ || write_scheduled_) {
        return;
    }
    write_scheduled_ = true;
    asio::post(io_, [self = shared_from_this()] {
        self->write_scheduled_ = false;
        self->write();
    });
}

void connection_core::write()
{
    if (closed_ || writing_) {
        return;
    }
    output_.clear();
    while (output_.size() < write_batch_bytes) {
        std::uint8_t const* data = nullptr;
        auto const size = nghttp2_session_mem_send(session_, &data);
        if (size <= 0) {
            break;
        }
        output_.append(reinterpret_cast<char const*>(data),
                       static_cast<std::size_t>(size));
    }
    if (output_.empty()) {
        if (nghttp2_session_want_read(session_) == 0 &&
            nghttp2_session_want_write(session_) == 0) {
            close();
        }
        return;
    }
    writing_ = true;
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = shared_from_this()](auto const& failure, std::size_t bytes) {
            self->writing_ = false;
            self->bytes_sent_ += bytes;
            if (failure) {
                self->close();
                return;
            }
            self->write();
        });
}

void connection_core::ping()
{
    timer_.expires_after(settings_.ping_interval);
    timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (failure || !self || self->closed_) {
            return;
        }
        auto const silence = decision_clock::now() - self->last_heard_;
        if (silence > self->settings_.silence_timeout) {
            self->close();
            return;
        }
        if (silence >= self->settings_.ping_interval) {
            nghttp2_submit_ping(self->session_, NGHTTP2_FLAG_NONE, nullptr);
            self->schedule_write();
        }
        self->ping();
    });
}

void connection_core::shut_down()
{
    if (closed_ || leaving_) {
        return;
    }
    leaving_ = true;
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    schedule_write();
}

void connection_core::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
    close_streams(connected_ ? stream_end::lost : stream_end::refused);
}

void connection_core::abandon()
{
    auto const open = streams_;
    for (auto const& [id, stream] : open) {
        stream->on_message(nullptr);
        stream->on_sent(nullptr);
        stream->on_end(nullptr);
    }
    close();
}

void connection_core::close_streams(stream_end how)
{
    auto const open = std::exchange(streams_, {});
    for (auto const& [id, stream] : open) {
        stream->finished(stream->headers_sent_ ? how : stream_end::refused);
    }
}

void connection_core::stream_closed(std::int32_t id, std::uint32_t error_code)
{
    auto const node = streams_.extract(id);
    if (node.empty()) {
        return;
    }
    auto& stream = *node.mapped();
    if (error_code == NGHTTP2_REFUSED_STREAM) {
        stream.finished(stream_end::refused);
        return;
    }
    bool const complete = error_code == NGHTTP2_NO_ERROR && stream.ended_there_;
    stream.finished(complete ? stream_end::complete : stream_end::reset);
}

void connection_core::data_ready(std::int32_t id)
{
    nghttp2_session_resume_data(session_, id);
    schedule_write();
}

void connection_core::reset_stream(std::int32_t id)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    schedule_write();
}

void connection_core::consumed(std::int32_t id, std::size_t bytes)
{
    nghttp2_session_consume(session_, id, bytes);
    schedule_write();
}

} // namespace medlarstall::peer
