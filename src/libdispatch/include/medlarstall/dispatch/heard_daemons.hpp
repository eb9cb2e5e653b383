#ifndef MEDLARSTALL_DISPATCH_HEARD_DAEMONS_HPP
#define MEDLARSTALL_DISPATCH_HEARD_DAEMONS_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall::dispatch {

/// When another daemon was heard through its updates.
struct daemon_hearing
{
    std::uint64_t incarnation = 0; ///< Of its run that was heard last.
    time_point last_heard;
    /// When it was heard first after its last silence; the start of the clock
    /// if it has not been silent since it was first heard.
    time_point heard_since;
    /// Since when this daemon itself has run without a stall.
    time_point listening_since;
};

/// When each other daemon was heard, by its name. Does no I/O; owned by the
/// gateway.
class heard_daemons
{
public:
    /// A daemon that is not heard for longer has been silent. Two updates in a
    /// row may be lost, as a daemon with forwarded requests sends one each
    /// 100 ms.
    static constexpr std::chrono::milliseconds max_gap{400};

    /// Called for each update of another daemon.
    /// \param name name of the daemon
    /// \param incarnation its incarnation; one of an earlier run is ignored
    /// \param at when the update was heard at the latest
    void on_heard(std::string_view name, std::uint64_t incarnation,
                  time_point at);

    /// Called when this daemon has not run for a while, and so has not heard
    /// what it was sent.
    /// \param now current time
    void on_stall(time_point now) { listening_since_ = now; }

    /// Called when a daemon has left the fleet. It ends its requests in order,
    /// but sends no updates that count.
    /// \param name name of the daemon
    void forget(std::string_view name);

    /// Removes daemons that have not been heard for a minute.
    /// \param now current time
    void expire(time_point now);

    /// \param name name of a daemon
    /// \return when it was heard; empty if it was not
    [[nodiscard]] std::optional<daemon_hearing>
    find(std::string_view name) const;

private:
    std::map<std::string, daemon_hearing, std::less<>> heard_;
    time_point listening_since_;
};

} // namespace medlarstall::dispatch

#endif
