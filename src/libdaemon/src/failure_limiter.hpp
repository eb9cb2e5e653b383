#ifndef MEDLARSTALL_DAEMON_FAILURE_LIMITER_HPP
#define MEDLARSTALL_DAEMON_FAILURE_LIMITER_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace medlarstall::daemon {

/// Slows down whoever tries keys: after some failures an address is refused
/// until its window has passed. Bounded in memory.
class failure_limiter
{
public:
    /// \param address IP number of a caller
    /// \param now current time
    /// \return true if its calls are refused for now
    [[nodiscard]] bool blocks(std::string const& address, time_point now) const;

    /// Notes a call with a wrong key.
    void note_failure(std::string const& address, time_point now);

private:
    static constexpr unsigned max_failures = 10; ///< In one window.
    static constexpr std::chrono::seconds window{10};
    static constexpr std::size_t max_addresses = 4'096;

    struct record
    {
        unsigned failures = 0;
        time_point since;
    };

    std::map<std::string, record> records_;
};

} // namespace medlarstall::daemon

#endif
