#include "session_callbacks.hpp"

namespace medlarstall::peer {

namespace {

http2_connection& connection_of(void* self)
{
    return *static_cast<http2_connection*>(self);
}

std::string_view to_string_view(std::uint8_t const* data, std::size_t size)
{
    return {reinterpret_cast<char const*>(data), size};
}

bool is_request_header(nghttp2_frame const* frame)
{
    return frame->hd.type == NGHTTP2_HEADERS &&
           frame->headers.cat == NGHTTP2_HCAT_REQUEST;
}

} // namespace

int http2_connection::callbacks::begin_headers(nghttp2_session*,
                                               nghttp2_frame const* frame,
                                               void* self)
{
    if (is_request_header(frame)) {
        connection_of(self).request_headers_.emplace(frame->hd.stream_id,
                                                     request_header{});
    }
    return 0;
}

int http2_connection::callbacks::header(
    nghttp2_session*, nghttp2_frame const* frame, std::uint8_t const* name,
    std::size_t name_size, std::uint8_t const* value, std::size_t value_size,
    std::uint8_t, void* self)
{
    auto& request_headers = connection_of(self).request_headers_;
    auto const found = request_headers.find(frame->hd.stream_id);
    if (found == request_headers.end()) {
        return 0;
    }
    if (to_string_view(name, name_size) == ":path") {
        found->second.path = to_string_view(value, value_size);
    } else if (to_string_view(name, name_size) == "authorization") {
        found->second.secret = to_string_view(value, value_size);
    }
    return 0;
}

int http2_connection::callbacks::frame_received(nghttp2_session*,
                                                nghttp2_frame const* frame,
                                                void* self)
{
    auto& connection = connection_of(self);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        connection.going_away_ = true;
        return 0;
    }
    if (frame->hd.type == NGHTTP2_HEADERS) {
        connection.handle_headers_received(frame->hd.stream_id);
    }
    bool const carries_end =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (carries_end && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        auto const found = connection.streams_.find(frame->hd.stream_id);
        if (found != connection.streams_.end()) {
            found->second->receiving_finished_ = true;
            if (!connection.is_server_) {
                found->second->half_close();
            }
        }
    }
    return 0;
}

int http2_connection::callbacks::frame_sent(nghttp2_session*,
                                            nghttp2_frame const* frame,
                                            void* self)
{
    auto& connection = connection_of(self);
    if (frame->hd.type == NGHTTP2_HEADERS) {
        auto const found = connection.streams_.find(frame->hd.stream_id);
        if (found != connection.streams_.end()) {
            found->second->headers_sent_ = true;
        }
    }
    return 0;
}

int http2_connection::callbacks::data_received(nghttp2_session*, std::uint8_t,
                                               std::int32_t id,
                                               std::uint8_t const* data,
                                               std::size_t size, void* self)
{
    auto& connection = connection_of(self);
    auto const found = connection.streams_.find(id);
    if (found == connection.streams_.end()) {
        nghttp2_session_consume(connection.session_, id, size);
        return 0;
    }
    auto const stream = found->second;
    stream->receive(to_string_view(data, size));
    return 0;
}

int http2_connection::callbacks::stream_closed(nghttp2_session*,
                                               std::int32_t id,
                                               std::uint32_t error_code,
                                               void* self)
{
    connection_of(self).request_headers_.erase(id);
    connection_of(self).handle_stream_closed(id, error_code);
    return 0;
}

ssize_t http2_connection::callbacks::read_data(
    nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t size,
    std::uint32_t* flags, nghttp2_data_source*, void* self)
{
    auto& connection = connection_of(self);
    auto const found = connection.streams_.find(id);
    if (found == connection.streams_.end()) {
        return NGHTTP2_ERR_DEFERRED;
    }
    auto& stream = *found->second;
    auto const size_read = stream.read_outgoing(buffer, size);
    if (size_read == 0 && !stream.sending_finished_) {
        return NGHTTP2_ERR_DEFERRED;
    }
    if (stream.sending_finished_ && stream.pending_bytes() == 0) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(size_read);
}

nghttp2_session* make_session(bool server, http2_connection* connection)
{
    using callbacks = http2_connection::callbacks;
    nghttp2_session_callbacks* table = nullptr;
    nghttp2_session_callbacks_new(&table);
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        table, &callbacks::begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(table, &callbacks::header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        table, &callbacks::frame_received);
    nghttp2_session_callbacks_set_on_frame_send_callback(
        table, &callbacks::frame_sent);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        table, &callbacks::data_received);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        table, &callbacks::stream_closed);
    nghttp2_option* options = nullptr;
    nghttp2_option_new(&options);
    nghttp2_option_set_no_auto_window_update(options, 1);
    nghttp2_option_set_peer_max_concurrent_streams(options, 100'000);
    nghttp2_session* session = nullptr;
    if (server) {
        nghttp2_session_server_new2(&session, table, connection, options);
    } else {
        nghttp2_session_client_new2(&session, table, connection, options);
    }
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(table);
    return session;
}

nghttp2_data_provider stream_data_provider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = &http2_connection::callbacks::read_data;
    return provider;
}

bool secret_matches(std::string_view given, std::string_view expected)
{
    return equal_constant_time(sha256_hex(given), sha256_hex(expected));
}

} // namespace medlarstall::peer
