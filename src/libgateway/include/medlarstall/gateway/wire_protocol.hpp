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

/// What a daemon states of the caller of a request that it has forwarded.
struct stated_origin
{
    std::string daemon; ///< Its name.
    /// Incarnation of that daemon. Empty if it is of an older version: the
    /// caller is then present while the connection is open.
    std::optional<std::uint64_t> incarnation;
    /// Time after which the caller gives up if nothing is delivered.
    std::optional<std::chrono::milliseconds> patience;
};

/// What the header fields of a request tell the gateway.
struct request_metadata
{
    /// Id that the caller gives to this attempt of its request.
    std::string attempt_id;
    std::optional<std::chrono::milliseconds> time_left;
    std::optional<std::string> api_key; ///< API key of an organisation.
    std::optional<dispatch::prompt> model_prompt; ///< Of a request to a model.
    /// Id of the last event that the caller has of a stream that it takes up
    /// again; empty for a new request.
    std::optional<std::string> resume_after;
    /// Id of the attempt that brought the first event of that stream; empty if
    /// the caller does not state it.
    std::string resumed_attempt;
    /// Another daemon has passed the request on.
    bool passed_on = false;
    /// The daemon that has, if it states more than its name.
    std::optional<stated_origin> origin;
};

/// What the gateway adds to a request that it sends to a backend server.
struct send_metadata
{
    std::string backend_server; ///< The only one that may run the request.
    std::chrono::milliseconds time_left{0};
    std::string organisation;       ///< Empty on public routes.
    std::uint32_t urgency_rank = 0; ///< Rank; 0 is the most urgent.
    std::uint32_t rank_count = 1;   ///< Number of ranks.
    /// Address to copy prompt parts from; empty for none.
    std::string copy_source_address;
    /// Id of the last event relayed; the stream goes on after it.
    std::optional<std::uint64_t> resume_after;
};

/// What the gateway adds to a request that it passes on to another daemon.
struct pass_on_metadata
{
    std::string daemon; ///< Name of the daemon that passes it on.
    std::chrono::milliseconds time_left{0};
    std::uint64_t incarnation = 0; ///< Of that daemon.
    /// As in stated_origin.
    std::chrono::milliseconds patience{0};
};

/// What the header fields of an answer of a backend server tell the gateway.
struct answer_metadata
{
    std::optional<std::string> attempt_id;
    /// The backend server stated that it has not run the request.
    bool rejected = false;
    std::optional<dispatch::server_load_report> load;
    std::optional<std::string> backend_server; ///< Id of the sender.
    /// A backend server has made the answer, not a gateway.
    bool from_backend_server = false;
    /// It accepts nothing new and will stop. Holds for its present run only;
    /// draining is stated in its list entry instead.
    bool leaving = false;
    /// It rejected the request and asks this daemon to stop sending for this
    /// long.
    std::optional<std::chrono::milliseconds> requested_pause;
    /// Requests per second that it accepts from all daemons together; zero or
    /// more.
    std::optional<double> rate_limit;
    /// The limit as stated, if it is not a number that can be one.
    std::optional<std::string> malformed_rate_limit;
    /// Requests that the backend server can reject in a second without
    /// crashing, if it states that.
    std::optional<double> rejection_limit;
    /// The same as stated, if it is not a valid number.
    std::optional<std::string> malformed_rejection_limit;
};

/// An answer that the gateway gives itself instead of a backend server.
struct gateway_answer
{
    int status = 0;
    std::string code; ///< Stable error code for programs.
    std::optional<std::chrono::milliseconds> retry_after;
    std::string attempt_id;
};

/// Parses and writes the header fields of the platform that the gateway runs
/// on. Provided by the adapter to the platform.
struct wire_protocol
{
    /// Parses the header fields of a request; an error if one is malformed.
    std::function<result<request_metadata>(http::request_head const&)>
        parse_request;
    /// Replaces the header fields that only the gateway may set.
    std::function<void(http::request_head&, send_metadata const&)>
        prepare_request;
    /// Keeps the fields of the caller for another gateway, which prepares the
    /// request for a backend server.
    std::function<void(http::request_head&, pass_on_metadata const&)>
        prepare_pass_on;
    /// Parses the header fields of an answer.
    std::function<answer_metadata(http::response_head const&)> parse_answer;
    /// Removes header fields meant only for the connection or the gateway.
    std::function<void(http::response_head&)> prepare_answer;
    /// Builds the HTTP response of an answer of the gateway.
    std::function<http::response(gateway_answer const&)> write_gateway_answer;
};

} // namespace medlarstall::gateway

#endif
