#ifndef MEDLARSTALL_DAEMON_CALL_REGISTRY_HPP
#define MEDLARSTALL_DAEMON_CALL_REGISTRY_HPP

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <utility>

namespace medlarstall::daemon {

/// The calls that a daemon is answering, so that none outlives it.
class call_registry
{
public:
    /// Adds a call.
    /// \param call the call, as its key
    /// \param abandon ends it without an answer
    void add(void const* call, std::function<void()> abandon)
    {
        calls_.emplace(call, std::move(abandon));
    }

    /// Drops a call that has ended.
    void remove(void const* call) { calls_.erase(call); }

    /// Ends every call without an answer.
    void abandon_all()
    {
        for (auto const& [call, abandon] : std::exchange(calls_, {})) {
            abandon();
        }
    }

    /// \return calls that are being answered
    [[nodiscard]] std::size_t size() const { return calls_.size(); }

private:
    std::unordered_map<void const*, std::function<void()>> calls_;
};

} // namespace medlarstall::daemon

#endif
