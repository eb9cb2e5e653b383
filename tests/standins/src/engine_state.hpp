#ifndef MEDLARSTALL_STANDINS_ENGINE_STATE_HPP
#define MEDLARSTALL_STANDINS_ENGINE_STATE_HPP

#include <medlarstall/standins/engine_model.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace medlarstall::standins {

/// \param stream a kept stream
/// \return what another engine needs to continue it
[[nodiscard]] inline nlohmann::json
stream_state_json(engine_stream const& stream)
{
    return {{"attempt", stream.attempt},
            {"seed", stream.plan.seed},
            {"length", stream.plan.length},
            {"limited", stream.plan.limited},
            {"prompt_tokens", stream.prompt_tokens},
            {"cached_tokens", stream.cached_tokens},
            {"priority", stream.priority},
            {"tokens", stream.made}};
}

/// \param text exported state
/// \return the stream, or nothing if the text is no exported state
[[nodiscard]] inline std::optional<engine_stream>
parse_stream_state(std::string const& text)
{
    try {
        auto const object = nlohmann::json::parse(text);
        engine_stream stream;
        object.at("attempt").get_to(stream.attempt);
        object.at("seed").get_to(stream.plan.seed);
        object.at("length").get_to(stream.plan.length);
        object.at("limited").get_to(stream.plan.limited);
        object.at("prompt_tokens").get_to(stream.prompt_tokens);
        object.at("cached_tokens").get_to(stream.cached_tokens);
        object.at("priority").get_to(stream.priority);
        object.at("tokens").get_to(stream.made);
        return stream;
    } catch (nlohmann::json::exception const&) {
        return std::nullopt;
    }
}

} // namespace medlarstall::standins

#endif
