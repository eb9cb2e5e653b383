#ifndef MEDLARSTALL_PEER_MESSAGE_HPP
#define MEDLARSTALL_PEER_MESSAGE_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace medlarstall::peer {

/// A message between daemons, which is a JSON value.
using message = nlohmann::json;

/// Maximum size of an encoded message, in bytes.
inline constexpr std::size_t max_message_bytes = std::size_t{32} * 1024 * 1024;

/// Maximum nesting depth of a message.
inline constexpr std::size_t max_message_depth = 32;

/// Encodes a message as CBOR, prefixed with its length as four bytes in network
/// byte order.
/// \param content message to encode
/// \return length prefix and encoded message
[[nodiscard]] std::string encode(message const& content);

/// Decodes messages from a stream of bytes that arrives in pieces.
class message_decoder
{
public:
    /// Receives a decoded message.
    using handler = std::function<void(message)>;

    /// Adds received bytes and decodes each message that is complete.
    /// \param bytes next bytes of the stream
    /// \param on_message called for each decoded message
    /// \return an error if a message is too long or is not valid CBOR; the
    ///     decoder cannot be used any further then
    [[nodiscard]] status feed(std::string_view bytes,
                              handler const& on_message);

private:
    std::string buffer_;
};

} // namespace medlarstall::peer

#endif
