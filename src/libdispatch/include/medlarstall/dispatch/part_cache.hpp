#ifndef MEDLARSTALL_DISPATCH_PART_CACHE_HPP
#define MEDLARSTALL_DISPATCH_PART_CACHE_HPP

#include <medlarstall/dispatch/prompt.hpp>
#include <medlarstall/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace medlarstall::dispatch {

/// Estimate of the prompt parts that a backend server keeps in its memory,
/// from the requests that were sent there. The least recently used parts are
/// forgotten first, as the server does. Pure; owned by the dispatcher.
class part_cache
{
public:
    /// Sets how many tokens the backend server can keep.
    /// \param tokens its memory
    void set_capacity(std::uint64_t tokens) { capacity_ = tokens; }

    /// Notes that a prompt was sent to the backend server.
    /// \param sent the prompt
    /// \param ready when its parts will have been read
    /// \param now current time
    void note(prompt const& sent, time_point ready, time_point now);

    /// \param wanted a prompt
    /// \param now current time
    /// \return tokens at its beginning that have been read, as far as known
    [[nodiscard]] std::uint32_t ready_tokens(prompt const& wanted,
                                             time_point now) const;

    /// \param wanted a prompt
    /// \return tokens at its beginning that need not be read again
    [[nodiscard]] std::uint32_t cached_tokens(prompt const& wanted) const;

    /// \param since a time
    /// \return parts that were used after it
    [[nodiscard]] std::vector<prompt_part> used_since(time_point since) const;

    /// \return number of parts that are remembered
    [[nodiscard]] std::size_t size() const { return parts_.size(); }

private:
    struct kept_part
    {
        std::uint32_t tokens;
        time_point used;
        time_point ready;
    };

    void make_room();

    std::unordered_map<std::uint64_t, kept_part> parts_;
    std::uint64_t tokens_ = 0;
    std::uint64_t capacity_ = 0;
};

} // namespace medlarstall::dispatch

#endif
