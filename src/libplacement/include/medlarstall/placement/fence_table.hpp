#ifndef MEDLARSTALL_PLACEMENT_FENCE_TABLE_HPP
#define MEDLARSTALL_PLACEMENT_FENCE_TABLE_HPP

#include <medlarstall/placement/placement_record.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace medlarstall::placement {

/// Times of leases on backend servers that ignore fencing numbers.
struct lease_settings
{
    std::chrono::milliseconds lease{30'000};
    std::chrono::milliseconds renewal{10'000}; ///< After the last record.
    std::chrono::milliseconds margin{10'000};  ///< For clocks that drift and
                                               ///< orders on their way.
};

/// Who may order which backend server about, by the order of the log. The last
/// fence record of a backend server names its holder and fencing number. An
/// engine that checks fencing numbers needs no more. For one that ignores
/// them, a holder orders only within its lease, which counts from before its
/// record was sent, and a new holder waits until the lease of the former one
/// is over for sure, counted from when its record was read.
class fence_table
{
public:
    /// \param holder names this daemon and its start: a former run of it is
    ///     another holder
    /// \param settings times
    fence_table(std::string holder, lease_settings settings);

    /// Notes that this daemon is about to append a fence record.
    void on_append(fence_record const& record, time_point now);

    /// Applies a record of the log; call it in the order of the offsets.
    void on_record(std::uint64_t offset, fence_record const& record,
                   time_point now);

    /// \param backend_server id
    /// \return true if the last record of it is of this daemon
    [[nodiscard]] bool holds(std::string const& backend_server) const;

    /// \param backend_server id of one that this daemon holds
    /// \return its fencing number
    [[nodiscard]] std::uint64_t
    fencing(std::string const& backend_server) const;

    /// \param backend_server id
    /// \param checks_fencing whether the engine refuses old numbers
    /// \return true if this daemon may send it an order now
    [[nodiscard]] bool may_order(std::string const& backend_server,
                                 bool checks_fencing, time_point now) const;

    /// \param backend_server id of one that ignores fencing numbers
    /// \return true if the lease on it should be renewed
    [[nodiscard]] bool needs_renewal(std::string const& backend_server,
                                     time_point now) const;

private:
    struct entry
    {
        std::string holder;
        std::uint64_t fencing = 0;
        time_point lease_end; ///< Of this daemon's lease.
        time_point free_from; ///< All others' leases are over by then.
        time_point renewed;   ///< When this daemon's record was sent.
    };

    std::string holder_;
    lease_settings settings_;
    std::map<std::string, entry> entries_;
    std::map<std::string, time_point> sent_; ///< By backend server: the first
                                             ///< record that was not read yet.
};

} // namespace medlarstall::placement

#endif
