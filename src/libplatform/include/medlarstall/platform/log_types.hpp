#ifndef MEDLARSTALL_PLATFORM_LOG_TYPES_HPP
#define MEDLARSTALL_PLATFORM_LOG_TYPES_HPP

#include <medlarstall/support/uuid.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::platform {

/// Position of a record in a log, counted from 0.
using log_offset = std::uint64_t;

/// One record of a log. Plain data.
struct log_record
{
    log_offset offset = 0;
    wall_time time; ///< When the platform appended it.
    std::string writer;
    std::uint64_t sequence = 0; ///< The writer's number of the append.
    nlohmann::json value;
};

/// Records of one read. Plain data.
struct log_page
{
    log_offset first = 0; ///< First retained offset of the log.
    log_offset end = 0;   ///< Offset that the next append gets.
    std::vector<log_record> records;
};

/// What to append. The pair of writer and sequence names the append: sent
/// again, it appends nothing more.
struct append_request
{
    std::string writer;
    std::uint64_t sequence = 0;
    std::vector<nlohmann::json> records; ///< They get adjacent offsets.
};

/// Where the records of an append stand.
struct append_receipt
{
    log_offset offset = 0; ///< Offset of the first record.
    std::size_t count = 0;

    bool operator==(append_receipt const&) const = default;
};

} // namespace medlarstall::platform

#endif
