#ifndef MEDLARSTALL_BACKEND_TOKEN_EVENT_HPP
#define MEDLARSTALL_BACKEND_TOKEN_EVENT_HPP

#include <medlarstall/support/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall::backend {

/// Token counts that an engine reports with the end of an answer.
struct token_usage
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// One event of an engine's stream. Plain data.
struct token_event
{
    std::string attempt;
    std::uint64_t token_index = 0;
    std::string content;
    std::string finish_reason; ///< Empty until the answer is whole.
    token_usage usage;
};

/// Reads the events of an engine's stream.
class token_event_reader
{
public:
    /// \param text JSON text of one event
    /// \param event receives what the text holds; its strings keep their
    ///     memory from call to call
    /// \return an error if the text is not such an event
    [[nodiscard]] status read(std::string_view text, token_event& event) const;
};

} // namespace medlarstall::backend

#endif
