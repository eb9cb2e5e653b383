#ifndef MEDLARSTALL_MEMBERSHIP_HEARTBEAT_HPP
#define MEDLARSTALL_MEMBERSHIP_HEARTBEAT_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// The state of the links of one daemon, as far as it differs from the
/// neighbour_graph.
struct link_report
{
    std::string reporter;                  ///< Id of the daemon that reports.
    std::uint64_t incarnation = 0;         ///< Start time of the reporter.
    std::uint64_t version = 0;             ///< Increases with each report.
    std::vector<std::string> broken_links; ///< Neighbours in the graph whose
                                           ///< link is not healthy.
    std::vector<std::string> extra_links;  ///< Daemons with a healthy link
                                           ///< that is not in the graph.

    [[nodiscard]] std::string const& key() const { return reporter; }
    [[nodiscard]] bool newer_than(link_report const& other) const
    {
        return std::pair{incarnation, version} >
               std::pair{other.incarnation, other.version};
    }
    bool operator==(link_report const&) const = default;
};

/// Tells that a backend server is leaving or that it is live again.
struct leaving_notice
{
    std::string backend_server; ///< Id of the backend server.
    std::uint64_t epoch = 0;    ///< Increases each time the backend server
                                ///< starts or stops leaving.
    bool leaving = true;        ///< False if it is live again.

    [[nodiscard]] std::string const& key() const { return backend_server; }
    [[nodiscard]] bool newer_than(leaving_notice const& other) const
    {
        return epoch > other.epoch;
    }
    bool operator==(leaving_notice const&) const = default;
};

/// What one daemon recorded about a request that crashes backend servers.
struct quarantine_notice
{
    std::string id; ///< Identifies the request and the reporting daemon.
    std::uint64_t version = 0; ///< Increases with each change of the record.
    nlohmann::json record;     ///< Opaque to this library.

    [[nodiscard]] std::string const& key() const { return id; }
    [[nodiscard]] bool newer_than(quarantine_notice const& other) const
    {
        return version > other.version;
    }
    bool operator==(quarantine_notice const&) const = default;
};

/// The message that daemons send to each neighbour at a regular interval, and
/// at once when there is something new to send.
struct heartbeat
{
    std::string from;                    ///< Id of the sender.
    std::uint64_t incarnation = 0;       ///< Start time of the sender.
    std::uint64_t sequence = 0;          ///< Increases on each link.
    std::uint64_t received_sequence = 0; ///< Greatest sequence number that the
                                         ///< sender received on this link.
    std::uint64_t catalogue_offset = 0;  ///< Catalogue version of the sender.
    std::string catalogue_chain_digest;  ///< First 16 digits of the digest.
    std::uint64_t reports_hash = 0; ///< Hash of the link reports the sender
                                    ///< holds.
    bool link_needed = false;       ///< The sender wants to keep this link.
    std::vector<link_report> link_reports;
    std::vector<leaving_notice> leaving_notices;
    std::vector<quarantine_notice> quarantine_notices;

    bool operator==(heartbeat const&) const = default;
};

/// Encodes a heartbeat.
/// \param message the heartbeat
/// \return a compact JSON array, to be sent as CBOR
[[nodiscard]] nlohmann::json to_json(heartbeat const& message);

/// Decodes the result of to_json(heartbeat const&).
/// \param value received JSON value; it need not be valid
/// \return the heartbeat, or an error that names the item at which decoding
///     failed
[[nodiscard]] result<heartbeat> parse_heartbeat(nlohmann::json const& value);

} // namespace medlarstall::membership

#endif
