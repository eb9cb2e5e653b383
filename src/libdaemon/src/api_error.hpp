#ifndef MEDLARSTALL_DAEMON_API_ERROR_HPP
#define MEDLARSTALL_DAEMON_API_ERROR_HPP

#include <medlarstall/entry/http_message.hpp>
#include <medlarstall/routing/retry_policy.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <string>

namespace medlarstall::daemon {

using routing::run_state;

/// The error with which a call is answered. Plain data.
struct api_error
{
    int status = 500; ///< HTTP status code.
    /// Machine-readable; stable, since clients may depend on it.
    std::string code;
    std::string message;                      ///< Explanation for people.
    run_state run = run_state::not_run;       ///< Whether the request was run.
    std::chrono::milliseconds retry_after{0}; ///< 0: retries do not help.
};

/// \param state whether a request was run
/// \return the value of the Medlarstall-Run header field for this state
[[nodiscard]] char const* to_string(run_state state);

/// \param problem the error to report
/// \return the JSON error object that is sent to the caller as the body
[[nodiscard]] nlohmann::json error_body(api_error const& problem);

/// \param problem the error to report
/// \return an HTTP response with the JSON error object, the Medlarstall-Run
///     field and, if a retry may help, Retry-After
[[nodiscard]] entry::http_response to_response(api_error const& problem);

/// \param body JSON value to send
/// \return an HTTP response with status 200 and this body
[[nodiscard]] entry::http_response json_response(nlohmann::json const& body);

} // namespace medlarstall::daemon

#endif
