#include <medlarstall/cli/load_plan.hpp>

#include <charconv>
#include <cmath>

namespace medlarstall::cli {

namespace {

/// Parses a number that must take up the whole text.
/// \return false, with \p value unchanged, if it is invalid or less than \p min
template<class Number>
bool parse_number(std::string_view text, Number min, Number& value)
{
    Number parsed{};
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.begin(), end, parsed);
    if (read.ec != std::errc{} || read.ptr != end || parsed < min) {
        return false;
    }
    value = parsed;
    return true;
}

/// Parses a duration of at least 1 ms.
bool parse_milliseconds(std::string_view text,
                        std::chrono::milliseconds& target)
{
    std::int64_t count = 0;
    if (!parse_number<std::int64_t>(text, 1, count)) {
        return false;
    }
    target = std::chrono::milliseconds{count};
    return true;
}

/// Sets the member of a stream that has the given name.
/// \return an empty text on success, otherwise what is allowed
std::string parse_member(std::string_view key, std::string_view value,
                         load_stream& stream)
{
    constexpr double min_weight = 1e-6;
    std::uint64_t const min_tokens = 1;
    if (key == "class") {
        stream.service_class = value;
    } else if (key == "key") {
        stream.key = value;
    } else if (key == "model") {
        stream.model = value;
    } else if (key == "weight") {
        return parse_number(value, min_weight, stream.weight)
                   ? ""
                   : "a number above 0";
    } else if (key == "tokens") {
        return parse_number(value, min_tokens, stream.output_tokens)
                   ? ""
                   : "a whole number from 1";
    } else if (key == "prompt_bytes") {
        return parse_number<std::size_t>(value, 1, stream.prompt_bytes)
                   ? ""
                   : "a whole number from 1";
    } else if (key == "first_token_ms") {
        return parse_milliseconds(value, stream.time_to_first_token_target)
                   ? ""
                   : "milliseconds, from 1";
    } else if (key == "between_tokens_ms") {
        return parse_milliseconds(value, stream.inter_token_latency_target)
                   ? ""
                   : "milliseconds, from 1";
    } else {
        return "class, key, model, weight, tokens, prompt_bytes, "
               "first_token_ms, between_tokens_ms as names";
    }
    return {};
}

} // namespace

std::string load_stream::label() const
{
    constexpr std::size_t shown_key_length = 8;
    auto const class_name = service_class.empty() ? "default" : service_class;
    return key.empty() ? class_name
                       : class_name + " " + key.substr(0, shown_key_length);
}

result<load_stream> parse_load_stream(std::string_view text,
                                      load_stream defaults)
{
    while (!text.empty()) {
        auto const member = text.substr(0, text.find(';'));
        text.remove_prefix(std::min(member.size() + 1, text.size()));
        auto const equals = member.find('=');
        if (equals == std::string_view::npos) {
            return error{"mix", "\"" + std::string{member} +
                                    "\"; allowed: NAME=VALUE"};
        }
        auto const allowed = parse_member(member.substr(0, equals),
                                          member.substr(equals + 1), defaults);
        if (!allowed.empty()) {
            return error{"mix", "\"" + std::string{member} +
                                    "\"; allowed: " + allowed};
        }
    }
    return defaults;
}

load_plan::load_plan(load_profile profile, std::vector<load_stream> streams)
    : profile_{profile}, streams_{std::move(streams)}, random_{profile.seed}
{
    std::vector<double> weights;
    weights.reserve(streams_.size());
    for (auto const& stream : streams_) {
        weights.push_back(stream.weight);
    }
    stream_distribution_ = {weights.begin(), weights.end()};
}

bool load_plan::next(planned_request& request)
{
    using seconds = std::chrono::duration<double>;
    // The gap to the next request is drawn for a rate of 1 and then divided by
    // the rate in force. That rate changes every half period of the swing, so
    // the part of the gap that fits before each change is deducted in turn.
    double remaining_gap = draw_unit_rate_gap();
    while (true) {
        auto const half_period =
            std::chrono::nanoseconds{profile_.swing_period} / 2;
        auto const boundary = (current_offset_ / half_period + 1) * half_period;
        auto const rate = rate_at(current_offset_);
        auto const available =
            seconds{boundary - current_offset_}.count() * rate;
        if (remaining_gap < available) {
            current_offset_ +=
                std::chrono::duration_cast<std::chrono::nanoseconds>(
                    seconds{remaining_gap / rate});
            break;
        }
        remaining_gap -= available;
        current_offset_ = boundary;
        if (current_offset_ >= profile_.total_duration) {
            return false;
        }
    }
    if (current_offset_ >= profile_.total_duration) {
        return false;
    }
    request.start_offset = current_offset_;
    request.sequence_number = next_sequence_number_++;
    request.stream_index = stream_distribution_(random_);
    request.is_straggler =
        std::bernoulli_distribution{profile_.straggler_fraction}(random_);
    auto const tokens =
        static_cast<double>(streams_[request.stream_index].output_tokens) *
        (request.is_straggler ? profile_.straggler_token_factor : 1.0);
    request.output_tokens = static_cast<std::uint64_t>(std::llround(tokens));
    return true;
}

double load_plan::rate_at(std::chrono::nanoseconds offset) const
{
    auto const half_period =
        std::chrono::nanoseconds{profile_.swing_period} / 2;
    bool const is_high = (offset / half_period) % 2 == 1;
    return profile_.requests_per_second *
           (is_high ? profile_.swing_high_factor : profile_.swing_low_factor);
}

double load_plan::draw_unit_rate_gap()
{
    if (profile_.pattern == arrival_pattern::even) {
        return 1.0;
    }
    return std::exponential_distribution<double>{1.0}(random_);
}

std::string make_prompt(planned_request const& request, std::size_t min_bytes)
{
    auto prompt = "Request " + std::to_string(request.sequence_number) +
                  " #tokens=" + std::to_string(request.output_tokens) + " ";
    while (prompt.size() < min_bytes) {
        prompt += "Summarise the history below. ";
    }
    return prompt;
}

} // namespace medlarstall::cli
