#ifndef MEDLARSTALL_ENTRY_HTTP_MESSAGE_HPP
#define MEDLARSTALL_ENTRY_HTTP_MESSAGE_HPP

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarstall::entry {

/// Header fields in the order in which they were sent.
using header_fields = std::vector<std::pair<std::string, std::string>>;

/// Looks up a header field by name.
/// \param fields header fields of a message
/// \param name name of the field; case is ignored
/// \return value of the first field with this name, empty if there is none
[[nodiscard]] std::string_view find_field(header_fields const& fields,
                                          std::string_view name);

/// An HTTP request as a client sent it.
struct http_request
{
    std::string method;
    std::string path;  ///< Path of the URL, without the query.
    std::string query; ///< Without the leading question mark.
    header_fields fields;
    /// Shared with the connection, so that it is held once.
    std::shared_ptr<std::string const> shared_body;
    std::string remote_address; ///< IP address, without the port.

    /// \return the complete body, may be empty
    [[nodiscard]] std::string const& body() const { return *shared_body; }
};

/// A complete HTTP response.
struct http_response
{
    int status = 200;
    header_fields fields;
    std::string body;
};

} // namespace medlarstall::entry

#endif
