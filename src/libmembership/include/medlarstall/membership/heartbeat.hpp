#ifndef MEDLARSTALL_MEMBERSHIP_HEARTBEAT_HPP
#define MEDLARSTALL_MEMBERSHIP_HEARTBEAT_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// What a daemon says of its links. Plain data.
struct link_report
{
    std::string reporter;
    std::uint64_t incarnation = 0;   ///< Start time of the reporter.
    std::uint64_t version = 0;       ///< Grows with each report.
    std::vector<std::string> broken; ///< Neighbours that are not heard, or do
                                     ///< not hear the reporter.
    std::vector<std::string> extra;  ///< Further daemons with a sound link.

    [[nodiscard]] std::string const& key() const { return reporter; }
    [[nodiscard]] bool newer_than(link_report const& other) const
    {
        return std::pair{incarnation, version} >
               std::pair{other.incarnation, other.version};
    }
    bool operator==(link_report const&) const = default;
};

/// News that a backend server is leaving, or is back. Plain data.
struct leaving_notice
{
    std::string backend_server;
    std::uint64_t epoch = 0; ///< Grows each time it leaves or comes back.
    bool leaving = true;

    [[nodiscard]] std::string const& key() const { return backend_server; }
    [[nodiscard]] bool newer_than(leaving_notice const& other) const
    {
        return epoch > other.epoch;
    }
    bool operator==(leaving_notice const&) const = default;
};

/// What a daemon has seen of a request that crashes backend servers. Plain
/// data.
struct quarantine_notice
{
    std::string id; ///< Names the request and the daemon that tells of it.
    std::uint64_t version = 0; ///< Grows with each change of the record.
    nlohmann::json record;     ///< Known to the sender and receiver only.

    [[nodiscard]] std::string const& key() const { return id; }
    [[nodiscard]] bool newer_than(quarantine_notice const& other) const
    {
        return version > other.version;
    }
    bool operator==(quarantine_notice const&) const = default;
};

/// Sent to each neighbour at an interval, and at once when there is news.
/// Plain data.
struct heartbeat
{
    std::string from;
    std::uint64_t incarnation = 0; ///< Start time of the sender.
    std::uint64_t sequence = 0;    ///< Grows on each link.
    std::uint64_t heard = 0;       ///< Last sequence that the sender heard.
    std::uint64_t catalogue_offset = 0;
    std::string catalogue_chain;    ///< First 16 digits of the chain digest.
    std::uint64_t reports_hash = 0; ///< Of the link reports it knows.
    bool wanted = false;            ///< The sender needs the link itself.
    std::vector<link_report> reports;
    std::vector<leaving_notice> leaving;
    std::vector<quarantine_notice> quarantine;

    bool operator==(heartbeat const&) const = default;
};

/// \param message a heartbeat
/// \return its compact JSON form, meant for CBOR
[[nodiscard]] nlohmann::json to_json(heartbeat const& message);

/// \param value what to_json() gave at the sender
/// \return the heartbeat, or an error with the place of the value at fault
[[nodiscard]] result<heartbeat> parse_heartbeat(nlohmann::json const& value);

} // namespace medlarstall::membership

#endif
