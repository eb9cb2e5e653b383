#ifndef MEDLARSTALL_GATEWAY_PEER_UPDATE_HPP
#define MEDLARSTALL_GATEWAY_PEER_UPDATE_HPP

#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/dispatch/stream_origins.hpp>
#include <medlarstall/duty/lease_notice.hpp>
#include <medlarstall/duty/true_time.hpp>
#include <medlarstall/duty/usage_row.hpp>
#include <medlarstall/gateway/record_store.hpp>
#include <medlarstall/gateway/topic_age.hpp>
#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::gateway {

/// Parts of a prompt that a daemon has sent to a backend server, without the
/// start of the run that has got it, or parts that a backend server has listed.
using sent_prompt_parts = dispatch::server_prompt_parts;

/// A stream of which nobody can tell which release has begun it.
struct unidentified_stream
{
    std::uint64_t id = 0; ///< As in dispatch::stream_origin_record.
    std::string service;
};

/// State that a daemon sends to its peers several times a second.
struct peer_update
{
    std::string daemon;            ///< Name of the sender.
    std::uint64_t incarnation = 0; ///< Increases with each start of the sender.
    std::uint64_t sequence = 0;    ///< Increases with each update since then.
    std::string entry_address;     ///< Where the sender accepts callers.
    bool ready = false;            ///< The sender accepts new requests.
    /// The sender is a continuous reader, and the store answers.
    bool reads_store = false;
    std::uint64_t configuration_version = 0; ///< In force; 0 if there is none.
    /// Positions up to which the sender knows each topic.
    store_position configuration;
    store_position servers;
    /// Position after the last significant change of a backend server's entry,
    /// as defined at record_follower_events::on_change.
    store_position significant_servers;
    store_position members;
    /// Empty if the sender has not read the store itself lately, or is of an
    /// older version.
    std::optional<announced_read> servers_read;
    std::optional<announced_read> configuration_read;
    /// For how long the store has answered without an outage, as far as the
    /// sender knows.
    std::optional<std::chrono::milliseconds> store_steady_for;
    std::vector<dispatch::leave_notice> leaving;
    std::vector<dispatch::rate_limit_notice> rate_limits;
    std::vector<dispatch::server_load_entry> loads;
    std::vector<sent_prompt_parts> prompts;
    std::vector<dispatch::crash_report> crashes;
    std::vector<dispatch::part_blame> blamed_parts;
    std::vector<dispatch::sound_part> sound_parts;
    /// Releases that may begin streams, of services with several of them.
    std::vector<dispatch::software_release> releases;
    /// Streams that have broken off at the sender before it was known which
    /// process had begun them.
    std::vector<unidentified_stream> unidentified_streams;
    /// Running streams of the sender of which it is not known yet which process
    /// has begun them.
    std::vector<std::uint64_t> open_streams;
    /// Services whose backend servers the sender reaches.
    std::vector<std::string> reached_services;
    /// What the sender knows of the lease of the exclusive duties. Empty if it
    /// knows nothing, has no duties, or is of an older version.
    std::optional<duty::lease_notice> lease;
    /// Requests a second that the sender can take from callers now; 0 if that
    /// is not known, or if the sender is of an older version.
    double entry_capacity = 0;
    /// What the wall clock of the sender shows. Like the next field, it is
    /// empty if the sender does not count requests or is of an older version.
    std::optional<duty::wall_time> wall_clock;
    std::optional<duty::usage_note> usage; ///< Requests that it has counted.
    /// What the sender has observed of backend servers that it, or another
    /// daemon, could not reach. Daemons of an older version send none.
    std::vector<dispatch::server_report> server_reports;
};

/// \param update update to send
/// \return the update as CBOR
[[nodiscard]] std::string encode(peer_update const& update);

/// \param bytes content of a datagram
/// \return the update, or an error if the bytes are not a valid one
[[nodiscard]] result<peer_update> decode_peer_update(std::string_view bytes);

/// \param collected rows of counted requests of several daemons, as encoded by
///     duty::usage_reporter::collected_rows()
/// \return a datagram that a daemon of an older version rejects
[[nodiscard]] std::string encode_collected_usage(std::string const& collected);

/// \param bytes content of a datagram
/// \return the rows; empty if it contains no collected rows
[[nodiscard]] std::optional<std::string>
decode_collected_usage(std::string_view bytes);

/// \param kept prompt parts that the backend servers keep, as far as this
///     daemon knows
/// \return the list as CBOR
[[nodiscard]] std::string
encode(std::vector<dispatch::server_prompt_parts> const& kept);

/// \param bytes prompt parts as encoded by a peer
/// \return the prompt parts, or an error if the bytes are not a valid list
[[nodiscard]] result<std::vector<dispatch::server_prompt_parts>>
decode_kept_parts(std::string_view bytes);

/// \param record what a daemon publishes of its streams
/// \return the record as CBOR
[[nodiscard]] std::string encode(dispatch::stream_origin_record const& record);

/// \param bytes record as encoded by a daemon
/// \return the record, or an error if the bytes are not a valid one
[[nodiscard]] result<dispatch::stream_origin_record>
decode_stream_origins(std::string_view bytes);

/// \param page records of a topic
/// \return the page as CBOR
[[nodiscard]] std::string encode(record_page const& page);

/// \param bytes records as encoded by a peer
/// \return the page, or an error if the bytes are not a valid one
[[nodiscard]] result<record_page> decode_record_page(std::string_view bytes);

} // namespace medlarstall::gateway

#endif
