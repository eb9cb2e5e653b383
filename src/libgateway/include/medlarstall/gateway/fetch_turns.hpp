#ifndef MEDLARSTALL_GATEWAY_FETCH_TURNS_HPP
#define MEDLARSTALL_GATEWAY_FETCH_TURNS_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace medlarstall::gateway {

/// Decides from which of the daemons that are ahead a ledger is fetched: one
/// at a time, from another after each try, and each daemon from a different
/// one, so that a large record is not asked of the same link by all. Pure;
/// owned by the gateway.
class fetch_turns
{
public:
    /// \param seed number of this daemon
    /// \param least_interval from the begin of a fetch to that of the next
    fetch_turns(std::uint64_t seed, std::chrono::milliseconds least_interval)
        : turn_{seed}, least_interval_{least_interval}
    {}

    /// Takes the next turn.
    /// \param ahead number of daemons that are ahead
    /// \param now current time
    /// \return which of them to ask; nothing while a fetch is under way or
    ///     the last one has just begun
    [[nodiscard]] std::optional<std::size_t> next(std::size_t ahead,
                                                  time_point now);

    /// Notes that the fetch is over.
    void note_end() { running_ = false; }

private:
    std::uint64_t turn_;
    std::chrono::milliseconds least_interval_;
    bool running_ = false;
    time_point not_before_;
};

} // namespace medlarstall::gateway

#endif
