#ifndef MEDLARSTALL_STANDINS_TEXT_MODEL_HPP
#define MEDLARSTALL_STANDINS_TEXT_MODEL_HPP

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall::standins {

/// What the engine stand-in answers: a function of the prompt alone, so that
/// a test can compare a whole answer. A prompt that contains "#tokens=N" gets
/// N tokens, any other one from 16 to 79.
struct answer_plan
{
    std::uint64_t seed = 0; ///< Hash of the prompt.
    std::uint64_t length = 0;
    bool limited = false; ///< Cut off by the request's max_tokens.
};

/// \param request body of a chat completion request
/// \return contents of its messages joined with line feeds
[[nodiscard]] std::string prompt_of(nlohmann::json const& request);

/// \param prompt prompt as text
/// \return its number of tokens, four bytes to a token
[[nodiscard]] std::uint64_t prompt_tokens(std::string_view prompt);

/// \param prompt prompt as text
/// \param max_tokens most tokens that the request allows
/// \return seed and length of the answer
[[nodiscard]] answer_plan
plan_answer(std::string_view prompt,
            std::optional<std::uint64_t> max_tokens = std::nullopt);

/// \param plan answer
/// \param index number of the token, from 0
/// \return a short word and a space, plain ASCII
[[nodiscard]] std::string token_text(answer_plan const& plan,
                                     std::uint64_t index);

/// \param prompt prompt as text
/// \param max_tokens most tokens that the request allows
/// \return the whole answer
[[nodiscard]] std::string
expected_answer(std::string_view prompt,
                std::optional<std::uint64_t> max_tokens = std::nullopt);

/// What the service stand-in answers in the member "answer" of its reply.
/// \param method HTTP method
/// \param path path with its query
/// \param body body of the call
/// \return hexadecimal hash of all three
[[nodiscard]] std::string expected_service_answer(std::string_view method,
                                                  std::string_view path,
                                                  std::string_view body);

} // namespace medlarstall::standins

#endif
