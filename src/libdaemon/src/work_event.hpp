#ifndef MEDLARSTALL_DAEMON_WORK_EVENT_HPP
#define MEDLARSTALL_DAEMON_WORK_EVENT_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace medlarstall::daemon {

/// The owner has sent the order to a backend server. Plain data.
struct work_dispatched
{
    std::string backend_server;
    std::string address; ///< Host of the backend server.
    std::uint16_t port = 0;
    std::chrono::milliseconds queue_wait{0}; ///< Since the request arrived.
};

/// Status and header fields of a plain service's answer. Plain data.
struct work_response_head
{
    int status = 0; ///< HTTP status code.
    std::vector<std::pair<std::string, std::string>> fields;
};

/// Consecutive tokens of an engine's answer. Plain data.
struct work_tokens
{
    std::uint64_t first_index = 0; ///< Index of the first token.
    std::uint32_t token_count = 0;
    std::string text; ///< Text of all these tokens.
};

/// Part of the body of a plain service's answer. Plain data.
struct work_response_data
{
    std::string bytes;
};

/// The answer is complete. Plain data.
struct work_finished
{
    std::string finish_reason;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// The order was not run and will not be run. Plain data.
struct work_refused
{
    std::string code;
    std::string message;
    std::chrono::milliseconds retry_after{0}; ///< Zero if there is no advice.
    bool retry_elsewhere = true; ///< Another owner may run the order.
};

/// The order was sent to a backend server and got no complete answer. Plain
/// data.
struct work_failed
{
    std::string code;
    std::string message;
    /// The backend server may have crashed while it ran the order.
    bool may_have_crashed = false;
    bool executed = false; ///< Known to have run; if false, it may have run.
};

/// An event that an owner reports to the entry daemon about an order. Any
/// number of work_dispatched, work_response_head, work_tokens and
/// work_response_data comes first, then exactly one of the last three.
using work_event =
    std::variant<work_dispatched, work_response_head, work_tokens,
                 work_response_data, work_finished, work_refused, work_failed>;

/// \param event an event of an order
/// \return true if no other event of the order follows
[[nodiscard]] bool is_last(work_event const& event);

/// \param event an event of an order
/// \return the JSON object that daemons exchange for this event
[[nodiscard]] nlohmann::json to_json(work_event const& event);

/// \param object JSON object as to_json() makes it
/// \return the event, or an error that names what is missing or invalid
[[nodiscard]] result<work_event> parse_work_event(nlohmann::json const& object);

} // namespace medlarstall::daemon

#endif
