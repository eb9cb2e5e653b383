#ifndef MEDLARSTALL_STANDINS_SWITCH_REQUEST_HPP
#define MEDLARSTALL_STANDINS_SWITCH_REQUEST_HPP

#include "json_replies.hpp"

#include <medlarstall/support/result.hpp>

#include <optional>

namespace medlarstall::standins {

/// Answers POST /standin/switches and does what acts on the connections.
/// \param exchange request with a JSON object of switches
/// \param host server whose connections may be silenced or dropped
/// \param current switches in effect
/// \return the new switches, or nothing if the request was refused
template<class Switches>
[[nodiscard]] std::optional<Switches>
take_switch_request(http_exchange& exchange, http_host& host,
                    Switches const& current)
{
    auto object =
        nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!object.is_object()) {
        reply_error(exchange, 400, "not a JSON object");
        return std::nullopt;
    }
    bool const silence = object.value("silence_open_connections", false);
    bool const drop = object.value("drop_connections", false);
    object.erase("silence_open_connections");
    object.erase("drop_connections");
    auto changed = current;
    auto const outcome = read_switches(object, changed);
    if (failed(outcome)) {
        auto const& failure = error_of(outcome);
        reply_error(exchange, 400, failure.field + ": " + failure.message);
        return std::nullopt;
    }
    exchange.reply(200, "{}");
    if (silence) {
        host.silence_open_connections();
    }
    if (drop) {
        host.drop_connections();
    }
    return changed;
}

} // namespace medlarstall::standins

#endif
