#ifndef MEDLARSTALL_PLACEMENT_PLACEMENT_RECORD_HPP
#define MEDLARSTALL_PLACEMENT_PLACEMENT_RECORD_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <variant>
#include <vector>

namespace medlarstall::placement {

/// A daemon takes backend servers, or renews its lease on them. The offset of
/// the record is the fencing number. Plain data.
struct fence_record
{
    std::string holder; ///< Names the daemon and its start.
    std::vector<std::string> backend_servers;

    bool operator==(fence_record const&) const = default;
};

/// A daemon asks for a turn at the weight store. Plain data.
struct ticket_record
{
    std::string daemon;
    std::string ticket; ///< Chosen by the daemon, never used again.

    bool operator==(ticket_record const&) const = default;
};

/// What a record of the placement log holds.
using placement_record = std::variant<fence_record, ticket_record>;

/// \param record a record
/// \return its JSON form, to be appended
[[nodiscard]] nlohmann::json to_json(placement_record const& record);

/// \param value value of a log record
/// \return the record, or an error that names the field
[[nodiscard]] result<placement_record>
parse_placement_record(nlohmann::json const& value);

} // namespace medlarstall::placement

#endif
