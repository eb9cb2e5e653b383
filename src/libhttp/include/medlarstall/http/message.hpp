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
    std::string target; ///< Path and query as received.
    header_list headers;
};

/// Start line and header fields of a response.
struct response_head
{
    int status = 0;
    std::string reason;
    header_list headers;
};

/// A response whose body is known as a whole.
struct response
{
    response_head head;
    std::string body;
};

/// How the end of a body is told.
enum class body_framing
{
    none,    ///< There is no body.
    length,  ///< Content-Length.
    chunked, ///< Transfer-Encoding: chunked.
    until_close
};

/// \param target path and query of a request
/// \return the path
[[nodiscard]] std::string_view path_of(std::string_view target);

/// Looks up a parameter of a query.
/// \param target path and query of a request
/// \param name name of the parameter
/// \return its value as written, empty if there is none
[[nodiscard]] std::string_view query_value(std::string_view target,
                                           std::string_view name);

/// Looks up a number in a query.
/// \param target path and query of a request
/// \param name name of the parameter
/// \return its value, 0 if there is none
[[nodiscard]] std::uint64_t query_number(std::string_view target,
                                         std::string_view name);

/// \param status status code
/// \return the usual reason phrase
[[nodiscard]] std::string_view reason_of(int status);

/// Writes a request whose body follows with a length.
/// \param head start line and fields without framing fields
/// \param body the whole body
/// \return text for the wire
[[nodiscard]] std::string write_request(request_head const& head,
                                        std::string_view body);

/// Writes the head of a response.
/// \param head start line and fields without framing fields
/// \param framing how its end is told
/// \param length length of the body in bytes, if framing is length
/// \param close whether the connection ends with it
/// \return text for the wire
[[nodiscard]] std::string write_response_head(response_head const& head,
                                              body_framing framing,
                                              std::size_t length, bool close);

/// Wraps bytes as one chunk of a chunked body.
/// \param bytes bytes of the chunk, not empty
/// \return text for the wire
[[nodiscard]] std::string write_chunk(std::string_view bytes);

/// Chunk that ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace medlarstall::http

#endif
