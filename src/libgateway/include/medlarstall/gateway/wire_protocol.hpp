#ifndef MEDLARSTALL_GATEWAY_WIRE_PROTOCOL_HPP
#define MEDLARSTALL_GATEWAY_WIRE_PROTOCOL_HPP

#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/dispatch/prompt.hpp>
#include <medlarstall/http/message.hpp>
#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace medlarstall::gateway {

/// What a request says besides its method, target and body.
struct request_facts
{
    std::string attempt_id;
    std::optional<std::chrono::milliseconds> time_left;
    std::optional<std::string> key;
    std::optional<dispatch::prompt> asked;
};

/// What is said along with a request that is sent to a backend server.
struct send_facts
{
    std::string backend_server; ///< The only one that may run it.
    std::chrono::milliseconds time_left{0};
    std::string organisation;     ///< Empty on public routes.
    std::uint32_t urgency = 0;    ///< Rank; 0 is the most urgent.
    std::uint32_t urgencies = 1;  ///< Number of ranks.
    std::string copy_prompt_from; ///< Address to copy parts from, or empty.
    std::optional<std::uint64_t> resume_after; ///< Last event delivered.
};

/// What an answer of a backend server says besides status and body.
struct answer_facts
{
    std::optional<std::string> attempt_id;
    bool not_run = false; ///< The backend server did not and will not run it.
    std::optional<dispatch::reported_load> load;
    std::optional<std::string> backend_server;
    bool leaving = false; ///< It takes nothing new and will end.
    /// It turned the request away and wants nothing for so long.
    std::optional<std::chrono::milliseconds> pause;
};

/// An answer that the gateway gives itself.
struct own_answer
{
    int status = 0;
    std::string code; ///< Stable word for programs.
    std::optional<std::chrono::milliseconds> retry_after;
    std::string attempt_id;
};

/// Translates between HTTP messages and what they say. Given by the platform
/// that the gateway runs on.
struct wire_protocol
{
    /// Reads what a request says.
    std::function<result<request_facts>(http::request_head const&)>
        read_request;
    /// Removes what only the gateway may say, and says it.
    std::function<void(http::request_head&, send_facts const&)> prepare_send;
    /// Reads what an answer says.
    std::function<answer_facts(http::response_head const&)> read_answer;
    /// Removes what concerns the connection or the gateway alone.
    std::function<void(http::response_head&)> prepare_answer;
    /// Writes an answer of the gateway.
    std::function<http::response(own_answer const&)> write_own;
};

} // namespace medlarstall::gateway

#endif
