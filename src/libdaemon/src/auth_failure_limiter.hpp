#ifndef MEDLARSTALL_DAEMON_AUTH_FAILURE_LIMITER_HPP
#define MEDLARSTALL_DAEMON_AUTH_FAILURE_LIMITER_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace medlarstall::daemon {

/// Limits attempts to guess keys: an address with too many authentication
/// failures in one time window is refused until the window ends. The number of
/// addresses kept is bounded.
class auth_failure_limiter
{
public:
    /// \param address IP address of the caller
    /// \param now current time
    /// \return true if calls from this address are to be refused now
    [[nodiscard]] bool is_blocked(std::string const& address,
                                  time_point now) const;

    /// Counts a call with a wrong key.
    /// \param address IP address of the caller
    /// \param now current time
    void record_failure(std::string const& address, time_point now);

private:
    static constexpr unsigned max_failures = 10; ///< Per window.
    static constexpr std::chrono::seconds window{10};
    static constexpr std::size_t max_addresses = 4'096;

    struct address_record
    {
        unsigned failures = 0;
        time_point window_start;
    };

    std::map<std::string, address_record> records_;
};

} // namespace medlarstall::daemon

#endif
