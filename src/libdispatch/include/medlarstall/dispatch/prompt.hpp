#ifndef MEDLARSTALL_DISPATCH_PROMPT_HPP
#define MEDLARSTALL_DISPATCH_PROMPT_HPP

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::dispatch {

/// A consecutive part of a prompt that other requests may have in common, such
/// as a system prompt.
struct prompt_part
{
    std::uint64_t id = 0; ///< Identifies the text; equal for equal parts.
    std::uint32_t tokens = 0;
};

/// What is known of the prompt of a request before the request runs.
struct prompt
{
    std::string model;
    std::uint32_t tokens = 0; ///< Length of the whole prompt.
    /// Expected length of the answer, or its maximum if there is no estimate.
    std::uint32_t output_tokens = 0;
    std::vector<prompt_part> parts; ///< In the order of the prompt.

    /// \return ids of the parts that other requests may share: all but the last
    [[nodiscard]] std::vector<std::uint64_t> shared_part_ids() const
    {
        std::vector<std::uint64_t> ids;
        for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
            ids.push_back(parts[index].id);
        }
        return ids;
    }

    /// \return length of the prompt without its last part, which belongs to
    ///     this request alone
    [[nodiscard]] std::uint32_t shared_tokens() const
    {
        auto const last = parts.empty() ? 0 : parts.back().tokens;
        return tokens - std::min(tokens, last);
    }
};

} // namespace medlarstall::dispatch

#endif
