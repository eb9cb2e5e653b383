#ifndef MEDLARSTALL_HTTP_MESSAGE_PARSER_HPP
#define MEDLARSTALL_HTTP_MESSAGE_PARSER_HPP

#include <medlarstall/http/message.hpp>

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarstall::http {

/// Which messages a parser reads.
enum class message_kind
{
    request,
    response
};

/// Why bytes are not an acceptable message.
enum class parse_failure
{
    none,
    malformed,
    head_too_large,
    body_too_large
};

/// Bounds of a message.
struct parser_limits
{
    std::size_t head_bytes = 65536;
    std::uint64_t body_bytes = UINT64_MAX;
};

/// Reads one HTTP/1.1 message at a time from a byte stream. Stops right after
/// the message, so that the bytes of the next one stay with the caller. Bytes
/// of the body are collected until they are taken. Owned by a connection.
class message_parser
{
public:
    /// \param kind which messages to read
    /// \param limits bounds of each message
    explicit message_parser(message_kind kind, parser_limits limits = {});
    message_parser(message_parser const&) = delete;
    message_parser& operator=(message_parser const&) = delete;

    /// Takes in bytes until the message ends or fails.
    /// \param bytes bytes from the connection
    /// \return number of bytes used
    std::size_t feed(std::string_view bytes);

    /// Tells the parser that the peer has closed its side.
    void finish();

    /// Gets ready for the next message.
    /// \param limits its bounds
    void reset(parser_limits limits);

    /// \return heads of interim responses read since the last call
    [[nodiscard]] std::vector<response_head> take_interim()
    {
        return std::exchange(interim_, {});
    }

    /// Says that the response read next has no body (answer to HEAD).
    void expect_no_body() { bodiless_ = true; }

    /// \return true once a byte of a message was read
    [[nodiscard]] bool started() const { return started_; }

    /// \return true once the head was read
    [[nodiscard]] bool has_head() const { return has_head_; }

    /// \return true once the whole message was read
    [[nodiscard]] bool complete() const { return complete_; }

    /// \return why reading failed
    [[nodiscard]] parse_failure failure() const { return failure_; }

    /// \return true if the connection may be used for another message
    [[nodiscard]] bool keeps_alive() const { return keeps_alive_; }

    /// \return how the end of the body is told
    [[nodiscard]] body_framing framing() const { return framing_; }

    /// \return start line and fields of a request whose head was read
    [[nodiscard]] request_head& request() { return request_; }

    /// \return start line and fields of a response whose head was read
    [[nodiscard]] response_head& response() { return response_; }

    /// \return the bytes of the body read since the last call
    [[nodiscard]] std::string take_body();

private:
    static http_parser_settings const& callbacks();
    header_list& headers();
    int on_text(std::string& text, char const* at, std::size_t length);
    int on_header_field(char const* at, std::size_t length);
    int on_header_value(char const* at, std::size_t length);
    int on_head();
    int on_body(char const* at, std::size_t length);
    int on_complete();
    int fail(parse_failure reason);
    bool store_header();

    http_parser parser_{};
    message_kind kind_;
    parser_limits limits_;
    request_head request_;
    response_head response_;
    std::vector<response_head> interim_;
    header pending_;
    std::string body_;
    std::size_t head_bytes_ = 0;
    std::uint64_t body_bytes_ = 0;
    body_framing framing_ = body_framing::none;
    parse_failure failure_ = parse_failure::none;
    bool value_began_ = false;
    bool bodiless_ = false;
    bool started_ = false;
    bool has_head_ = false;
    bool complete_ = false;
    bool keeps_alive_ = false;
};

} // namespace medlarstall::http

#endif
