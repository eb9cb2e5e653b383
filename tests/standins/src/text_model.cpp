#include <medlarstall/standins/text_model.hpp>

#include <medlarstall/support/digest.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace medlarstall::standins {

namespace {

constexpr std::uint64_t shortest_answer = 16;
constexpr std::uint64_t answer_lengths = 64;
constexpr std::uint64_t bytes_per_token = 4;

constexpr std::array<std::string_view, 16> syllables{
    "ba", "ce", "di", "fo", "gu", "ka", "le", "mi",
    "no", "pu", "ra", "se", "ti", "vo", "wu", "za"};

std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::optional<std::uint64_t> requested_length(std::string_view prompt)
{
    constexpr std::string_view marker = "#tokens=";
    auto const found = prompt.find(marker);
    if (found == std::string_view::npos) {
        return std::nullopt;
    }
    std::string const number{prompt.substr(found + marker.size())};
    std::uint64_t length = 0;
    auto const* const begin = number.c_str();
    if (std::from_chars(begin, begin + number.size(), length).ec !=
        std::errc{}) {
        return std::nullopt;
    }
    return length;
}

std::string content_of(nlohmann::json const& message)
{
    auto const content = message.find("content");
    if (content == message.end()) {
        return {};
    }
    return content->is_string() ? content->get<std::string>() : content->dump();
}

} // namespace

std::string prompt_of(nlohmann::json const& request)
{
    std::string prompt;
    for (auto const& message : request.at("messages")) {
        if (!prompt.empty()) {
            prompt += '\n';
        }
        prompt += content_of(message);
    }
    return prompt;
}

std::uint64_t prompt_tokens(std::string_view prompt)
{
    return (prompt.size() + bytes_per_token - 1) / bytes_per_token;
}

answer_plan plan_answer(std::string_view prompt,
                        std::optional<std::uint64_t> max_tokens)
{
    answer_plan plan{.seed = hash64(prompt)};
    plan.length = requested_length(prompt).value_or(
        shortest_answer + (plan.seed % answer_lengths));
    plan.limited = max_tokens && *max_tokens < plan.length;
    if (plan.limited) {
        plan.length = *max_tokens;
    }
    return plan;
}

std::string token_text(answer_plan const& plan, std::uint64_t index)
{
    auto const bits = mix(plan.seed ^ mix(index));
    std::string word;
    word += syllables[bits & 15U];
    word += syllables[(bits >> 4U) & 15U];
    if (((bits >> 8U) & 1U) != 0) {
        word += syllables[(bits >> 9U) & 15U];
    }
    word += ' ';
    return word;
}

std::string expected_answer(std::string_view prompt,
                            std::optional<std::uint64_t> max_tokens)
{
    auto const plan = plan_answer(prompt, max_tokens);
    std::string answer;
    for (std::uint64_t index = 0; index < plan.length; ++index) {
        answer += token_text(plan, index);
    }
    return answer;
}

std::string expected_service_answer(std::string_view method,
                                    std::string_view path,
                                    std::string_view body)
{
    std::string call{method};
    call.append(" ").append(path).append("\n").append(body);
    return sha256_hex(call).substr(0, 16);
}

} // namespace medlarstall::standins
