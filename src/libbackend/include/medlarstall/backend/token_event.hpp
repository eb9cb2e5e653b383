#ifndef MEDLARSTALL_BACKEND_TOKEN_EVENT_HPP
#define MEDLARSTALL_BACKEND_TOKEN_EVENT_HPP

#include <medlarstall/support/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall::backend {

/// Token counts that an engine reports at the end of a response.
struct token_usage
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    /// Prompt tokens that the engine read from its prefix cache.
    std::uint32_t cached_tokens = 0;
};

/// One event of an engine stream.
struct token_event
{
    std::string attempt; ///< Identifier of the attempt.
    std::uint64_t token_index = 0;
    std::string content;
    std::string finish_reason; ///< Empty until the response is complete.
    token_usage usage;
};

/// Parses the events of an engine stream.
class token_event_parser
{
public:
    /// \param text JSON text of one event
    /// \param event receives the event; its strings reuse their memory from
    ///     call to call
    /// \return an error if the text is not valid JSON, or lacks the attempt or
    ///     the token index
    [[nodiscard]] status parse(std::string_view text, token_event& event) const;
};

} // namespace medlarstall::backend

#endif
