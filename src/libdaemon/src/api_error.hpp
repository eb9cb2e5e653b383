#ifndef MEDLARSTALL_DAEMON_API_ERROR_HPP
#define MEDLARSTALL_DAEMON_API_ERROR_HPP

#include <medlarstall/entry/http_message.hpp>
#include <medlarstall/routing/retry_policy.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <string>

namespace medlarstall::daemon {

using routing::run_state;

/// An answer that is not a success. Plain data.
struct api_error
{
    int status = 500;
    std::string code; ///< Stable; programs may depend on it.
    std::string message;
    run_state run = run_state::not_run;
    std::chrono::milliseconds retry_after{0}; ///< 0: a retry will not help.
};

/// \param state a state
/// \return its name in the Medlarstall-Run field
[[nodiscard]] char const* to_string(run_state state);

/// \param problem what went wrong
/// \return the JSON body that callers get
[[nodiscard]] nlohmann::json error_body(api_error const& problem);

/// \param problem what went wrong
/// \return the whole answer
[[nodiscard]] entry::http_response to_response(api_error const& problem);

/// Makes a successful answer.
/// \param body JSON body
/// \return the whole answer
[[nodiscard]] entry::http_response json_response(nlohmann::json const& body);

} // namespace medlarstall::daemon

#endif
