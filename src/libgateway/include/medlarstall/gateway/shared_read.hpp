#ifndef MEDLARSTALL_GATEWAY_SHARED_READ_HPP
#define MEDLARSTALL_GATEWAY_SHARED_READ_HPP

#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <optional>

namespace medlarstall::gateway {

/// Decides when a read begins that several requests wait for, and which of them
/// its result serves. A result may be as old as the beginning of its read. It
/// therefore tells what is absent only to those who asked before the read
/// began. Reads are compared by their order, not by a clock, which may stand
/// while the daemon is suspended. Performs no I/O; owned by the gateway.
class shared_read
{
public:
    /// Number of a read, in the order in which reads begin.
    using number = std::uint64_t;

    /// \return number of the read that began last; later ones are greater
    [[nodiscard]] number last_begun() const { return last_begun_; }

    /// Begins a read if none is in progress.
    /// \param now current time
    /// \param min_interval least time between the beginnings of two reads
    /// \return number of the read to make; empty if none may begin now
    [[nodiscard]] std::optional<number> try_begin(time_point now,
                                                  duration min_interval);

    /// Notes the end of a read that has returned everything.
    /// \param ended number of the read
    void on_success(number ended);

    /// Notes the end of a read without a result.
    /// \param ended number of the read
    void on_failure(number ended);

    /// \param asked last_begun() at the time of the question
    /// \return true if a read that began later has returned everything
    [[nodiscard]] bool succeeded_after(number asked) const
    {
        return last_success_ > asked;
    }

    /// \param asked last_begun() at the time of the question
    /// \return true if a read that began later has failed
    [[nodiscard]] bool failed_after(number asked) const
    {
        return last_failure_ > asked;
    }

private:
    number last_begun_ = 0;
    number last_success_ = 0;
    number last_failure_ = 0;
    bool in_progress_ = false;
    std::optional<time_point> began_at_;
};

} // namespace medlarstall::gateway

#endif
