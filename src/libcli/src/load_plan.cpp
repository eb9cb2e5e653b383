#include <medlarstall/cli/load_plan.hpp>

#include <charconv>
#include <cmath>

namespace medlarstall::cli {

namespace {

template<class Number>
bool parse_number(std::string_view text, Number least, Number& value)
{
    Number parsed{};
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.begin(), end, parsed);
    if (read.ec != std::errc{} || read.ptr != end || parsed < least) {
        return false;
    }
    value = parsed;
    return true;
}

bool parse_span(std::string_view text, std::chrono::milliseconds& span)
{
    std::int64_t count = 0;
    if (!parse_number<std::int64_t>(text, 1, count)) {
        return false;
    }
    span = std::chrono::milliseconds{count};
    return true;
}

/// \return what is allowed if the member was refused, else an empty text
std::string read_member(std::string_view key, std::string_view value,
                        load_stream& stream)
{
    constexpr double least_weight = 1e-6;
    std::uint64_t const least_tokens = 1;
    if (key == "class") {
        stream.service_class = value;
    } else if (key == "key") {
        stream.key = value;
    } else if (key == "model") {
        stream.model = value;
    } else if (key == "weight") {
        return parse_number(value, least_weight, stream.weight)
                   ? ""
                   : "a number above 0";
    } else if (key == "tokens") {
        return parse_number(value, least_tokens, stream.tokens)
                   ? ""
                   : "a whole number from 1";
    } else if (key == "prompt_bytes") {
        return parse_number<std::size_t>(value, 1, stream.prompt_bytes)
                   ? ""
                   : "a whole number from 1";
    } else if (key == "first_token_ms") {
        return parse_span(value, stream.first_token) ? ""
                                                     : "milliseconds, from 1";
    } else if (key == "between_tokens_ms") {
        return parse_span(value, stream.between_tokens)
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
    constexpr std::size_t shown_key = 8;
    auto const named = service_class.empty() ? "default" : service_class;
    return key.empty() ? named : named + " " + key.substr(0, shown_key);
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
        auto const allowed = read_member(member.substr(0, equals),
                                         member.substr(equals + 1), defaults);
        if (!allowed.empty()) {
            return error{"mix", "\"" + std::string{member} +
                                    "\"; allowed: " + allowed};
        }
    }
    return defaults;
}

load_plan::load_plan(load_shape shape, std::vector<load_stream> streams)
    : shape_{shape}, streams_{std::move(streams)}, random_{shape.seed}
{
    std::vector<double> weights;
    weights.reserve(streams_.size());
    for (auto const& stream : streams_) {
        weights.push_back(stream.weight);
    }
    pick_ = {weights.begin(), weights.end()};
}

bool load_plan::next(planned_request& request)
{
    using seconds = std::chrono::duration<double>;
    // The gap is drawn at rate 1 and stretched by the rate, which changes at
    // the half periods of the swing.
    double left = next_gap();
    while (true) {
        auto const half = std::chrono::nanoseconds{shape_.swing_period} / 2;
        auto const boundary = (at_ / half + 1) * half;
        auto const rate = rate_at(at_);
        auto const room = seconds{boundary - at_}.count() * rate;
        if (left < room) {
            at_ += std::chrono::duration_cast<std::chrono::nanoseconds>(
                seconds{left / rate});
            break;
        }
        left -= room;
        at_ = boundary;
        if (at_ >= shape_.span) {
            return false;
        }
    }
    if (at_ >= shape_.span) {
        return false;
    }
    request.at = at_;
    request.number = number_++;
    request.stream = pick_(random_);
    request.straggler = std::bernoulli_distribution{shape_.stragglers}(random_);
    auto const tokens = static_cast<double>(streams_[request.stream].tokens) *
                        (request.straggler ? shape_.straggler_factor : 1.0);
    request.tokens = static_cast<std::uint64_t>(std::llround(tokens));
    return true;
}

double load_plan::rate_at(std::chrono::nanoseconds at) const
{
    auto const half = std::chrono::nanoseconds{shape_.swing_period} / 2;
    bool const high = (at / half) % 2 == 1;
    return shape_.requests_per_second *
           (high ? shape_.swing_high : shape_.swing_low);
}

double load_plan::next_gap()
{
    if (shape_.pattern == arrival_pattern::even) {
        return 1.0;
    }
    return std::exponential_distribution<double>{1.0}(random_);
}

std::string make_prompt(planned_request const& request, std::size_t bytes)
{
    auto prompt = "Request " + std::to_string(request.number) +
                  " #tokens=" + std::to_string(request.tokens) + " ";
    while (prompt.size() < bytes) {
        prompt += "Summarise the history below. ";
    }
    return prompt;
}

} // namespace medlarstall::cli
