#ifndef MEDLARSTALL_DISPATCH_PROMPT_HPP
#define MEDLARSTALL_DISPATCH_PROMPT_HPP

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::dispatch {

/// A part of a prompt that other requests may share.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What is known of the prompt of a request before it runs.
struct prompt
{
    std::string model;
    std::uint32_t tokens = 0;        ///< Of the whole prompt.
    std::uint32_t output_tokens = 0; ///< Expected, or at most.
    std::vector<prompt_part> parts;  ///< In order.

    /// \return tokens of all but the last part, which is the request's own
    [[nodiscard]] std::uint32_t shared_tokens() const
    {
        auto const last = parts.empty() ? 0 : parts.back().tokens;
        return tokens - std::min(tokens, last);
    }
};

} // namespace medlarstall::dispatch

#endif
