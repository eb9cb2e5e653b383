#ifndef MEDLARSTALL_GATEWAY_RECORD_STORE_HPP
#define MEDLARSTALL_GATEWAY_RECORD_STORE_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace medlarstall::gateway {

/// The sets of records that a gateway follows.
enum class ledger
{
    configuration,
    backend_servers,
    members
};

/// \param which a ledger
/// \return its name for log lines
[[nodiscard]] char const* name_of(ledger which);

/// A place in a ledger. A store that comes back from an older copy of itself
/// gives out offsets again, in a new era. Ordered by era, then by offset.
struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    auto operator<=>(store_position const&) const = default;
};

/// The newest value of a key, or its removal.
struct record
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0; ///< Order of all changes of an era.
};

/// Records read from a ledger.
struct record_page
{
    std::vector<record> records;
    std::uint64_t next_offset = 0; ///< Where to go on reading.
    bool whole = false;            ///< Names every key that exists.
    std::uint64_t era = 0;         ///< Of all its offsets.

    /// \return where to go on reading
    [[nodiscard]] store_position next() const { return {era, next_offset}; }
};

/// Why the store gave no records.
enum class store_failure
{
    unreachable, ///< No answer in time, or the connection failed.
    turned_away, ///< It answered that it does not serve us now.
    forgotten,   ///< The records asked for are no longer kept.
    outdated     ///< The answer is from before the store was restored.
};

/// \param failure why there are no records
/// \return its name for log lines
[[nodiscard]] char const* name_of(store_failure failure);

/// Outcome of a read.
using page_result = std::variant<record_page, store_failure>;

/// Told the outcome of a read, once.
using page_handler = std::function<void(page_result)>;

/// The store of the platform, as far as a gateway needs it.
struct record_store
{
    /// Reads the newest record of every key.
    std::function<void(ledger, page_handler)> read_newest;
    /// Reads the records from an offset on; waits for one if there is none.
    std::function<void(ledger, std::uint64_t, std::chrono::milliseconds,
                       page_handler)>
        read_from;
    /// Writes a record, or removes its key; told whether it was accepted.
    std::function<void(ledger, record, std::function<void(bool)>)> write;
};

} // namespace medlarstall::gateway

#endif
