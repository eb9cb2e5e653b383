#ifndef MEDLARSTALL_DAEMON_CHAT_REQUEST_HPP
#define MEDLARSTALL_DAEMON_CHAT_REQUEST_HPP

#include "api_error.hpp"

#include <medlarstall/routing/prompt_prefix.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace medlarstall::daemon {

/// The parts of a chat completion request that routing needs. Plain data.
struct chat_request
{
    std::string model;
    bool stream = false;
    std::optional<std::uint32_t> max_tokens;
    std::size_t prompt_bytes = 0;    ///< Length of all message texts.
    std::uint32_t prompt_tokens = 0; ///< Estimated from prompt_bytes.
    std::vector<routing::prefix_hash> prefixes; ///< Of the prompt.
};

/// Parses the body of a chat completion request in the format of the OpenAI
/// API.
class chat_request_parser
{
public:
    /// \param max_depth deepest nesting of JSON values that is accepted
    explicit chat_request_parser(std::size_t max_depth) : max_depth_{max_depth}
    {}

    /// \param body JSON text of the request
    /// \return the request, or an error that names the invalid field, its value
    ///     and the values that are allowed
    [[nodiscard]] std::variant<chat_request, api_error>
    parse(std::string const& body) const;

private:
    std::size_t max_depth_;
};

} // namespace medlarstall::daemon

#endif
