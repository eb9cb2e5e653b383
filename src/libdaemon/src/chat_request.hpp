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

/// What the router needs to know of a chat completion request. Plain data.
struct chat_request
{
    std::string model;
    bool stream = false;
    std::optional<std::uint32_t> max_tokens;
    std::size_t prompt_bytes = 0;
    std::uint32_t prompt_tokens = 0; ///< Estimate.
    std::vector<routing::prefix_hash> prefixes;
};

/// Reads the body of a chat completion request in OpenAI's form.
class chat_request_reader
{
public:
    /// \param max_depth deepest nesting allowed
    explicit chat_request_reader(std::size_t max_depth) : max_depth_{max_depth}
    {}

    /// \param body JSON text
    /// \return the request, or an error that names the field, its value and
    ///     what is allowed
    [[nodiscard]] std::variant<chat_request, api_error>
    read(std::string const& body) const;

private:
    std::size_t max_depth_;
};

} // namespace medlarstall::daemon

#endif
