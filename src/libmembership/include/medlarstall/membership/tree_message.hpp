#ifndef MEDLARSTALL_MEMBERSHIP_TREE_MESSAGE_HPP
#define MEDLARSTALL_MEMBERSHIP_TREE_MESSAGE_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Upper limit of entry_load::load, which means that the daemon is fully
/// loaded.
inline constexpr unsigned full_load = 15;

/// The load of an entry daemon. It is sent only within its data centre.
struct entry_load
{
    std::string daemon;            ///< Id of the daemon.
    std::uint64_t incarnation = 0; ///< Start time of the daemon.
    std::uint64_t version = 0;     ///< Increases with each change.
    unsigned load = 0;             ///< From 0 to full_load.
    bool draining = false;         ///< It should get no further requests.

    [[nodiscard]] std::string const& key() const { return daemon; }
    [[nodiscard]] bool newer_than(entry_load const& other) const
    {
        return incarnation != other.incarnation
                   ? incarnation > other.incarnation
                   : version > other.version;
    }
    bool operator==(entry_load const&) const = default;
};

/// The catalogue versions that a set of daemons, such as a subtree or a data
/// centre, has applied.
struct in_force_summary
{
    std::string data_centre;
    unsigned daemon_count = 0;    ///< Number of daemons in the set.
    std::uint64_t min_offset = 0; ///< Offset of the oldest version applied.
    std::uint64_t max_offset = 0; ///< Offset of the newest version applied.
    std::string chain_digest;     ///< First digits of the chain digest at
                                  ///< max_offset.
    bool digest_mismatch = false; ///< Daemons with the same offset have
                                  ///< different digests.
    std::vector<std::string> daemons_behind; ///< Ids of some daemons whose
                                             ///< offset is below max_offset.

    bool operator==(in_force_summary const&) const = default;
};

/// Counts of what was served to an organisation.
struct share_counts
{
    std::uint64_t tokens = 0;   ///< Output tokens served.
    std::uint64_t requests = 0; ///< Requests served.
    std::uint64_t refused = 0; ///< Requests that were shed or exceeded a limit.
    std::uint64_t delayed = 0; ///< Requests that waited for longer than their
                               ///< target.

    share_counts& operator+=(share_counts const& other);
    bool operator==(share_counts const&) const = default;
};

/// Counts of one organisation and service class in one time window.
struct share_row
{
    std::uint64_t window = 0; ///< Number of the time window.
    std::string organisation; ///< Empty for the sum of all organisations that
                              ///< have no row of their own.
    std::string service_class;
    share_counts counts;

    bool operator==(share_row const&) const = default;
};

/// A message on a link of the aggregation tree.
struct tree_message
{
    std::uint64_t incarnation = 0;           ///< Start time of the sender.
    std::uint64_t sequence = 0;              ///< Increases on each link.
    std::vector<entry_load> loads;           ///< Loads that changed.
    std::optional<in_force_summary> subtree; ///< Summary of the sender and all
                                             ///< daemons below it; empty if it
                                             ///< did not change.
    std::vector<in_force_summary> in_force;  ///< Summaries of data centres
                                             ///< that changed.
    std::vector<share_row> shares; ///< The receiver adds these counts to its
                                   ///< own.

    bool operator==(tree_message const&) const = default;
};

/// Encodes a tree message.
/// \param message the message
/// \return a compact JSON array, to be sent as CBOR
[[nodiscard]] nlohmann::json to_json(tree_message const& message);

/// Decodes the result of to_json(tree_message const&).
/// \param value received JSON value; it need not be valid
/// \return the message, or an error that names the item at which decoding
///     failed
[[nodiscard]] result<tree_message>
parse_tree_message(nlohmann::json const& value);

} // namespace medlarstall::membership

#endif
