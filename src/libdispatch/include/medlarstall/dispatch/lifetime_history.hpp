#ifndef MEDLARSTALL_DISPATCH_LIFETIME_HISTORY_HPP
#define MEDLARSTALL_DISPATCH_LIFETIME_HISTORY_HPP

#include <medlarstall/support/time.hpp>

#include <optional>
#include <vector>

namespace medlarstall::dispatch {

/// For how long a stream can be taken up after its first event, under each of
/// the configurations that were in force. What began under one of them keeps
/// its bound, however often the configuration changes afterwards. Owned by
/// stream_origins.
class lifetime_history
{
public:
    /// Sets the lifetime from now on.
    /// \param lifetime the longest time under the configuration in force
    /// \param now current time
    void set(duration lifetime, time_point now);

    /// Notes that a lifetime was in force before, as another daemon knows.
    /// Implausible ones are reduced.
    /// \param lifetime the longest time under any earlier configuration
    /// \param now current time
    void add_earlier(duration lifetime, time_point now);

    /// \param began when something began, or was last known to
    /// \return the longest lifetime that was in force then or later
    [[nodiscard]] duration since(time_point began) const;

    /// Drops lifetimes that bound nothing any more.
    /// \param now current time
    /// \return true if longest() has changed
    bool expire(time_point now);

    /// \return the longest lifetime that still bounds something
    [[nodiscard]] duration longest() const;

private:
    struct past_lifetime
    {
        duration lifetime;
        time_point until; ///< When it may last have been in force.
    };

    void add(past_lifetime const& added);
    [[nodiscard]] duration present() const;

    std::optional<duration> present_; ///< Empty before any configuration.
    /// Later ones are shorter.
    std::vector<past_lifetime> past_;
};

} // namespace medlarstall::dispatch

#endif
