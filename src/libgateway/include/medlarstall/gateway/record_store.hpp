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

/// The topics of keyed records that a gateway uses.
enum class record_topic
{
    configuration,
    backend_servers,
    members,
    stream_origins, ///< Which release began which stream; read on demand.
    duties          ///< Who holds the exclusive duties; read on demand.
};

/// \param topic topic to name
/// \return name of the topic in log lines and in the URLs of requests to peers
[[nodiscard]] char const* name_of(record_topic topic);

/// A position in a topic. A store that is restored from an older copy assigns
/// the same offsets again, and starts a new era to tell them apart. The records
/// before a position have smaller offsets; the record at the offset itself is
/// not among them and is the next to read. Ordered by era, then by offset.
struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    auto operator<=>(store_position const&) const = default;
};

/// How a record came from the store.
struct record_read
{
    std::string reader;            ///< Name of the daemon that read it.
    std::chrono::milliseconds age; ///< Time since its read began.
};

/// A value that was written to a key, or the removal of the key.
struct record
{
    std::string key;
    std::optional<std::string> value; ///< Empty: the key was removed.
    std::uint64_t offset = 0;         ///< Orders all changes of an era.
    /// Empty if it is not known, for example from a peer of an older version.
    std::optional<record_read> read = std::nullopt;
};

/// Records read from a topic.
struct record_page
{
    std::vector<record> records;
    std::uint64_t next_offset = 0; ///< Where to continue reading.
    bool is_snapshot = false;      ///< The page contains every existing key.
    std::uint64_t era = 0;         ///< Era of all offsets of the page.
    /// The store had no further records when it answered. Peers do not tell.
    bool reaches_end = false;

    /// \return position at which to continue reading
    [[nodiscard]] store_position next_position() const
    {
        return {era, next_offset};
    }
};

/// Why a read of the store returned no records.
enum class store_failure
{
    unreachable, ///< The connection failed, or no response came in time.
    rejected, ///< The store responded that it does not serve this daemon now.
    offset_unavailable, ///< The store does not hold the requested offset (any
                        ///< more).
    stale_era           ///< The response is from before the store was restored.
};

/// \param failure why there are no records
/// \return name of the failure in log lines
[[nodiscard]] char const* name_of(store_failure failure);

/// Outcome of a read.
using read_result = std::variant<record_page, store_failure>;

/// Called exactly once, with the outcome of a read.
using read_handler = std::function<void(read_result)>;

/// How a conditional append has ended.
enum class append_status
{
    accepted,
    conflict, ///< The topic does not end at the expected offset.
    refused,  ///< The store has done nothing.
    unknown   ///< The append may have been executed, or may be later.
};

/// Outcome of a conditional append.
struct append_outcome
{
    append_status status = append_status::unknown;
    /// End of the topic after the append; set if it was accepted.
    store_position end;
};

/// Called exactly once, with the outcome of a conditional append.
using append_handler = std::function<void(append_outcome const&)>;

/// Operations of the platform's store that a gateway needs.
struct record_store
{
    /// Reads a snapshot: the latest record of every existing key.
    std::function<void(record_topic, read_handler)> read_snapshot;
    /// Reads the records from an offset on; waits for up to the given time if
    /// there are none yet.
    std::function<void(record_topic, std::uint64_t, std::chrono::milliseconds,
                       read_handler)>
        read_from;
    /// Writes a record, or removes its key if the value is empty. The handler
    /// is called with whether the store accepted the write.
    std::function<void(record_topic, record, std::function<void(bool)>)> write;
    /// Appends a record if the topic ends at an offset.
    std::function<void(record_topic, record, std::uint64_t, append_handler)>
        append_at;
};

} // namespace medlarstall::gateway

#endif
