#ifndef MEDLARSTALL_DAEMON_CALL_REGISTRY_HPP
#define MEDLARSTALL_DAEMON_CALL_REGISTRY_HPP

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <utility>

namespace medlarstall::daemon {

/// The calls that a daemon is answering. The daemon aborts them when it stops,
/// so that no call outlives it.
class call_registry
{
public:
    /// Adds a call.
    /// \param call address of the call, which identifies it
    /// \param abort ends the call without an answer
    void add(void const* call, std::function<void()> abort)
    {
        calls_.emplace(call, std::move(abort));
    }

    /// Removes a call that has ended; does nothing if it is unknown.
    void remove(void const* call) { calls_.erase(call); }

    /// Ends every call without an answer and empties the registry.
    void abort_all()
    {
        for (auto const& [call, abort] : std::exchange(calls_, {})) {
            abort();
        }
    }

    /// \return number of calls that have not ended
    [[nodiscard]] std::size_t size() const { return calls_.size(); }

private:
    std::unordered_map<void const*, std::function<void()>> calls_;
};

} // namespace medlarstall::daemon

#endif
