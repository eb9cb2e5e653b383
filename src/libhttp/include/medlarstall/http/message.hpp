#ifndef MEDLARSTALL_HTTP_MESSAGE_HPP
#define MEDLARSTALL_HTTP_MESSAGE_HPP

#include <medlarstall/http/header_list.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarstall::http {

/// Start line and header fields of a request.
struct request_head
{
    std::string method;
    std::string target; ///< Path and query, not decoded.
    header_list headers;
};

/// Start line and header fields of a response.
struct response_head
{
    int status = 0;
    std::string reason; ///< If empty, the standard phrase is sent.
    header_list headers;
};

/// A response with its complete body.
struct response
{
    response_head head;
    std::string body;
};

/// How the recipient of a message finds the end of its body.
enum class body_framing
{
    none,       ///< There is no body.
    length,     ///< By Content-Length.
    chunked,    ///< By Transfer-Encoding: chunked.
    until_close ///< The body ends when the sender closes the connection.
};

/// \param target path and query of a request
/// \return the path: all before the first question mark
[[nodiscard]] std::string_view path_of(std::string_view target);

/// Looks up a query parameter.
/// \param target path and query of a request
/// \param name name of the parameter, case-sensitive
/// \return its value without percent-decoding; empty if it is absent
[[nodiscard]] std::string_view query_value(std::string_view target,
                                           std::string_view name);

/// Escapes a value for a query (RFC 3986, percent-encoding).
/// \param value any bytes
/// \return the value with all bytes escaped but letters, digits and "-._~"
[[nodiscard]] std::string escape_query_value(std::string_view value);

/// Looks up a query parameter that is an unsigned decimal number.
/// \param target path and query of a request
/// \param name name of the parameter, case-sensitive
/// \return its value; 0 if it is absent or does not start with a digit
[[nodiscard]] std::uint64_t query_number(std::string_view target,
                                         std::string_view name);

/// \param status HTTP status code
/// \return the standard reason phrase of the code
[[nodiscard]] std::string_view reason_phrase(int status);

/// Serialises a request. Adds Content-Length, except to a GET, HEAD or DELETE
/// request without a body.
/// \param head start line and header fields, without framing fields
/// \param body complete body, may be empty
/// \return the bytes to send
[[nodiscard]] std::string serialize_request(request_head const& head,
                                            std::string_view body);

/// Serialises the head of a request, with Content-Length as
/// serialize_request() adds it.
/// \param head start line and header fields, without framing fields
/// \param length length of the body that follows
/// \return the bytes to send before the body
[[nodiscard]] std::string serialize_request_head(request_head const& head,
                                                 std::size_t length);

/// Serialises the head of a response.
/// \param head start line and header fields, without framing fields
/// \param framing how the recipient finds the end of the body
/// \param length body length in bytes; used only with body_framing::length
/// \param close whether to announce that the connection closes afterwards
/// \return the bytes to send
[[nodiscard]] std::string serialize_response_head(response_head const& head,
                                                  body_framing framing,
                                                  std::size_t length,
                                                  bool close);

/// Encodes bytes as one chunk of a chunked body.
/// \param bytes content of the chunk; not empty, as an empty chunk would end
///     the body
/// \return the bytes to send
[[nodiscard]] std::string encode_chunk(std::string_view bytes);

/// The chunk that ends a chunked body, without trailer fields.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace medlarstall::http

#endif
