#ifndef MEDLARSTALL_GATEWAY_PEER_NEWS_HPP
#define MEDLARSTALL_GATEWAY_PEER_NEWS_HPP

#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/gateway/record_store.hpp>
#include <medlarstall/support/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::gateway {

/// The parts of a prompt that a daemon has sent to a backend server.
using prompt_note = dispatch::kept_parts;

/// What a daemon tells the others, several times a second.
struct peer_news
{
    std::string daemon;            ///< Name of the sender.
    std::uint64_t incarnation = 0; ///< Grows with each start.
    std::uint64_t sequence = 0;    ///< Grows with each news of a start.
    std::string entry_address;     ///< Where it takes callers.
    bool ready = false;            ///< Takes new callers.
    bool store_reachable = false;  ///< It reads the store and gets answers.
    std::uint64_t configuration_version = 0; ///< In force; 0: none.
    store_position configuration; ///< Up to which the ledgers are known.
    store_position servers;
    store_position servers_changed; ///< Behind what matters of them.
    store_position members;
    std::vector<dispatch::leaving_note> leaving;
    std::vector<dispatch::load_note> loads;
    std::vector<prompt_note> prompts;
    std::vector<dispatch::crash_note> crashes;
};

/// \param news news to send
/// \return its bytes (CBOR)
[[nodiscard]] std::string encode(peer_news const& news);

/// \param bytes a datagram
/// \return the news, or what is wrong with it
[[nodiscard]] result<peer_news> decode_news(std::string_view bytes);

/// \param kept what a daemon knows of the backend servers
/// \return its bytes (CBOR)
[[nodiscard]] std::string encode(std::vector<dispatch::kept_parts> const& kept);

/// \param bytes kept parts as encoded by another daemon
/// \return the kept parts, or what is wrong with them
[[nodiscard]] result<std::vector<dispatch::kept_parts>>
decode_kept_parts(std::string_view bytes);

/// \param page records of a ledger
/// \return its bytes (CBOR)
[[nodiscard]] std::string encode(record_page const& page);

/// \param bytes records as encoded by another daemon
/// \return the page, or what is wrong with it
[[nodiscard]] result<record_page> decode_page(std::string_view bytes);

} // namespace medlarstall::gateway

#endif
