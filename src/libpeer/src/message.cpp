#include <medlarstall/peer/message.hpp>

#include <medlarstall/support/json_text.hpp>

namespace medlarstall::peer {

namespace {

/// Size of the length prefix of a message.
constexpr std::size_t length_prefix_bytes = 4;

/// Reads a length prefix in network byte order.
std::size_t read_length(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_prefix_bytes; ++i) {
        length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    return length;
}

} // namespace

std::string encode(message const& content)
{
    std::string bytes(length_prefix_bytes, '\0');
    message::to_cbor(content, bytes);
    auto const length = bytes.size() - length_prefix_bytes;
    for (std::size_t i = 0; i < length_prefix_bytes; ++i) {
        bytes[i] =
            static_cast<char>(length >> (8 * (length_prefix_bytes - 1 - i)));
    }
    return bytes;
}

status message_decoder::feed(std::string_view bytes, handler const& on_message)
{
    buffer_ += bytes;
    std::size_t position = 0;
    while (buffer_.size() - position >= length_prefix_bytes) {
        auto const remaining = std::string_view{buffer_}.substr(position);
        auto const length = read_length(remaining);
        if (length > max_message_bytes) {
            return error{"message length",
                         std::to_string(length) + " bytes; at most " +
                             std::to_string(max_message_bytes)};
        }
        if (remaining.size() < length_prefix_bytes + length) {
            break;
        }
        auto const encoded = remaining.substr(length_prefix_bytes, length);
        auto content = parse_cbor(encoded, {.max_depth = max_message_depth,
                                            .max_bytes = max_message_bytes});
        if (failed(content)) {
            return error{"message",
                         "is not CBOR: " + error_of(content).message};
        }
        position += length_prefix_bytes + length;
        on_message(std::move(value_of(content)));
    }
    buffer_.erase(0, position);
    return success();
}

} // namespace medlarstall::peer
