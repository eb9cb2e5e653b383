#ifndef MEDLARSTALL_MEMBERSHIP_TREE_MESSAGE_HPP
#define MEDLARSTALL_MEMBERSHIP_TREE_MESSAGE_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Greatest value of entry_load::load, for a daemon that is full.
inline constexpr unsigned full_load = 15;

/// How loaded an entry daemon is; spreads inside its data centre. Plain data.
struct entry_load
{
    std::string daemon;
    std::uint64_t incarnation = 0; ///< Start time of the daemon.
    std::uint64_t version = 0;     ///< Grows with each change.
    unsigned load = 0;             ///< From 0 to full_load.
    bool draining = false;

    [[nodiscard]] std::string const& key() const { return daemon; }
    [[nodiscard]] bool newer_than(entry_load const& other) const
    {
        return incarnation != other.incarnation
                   ? incarnation > other.incarnation
                   : version > other.version;
    }
    bool operator==(entry_load const&) const = default;
};

/// Which catalogue versions are applied by a part of the daemons. Plain data.
struct in_force_summary
{
    std::string data_centre;
    unsigned daemons = 0;
    std::uint64_t least_offset = 0;
    std::uint64_t most_offset = 0;
    std::string chain;     ///< First digits of the chain at most_offset.
    bool disagree = false; ///< Unlike chains at the same offset.
    std::vector<std::string> behind; ///< Some daemons below most_offset.

    bool operator==(in_force_summary const&) const = default;
};

/// What was served to an organisation. Adds up. Plain data.
struct share_counts
{
    std::uint64_t tokens = 0;   ///< Output tokens served.
    std::uint64_t requests = 0; ///< Requests served.
    std::uint64_t refused = 0;  ///< Requests shed or over a limit.
    std::uint64_t delayed = 0;  ///< Requests that waited beyond their target.

    share_counts& operator+=(share_counts const& other);
    bool operator==(share_counts const&) const = default;
};

/// Served to one organisation in one class, or to all that no other row
/// names. Plain data.
struct share_row
{
    std::uint64_t window = 0; ///< Number of the time window.
    std::string organisation; ///< Empty: the rest.
    std::string service_class;
    share_counts counts;

    bool operator==(share_row const&) const = default;
};

/// Sent along the links of the aggregation tree. Plain data.
struct tree_message
{
    std::uint64_t incarnation = 0; ///< Start time of the sender.
    std::uint64_t sequence = 0;    ///< Grows on each link.
    std::vector<entry_load> loads;
    std::optional<in_force_summary> part;   ///< Of the sender's subtree.
    std::vector<in_force_summary> in_force; ///< Of each data centre.
    std::vector<share_row> shares;          ///< To be added.

    bool operator==(tree_message const&) const = default;
};

/// \param message a message
/// \return its compact JSON form, meant for CBOR
[[nodiscard]] nlohmann::json to_json(tree_message const& message);

/// \param value what to_json() gave at the sender
/// \return the message, or an error with the place of the value at fault
[[nodiscard]] result<tree_message>
parse_tree_message(nlohmann::json const& value);

} // namespace medlarstall::membership

#endif
