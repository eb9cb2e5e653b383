#ifndef MEDLARSTALL_PEER_SESSION_CALLBACKS_HPP
#define MEDLARSTALL_PEER_SESSION_CALLBACKS_HPP

#include "connection_core.hpp"

#include <medlarstall/support/digest.hpp>

namespace medlarstall::peer {

/// What nghttp2 calls on a connection.
struct connection_core::callbacks
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

/// Makes a session whose callbacks go to a connection.
/// \param server true for the side that accepted the connection
/// \param core connection that outlives the session
/// \return the session, freed by nghttp2_session_del
[[nodiscard]] nghttp2_session* make_session(bool server, connection_core* core);

/// \return a provider that takes the outgoing bytes of a peer_stream
[[nodiscard]] nghttp2_data_provider stream_data_provider();

/// Compares secrets through their digests, in constant time.
[[nodiscard]] bool secret_matches(std::string_view given,
                                  std::string_view expected);

} // namespace medlarstall::peer

#endif
