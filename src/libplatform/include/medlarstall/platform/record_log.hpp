#ifndef MEDLARSTALL_PLATFORM_RECORD_LOG_HPP
#define MEDLARSTALL_PLATFORM_RECORD_LOG_HPP

#include <medlarstall/platform/log_types.hpp>

#include <deque>
#include <map>
#include <optional>

namespace medlarstall::platform {

/// An append-only log in memory. Repeated appends take effect once. It knows
/// no clock and no transport; memory_platform and the stand-in of the platform
/// own such logs.
class record_log
{
public:
    /// Appends records, or finds an earlier append of the same name.
    /// \param request writer, sequence and records
    /// \param now time of the platform
    /// \return where the records stand, or an error for an empty append
    result<append_receipt> append(append_request request, wall_time now);

    /// Reads retained records in order.
    /// \param from offset of the first wanted record
    /// \param limit most records to return
    /// \return records from the later of \p from and the first retained offset
    [[nodiscard]] log_page read(log_offset from, std::size_t limit) const;

    /// Drops every record appended before a time.
    /// \param oldest time of the oldest record to retain
    /// \return number of records dropped
    std::size_t expire_before(wall_time oldest);

    /// Drops every record below an offset.
    /// \param first lowest offset to retain
    /// \return number of records dropped
    std::size_t expire_below(log_offset first);

    /// \return first retained offset
    [[nodiscard]] log_offset first() const { return first_; }

    /// \return offset that the next append gets
    [[nodiscard]] log_offset end() const { return first_ + records_.size(); }

    /// Changes a retained record in place, to imitate damage.
    /// \param offset offset of the record
    /// \param value its new value
    /// \return false if the record is not retained
    bool overwrite(log_offset offset, nlohmann::json value);

private:
    using receipts = std::map<std::uint64_t, append_receipt>;

    [[nodiscard]] std::optional<append_receipt>
    earlier_receipt(append_request const& request) const;
    void remember(append_request const& request, append_receipt receipt);

    log_offset first_ = 0;
    std::deque<log_record> records_;
    std::map<std::string, receipts, std::less<>> receipts_;
};

} // namespace medlarstall::platform

#endif
