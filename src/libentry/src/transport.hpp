#ifndef MEDLARSTALL_ENTRY_TRANSPORT_HPP
#define MEDLARSTALL_ENTRY_TRANSPORT_HPP

#include <medlarstall/entry/exchange.hpp>

#include <functional>
#include <string>

namespace medlarstall::entry {

/// Hands the parts of one answer to the HTTP library.
struct exchange::transport
{
    using sent_handler = std::function<void(bool)>;

    std::function<void(http_response)> send_whole;
    std::function<void(int, header_fields)> send_head;
    std::function<void(std::string, sent_handler)> send_part;
    std::function<void()> send_end;
    std::function<void()> abort;
    std::function<void()> ended; ///< Called once.
};

} // namespace medlarstall::entry

#endif
