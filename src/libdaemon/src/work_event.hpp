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

/// The owner sent the order to a backend server. Plain data.
struct work_dispatched
{
    std::string backend_server;
    std::string address;
    std::uint16_t port = 0;
    std::chrono::milliseconds waited{0};
};

/// Status and fields of a plain service's answer. Plain data.
struct work_head
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// Adjacent tokens of an answer. Plain data.
struct work_tokens
{
    std::uint64_t first = 0;
    std::uint32_t count = 0;
    std::string text;
};

/// A part of a plain service's body. Plain data.
struct work_data
{
    std::string bytes;
};

/// The answer is whole. Plain data.
struct work_finished
{
    std::string finish_reason;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// The order was not run and will not be. Plain data.
struct work_refused
{
    std::string code;
    std::string message;
    std::chrono::milliseconds retry_after{0};
    bool elsewhere = true; ///< Another owner may run it.
};

/// The order was sent to a backend server and got no whole answer. Plain
/// data.
struct work_failed
{
    std::string code;
    std::string message;
    bool crashed = false;  ///< The backend server may have crashed under it.
    bool executed = false; ///< Known to have run, not just possibly.
};

/// What an owner tells the entry daemon about an order, in this order: any
/// number of dispatched, head, tokens and data, then one of the last three.
using work_event =
    std::variant<work_dispatched, work_head, work_tokens, work_data,
                 work_finished, work_refused, work_failed>;

/// \param event an event
/// \return true if no event follows
[[nodiscard]] bool is_last(work_event const& event);

/// \param event an event
/// \return its JSON form
[[nodiscard]] nlohmann::json to_json(work_event const& event);

/// \param object JSON form
/// \return the event, or what is missing or wrong
[[nodiscard]] result<work_event> parse_work_event(nlohmann::json const& object);

} // namespace medlarstall::daemon

#endif
