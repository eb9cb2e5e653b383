#ifndef MEDLARSTALL_ENTRY_HTTP_MESSAGE_HPP
#define MEDLARSTALL_ENTRY_HTTP_MESSAGE_HPP

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarstall::entry {

/// Header fields in the order in which they were sent.
using header_fields = std::vector<std::pair<std::string, std::string>>;

/// Finds a header field.
/// \param fields fields to search
/// \param name name in any case
/// \return its value, or an empty text if there is none
[[nodiscard]] std::string_view find_field(header_fields const& fields,
                                          std::string_view name);

/// A request of a caller. Plain data.
struct http_request
{
    std::string method;
    std::string path;  ///< Without the query.
    std::string query; ///< Without the question mark.
    header_fields fields;
    std::string body;
    std::string remote_address;
};

/// A whole answer. Plain data.
struct http_response
{
    int status = 200;
    header_fields fields;
    std::string body;
};

} // namespace medlarstall::entry

#endif
