#include "session_callbacks.hpp"

namespace medlarstall::peer {

namespace {

connection_core& core_of(void* self)
{
    return *static_cast<connection_core*>(self);
}

std::string_view text(std::uint8_t const* data, std::size_t size)
{
    return {reinterpret_cast<char const*>(data), size};
}

bool starts_request(nghttp2_frame const* frame)
{
    return frame->hd.type == NGHTTP2_HEADERS &&
           frame->headers.cat == NGHTTP2_HCAT_REQUEST;
}

} // namespace

int connection_core::callbacks::begin_headers(nghttp2_session*,
                                              nghttp2_frame const* frame,
                                              void* self)
{
    if (starts_request(frame)) {
        core_of(self).heads_.emplace(frame->hd.stream_id, incoming_head{});
    }
    return 0;
}

int connection_core::callbacks::header(
    nghttp2_session*, nghttp2_frame const* frame, std::uint8_t const* name,
    std::size_t name_size, std::uint8_t const* value, std::size_t value_size,
    std::uint8_t, void* self)
{
    auto& heads = core_of(self).heads_;
    auto const found = heads.find(frame->hd.stream_id);
    if (found == heads.end()) {
        return 0;
    }
    if (text(name, name_size) == ":path") {
        found->second.path = text(value, value_size);
    } else if (text(name, name_size) == "authorization") {
        found->second.secret = text(value, value_size);
    }
    return 0;
}

int connection_core::callbacks::frame_received(nghttp2_session*,
                                               nghttp2_frame const* frame,
                                               void* self)
{
    auto& core = core_of(self);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        core.leaving_ = true;
        return 0;
    }
    if (frame->hd.type == NGHTTP2_HEADERS) {
        core.head_complete(frame->hd.stream_id);
    }
    bool const carries_end =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (carries_end && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        auto const found = core.streams_.find(frame->hd.stream_id);
        if (found != core.streams_.end()) {
            found->second->ended_there_ = true;
            if (!core.server_) {
                found->second->end();
            }
        }
    }
    return 0;
}

int connection_core::callbacks::frame_sent(nghttp2_session*,
                                           nghttp2_frame const* frame,
                                           void* self)
{
    auto& core = core_of(self);
    if (frame->hd.type == NGHTTP2_HEADERS) {
        auto const found = core.streams_.find(frame->hd.stream_id);
        if (found != core.streams_.end()) {
            found->second->headers_sent_ = true;
        }
    }
    return 0;
}

int connection_core::callbacks::data_received(nghttp2_session*, std::uint8_t,
                                              std::int32_t id,
                                              std::uint8_t const* data,
                                              std::size_t size, void* self)
{
    auto& core = core_of(self);
    auto const found = core.streams_.find(id);
    if (found == core.streams_.end()) {
        nghttp2_session_consume(core.session_, id, size);
        return 0;
    }
    auto const stream = found->second;
    stream->receive(text(data, size));
    return 0;
}

int connection_core::callbacks::stream_closed(nghttp2_session*, std::int32_t id,
                                              std::uint32_t error_code,
                                              void* self)
{
    core_of(self).heads_.erase(id);
    core_of(self).stream_closed(id, error_code);
    return 0;
}

ssize_t connection_core::callbacks::read_data(nghttp2_session*, std::int32_t id,
                                              std::uint8_t* buffer,
                                              std::size_t size,
                                              std::uint32_t* flags,
                                              nghttp2_data_source*, void* self)
{
    auto& core = core_of(self);
    auto const found = core.streams_.find(id);
    if (found == core.streams_.end()) {
        return NGHTTP2_ERR_DEFERRED;
    }
    auto& stream = *found->second;
    auto const taken = stream.take(buffer, size);
    if (taken == 0 && !stream.ended_here_) {
        return NGHTTP2_ERR_DEFERRED;
    }
    if (stream.ended_here_ && stream.pending_bytes() == 0) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(taken);
}

nghttp2_session* make_session(bool server, connection_core* core)
{
    using callbacks = connection_core::callbacks;
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
        nghttp2_session_server_new2(&session, table, core, options);
    } else {
        nghttp2_session_client_new2(&session, table, core, options);
    }
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(table);
    return session;
}

nghttp2_data_provider stream_data_provider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = &connection_core::callbacks::read_data;
    return provider;
}

bool secret_matches(std::string_view given, std::string_view expected)
{
    return equal_constant_time(sha256_hex(given), sha256_hex(expected));
}

} // namespace medlarstall::peer
