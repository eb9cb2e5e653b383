#ifndef MEDLARSTALL_HTTP_MESSAGE_PARSER_HPP
#define MEDLARSTALL_HTTP_MESSAGE_PARSER_HPP

#include <medlarstall/http/message.hpp>

#include <http_parser.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarstall::http {

/// The type of message that a parser reads.
enum class message_kind
{
    request,
    response
};

/// Why a message was rejected.
enum class parse_failure
{
    none,
    malformed,      ///< The bytes are not a valid HTTP/1.1 message.
    head_too_large, ///< Start line or header fields exceed the limit.
    body_too_large
};

/// Largest message that a parser accepts.
struct parser_limits
{
    std::size_t max_head_bytes = 65536;
    std::uint64_t max_body_bytes = UINT64_MAX;
    std::size_t max_target_bytes = SIZE_MAX;
    /// Of the name and of the value of one header field.
    std::size_t max_field_bytes = SIZE_MAX;
    std::size_t max_fields = SIZE_MAX;
};

/// Parses one HTTP/1.1 message at a time from a byte stream. It stops right
/// after the message and leaves the bytes of the next one to the caller. Bytes
/// of the body are buffered until take_body(). Owned by a connection.
class message_parser
{
public:
    /// \param kind type of message to read
    /// \param limits limits of the first message
    explicit message_parser(message_kind kind, parser_limits limits = {});
    message_parser(message_parser const&) = delete;
    message_parser& operator=(message_parser const&) = delete;

    /// Parses bytes until the message is complete or is rejected.
    /// \param bytes bytes from the connection
    /// \return number of bytes consumed; 0 once complete() or failed
    std::size_t feed(std::string_view bytes);

    /// Tells the parser that the peer has closed the connection. This completes
    /// a body without framing, and any other unfinished message fails.
    void finish();

    /// Prepares for the next message.
    /// \param limits limits of that message
    void reset(parser_limits limits);

    /// \return heads of the interim responses (1xx) read since the last call
    [[nodiscard]] std::vector<response_head> take_interim_responses()
    {
        return std::exchange(interim_responses_, {});
    }

    /// Declares that the next response has no body whatever its fields say, as
    /// is the case for a response to HEAD. reset() clears this.
    void expect_no_body() { no_body_ = true; }

    /// \return true once the first byte of the message was read
    [[nodiscard]] bool started() const { return started_; }

    /// \return true once start line and header fields were read
    [[nodiscard]] bool has_head() const { return has_head_; }

    /// \return true once the message was read to its end
    [[nodiscard]] bool complete() const { return complete_; }

    /// \return why the message was rejected, or parse_failure::none
    [[nodiscard]] parse_failure failure() const { return failure_; }

    /// \return true if the message allows the connection to be reused; valid
    ///     once has_head()
    [[nodiscard]] bool keeps_alive() const { return keeps_alive_; }

    /// \return how the end of the body is found; valid once has_head()
    [[nodiscard]] body_framing framing() const { return framing_; }

    /// \return start line and fields of a request; valid once has_head()
    [[nodiscard]] request_head& request() { return request_; }

    /// \return start line and fields of a response; valid once has_head()
    [[nodiscard]] response_head& response() { return response_; }

    /// \return bytes of the body read since the last call, may be empty
    [[nodiscard]] std::string take_body();

    /// \return bytes of the buffers of the message, with unused capacity
    [[nodiscard]] std::size_t held_bytes() const;

    /// \return bytes of the body that may still follow: the rest of the
    ///     announced length, or of the limit; valid once has_head()
    [[nodiscard]] std::uint64_t max_remaining_bytes() const
    {
        return body_bound() - std::min(body_bound(), body_bytes_);
    }

    /// Drops the message and the memory of its buffers.
    void release();

    /// Examines bytes that a server sent after its response.
    /// \param rest received bytes after a complete response
    /// \return true if they belong to another final response, as a server may
    ///     write one twice; false for interim responses and for a body that the
    ///     response must not have
    [[nodiscard]] static bool begins_final_response(std::string_view rest);

private:
    static http_parser_settings const& callbacks();
    header_list& headers();
    int on_start_line_text(std::string& text, char const* data,
                           std::size_t length);
    int on_header_field(char const* data, std::size_t length);
    int on_header_value(char const* data, std::size_t length);
    int on_head();
    int on_chunk_size(std::uint64_t length);
    int on_body(char const* data, std::size_t length);
    int on_complete();
    int fail(parse_failure reason);
    bool store_header();
    [[nodiscard]] bool is_valid_response() const;
    [[nodiscard]] std::uint64_t body_bound() const;
    void grow_body(std::size_t length);

    http_parser parser_{};
    message_kind kind_;
    parser_limits limits_;
    request_head request_;
    response_head response_;
    std::vector<response_head> interim_responses_;
    header pending_header_; ///< Field that is not read completely yet.
    std::string body_;
    std::size_t head_bytes_ = 0;
    std::uint64_t body_bytes_ = 0;
    std::uint64_t announced_bytes_ = 0; ///< Content-Length.
    body_framing framing_ = body_framing::none;
    parse_failure failure_ = parse_failure::none;
    bool value_started_ = false;
    bool no_body_ = false;
    bool started_ = false;
    bool has_head_ = false;
    bool complete_ = false;
    bool keeps_alive_ = false;
};

} // namespace medlarstall::http

#endif
