#ifndef MEDLARSTALL_DISPATCH_PROMPT_CACHE_ESTIMATE_HPP
#define MEDLARSTALL_DISPATCH_PROMPT_CACHE_ESTIMATE_HPP

#include <medlarstall/dispatch/prompt.hpp>
#include <medlarstall/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace medlarstall::dispatch {

/// Estimates which prompt parts a backend server has in its cache, from the
/// requests that were sent to it. Evicts the least recently used parts first,
/// as the backend server does. Does no I/O; owned by the dispatcher.
class prompt_cache_estimate
{
public:
    /// Sets the size of the cache of the backend server. It applies from the
    /// next call of add().
    /// \param tokens number of tokens that fit; 0 if it is unknown
    void set_capacity(std::uint64_t tokens) { capacity_ = tokens; }

    /// Adds the parts of a prompt that was sent to the backend server, and
    /// evicts others if they exceed the capacity.
    /// \param sent the prompt
    /// \param ready time at which prefill of its parts is expected to be done
    /// \param now current time
    void add(prompt const& sent, time_point ready, time_point now);

    /// \param wanted a prompt
    /// \param now current time
    /// \return number of leading tokens of the prompt for which prefill is
    ///     expected to be done, so that they can be copied
    [[nodiscard]] std::uint32_t ready_tokens(prompt const& wanted,
                                             time_point now) const;

    /// \param wanted a prompt
    /// \return number of leading tokens of the prompt that need no prefill
    ///     there, including those for which it is still under way
    [[nodiscard]] std::uint32_t cached_tokens(prompt const& wanted) const;

    /// \param since start of the time span, exclusive
    /// \return parts that were used after that time, in no particular order
    [[nodiscard]] std::vector<prompt_part>
    parts_used_since(time_point since) const;

    /// \return number of parts that are assumed to be in the cache
    [[nodiscard]] std::size_t size() const { return parts_.size(); }

private:
    struct cached_part
    {
        std::uint32_t tokens;
        time_point used_at;
        time_point ready_at;
    };

    void evict_excess();

    std::unordered_map<std::uint64_t, cached_part> parts_;
    std::uint64_t tokens_ = 0;
    std::uint64_t capacity_ = 0;
};

} // namespace medlarstall::dispatch

#endif
