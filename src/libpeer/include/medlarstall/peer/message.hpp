#ifndef MEDLARSTALL_PEER_MESSAGE_HPP
#define MEDLARSTALL_PEER_MESSAGE_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace medlarstall::peer {

/// A message between daemons.
using message = nlohmann::json;

/// Largest encoded message, in bytes.
inline constexpr std::size_t max_message_bytes = std::size_t{32} * 1024 * 1024;

/// Deepest nesting of a message.
inline constexpr std::size_t max_message_depth = 32;

/// Encodes a message as CBOR behind its length in four bytes.
/// \param content message
/// \return bytes to send
[[nodiscard]] std::string encode(message const& content);

/// Cuts a stream of bytes into messages.
class message_decoder
{
public:
    using handler = std::function<void(message)>;

    /// Takes bytes and hands on each message that is complete.
    /// \param bytes what was received
    /// \param on_message called for each message
    /// \return an error if the bytes are no messages; the stream is then of
    ///     no further use
    [[nodiscard]] status feed(std::string_view bytes,
                              handler const& on_message);

private:
    std::string buffer_;
};

} // namespace medlarstall::peer

#endif
