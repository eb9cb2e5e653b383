#ifndef MEDLARSTALL_STANDINS_JSON_REPLIES_HPP
#define MEDLARSTALL_STANDINS_JSON_REPLIES_HPP

#include <medlarstall/standins/http_host.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::standins {

/// Answers with a JSON body.
inline void reply_json(http_exchange& exchange, unsigned code,
                       nlohmann::json const& body, header_list headers = {})
{
    exchange.reply(code, body.dump(), std::move(headers));
}

/// Answers with an error text.
inline void reply_error(http_exchange& exchange, unsigned code,
                        std::string const& message, header_list headers = {})
{
    reply_json(exchange, code, {{"error", {{"message", message}}}},
               std::move(headers));
}

/// Answers that nothing was run.
inline void reply_not_run(http_exchange& exchange, unsigned code,
                          std::string const& message)
{
    reply_error(exchange, code, message, {{"X-Not-Run", "1"}});
}

} // namespace medlarstall::standins

#endif
