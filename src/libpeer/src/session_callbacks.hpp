#ifndef MEDLARSTALL_PEER_SESSION_CALLBACKS_HPP
#define MEDLARSTALL_PEER_SESSION_CALLBACKS_HPP

#include "http2_connection.hpp"

#include <medlarstall/support/digest.hpp>

namespace medlarstall::peer {

/// Callbacks that nghttp2 calls with the connection as user data. All but
/// read_data return 0, which means success.
struct http2_connection::callbacks
{
    static int begin_headers(nghttp2_session* session,
                             nghttp2_frame const* frame, void* self);
    static int header(nghttp2_session* session, nghttp2_frame const* frame,
                      std::uint8_t const* name, std::size_t name_size,
                      std::uint8_t const* value, std::size_t value_size,
                      std::uint8_t flags, void* self);
    static int frame_received(nghttp2_session* session,
                              nghttp2_frame const* frame, void* self);
    static int frame_sent(nghttp2_session* session, nghttp2_frame const* frame,
                          void* self);
    static int data_received(nghttp2_session* session, std::uint8_t flags,
                             std::int32_t id, std::uint8_t const* data,
                             std::size_t size, void* self);
    static int stream_closed(nghttp2_session* session, std::int32_t id,
                             std::uint32_t error_code, void* self);
    static ssize_t read_data(nghttp2_session* session, std::int32_t id,
                             std::uint8_t* buffer, std::size_t size,
                             std::uint32_t* flags, nghttp2_data_source* source,
                             void* self);
};

/// Creates an nghttp2 session that calls the callbacks of a connection.
/// \param server true for the daemon that accepted the connection
/// \param connection user data of the callbacks; must outlive the session
/// \return the session; release it with nghttp2_session_del()
[[nodiscard]] nghttp2_session* make_session(bool server,
                                            http2_connection* connection);

/// \return a provider that sends the outgoing bytes of a peer_stream
[[nodiscard]] nghttp2_data_provider stream_data_provider();

/// Compares the SHA-256 digests of two secrets in constant time.
/// \param given secret that the other daemon sent
/// \param expected secret of this daemon
/// \return true if both are equal
[[nodiscard]] bool secret_matches(std::string_view given,
                                  std::string_view expected);

} // namespace medlarstall::peer

#endif
