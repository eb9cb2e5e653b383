#ifndef MEDLARSTALL_ENTRY_TRANSPORT_HPP
#define MEDLARSTALL_ENTRY_TRANSPORT_HPP

#include <medlarstall/entry/exchange.hpp>

#include <functional>
#include <string>

namespace medlarstall::entry {

/// Functions that pass one response to the HTTP library. The HTTP server
/// supplies them, so that exchange does not depend on the library.
struct exchange::transport
{
    /// Called with false if the connection closed before the chunk was sent.
    using sent_handler = std::function<void(bool)>;

    std::function<void(http_response)> send_response; ///< Not streamed.
    std::function<void(int, header_fields)> send_header;
    std::function<void(std::string, sent_handler)> send_chunk;
    std::function<void()> send_last_chunk;
    /// Closes the connection without completing the response.
    std::function<void()> abort;
    std::function<void()> on_ended; ///< Called once per exchange.
};

} // namespace medlarstall::entry

#endif
