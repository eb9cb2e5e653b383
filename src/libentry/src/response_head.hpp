#ifndef MEDLARSTALL_ENTRY_RESPONSE_HEAD_HPP
#define MEDLARSTALL_ENTRY_RESPONSE_HEAD_HPP

#include <medlarstall/entry/http_message.hpp>
#include <medlarstall/http/message.hpp>

namespace medlarstall::entry {

/// \param status HTTP status code
/// \param fields header fields, without those of the framing
/// \return the head of a response
[[nodiscard]] inline http::response_head
to_response_head(int status, header_fields const& fields)
{
    http::response_head head;
    head.status = status;
    for (auto const& [name, value] : fields) {
        head.headers.add(name, value);
    }
    return head;
}

} // namespace medlarstall::entry

#endif
