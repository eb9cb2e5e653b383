#include "api_error.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::daemon {

namespace {

std::string dump(nlohmann::json const& body)
{
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// \return the duration rounded up to whole seconds, at least 1, because
///     Retry-After takes whole seconds
std::string retry_after_text(std::chrono::milliseconds span)
{
    return std::to_string(
        std::max(std::chrono::ceil<std::chrono::seconds>(span).count(),
                 std::chrono::seconds::rep{1}));
}

} // namespace

char const* to_string(run_state state)
{
    switch (state) {
    case run_state::not_run:
        return "not-run";
    case run_state::ran:
        return "run";
    case run_state::unknown:
        return "unknown";
    }
    return "unknown";
}

nlohmann::json error_body(api_error const& problem)
{
    nlohmann::json error{{"code", problem.code},
                         {"message", problem.message},
                         {"type", problem.status < 500 ? "invalid_request_error"
                                                       : "server_error"},
                         {"run", to_string(problem.run)}};
    if (problem.retry_after.count() > 0) {
        error["retry_after_ms"] = problem.retry_after.count();
    }
    return {{"error", std::move(error)}};
}

entry::http_response to_response(api_error const& problem)
{
    entry::http_response response;
    response.status = problem.status;
    response.fields = {{"Content-Type", "application/json"},
                       {"Medlarstall-Run", to_string(problem.run)}};
    if (problem.retry_after.count() > 0) {
        response.fields.emplace_back("Retry-After",
                                     retry_after_text(problem.retry_after));
    }
    response.body = dump(error_body(problem));
    return response;
}

entry::http_response json_response(nlohmann::json const& body)
{
    return {.status = 200,
            .fields = {{"Content-Type", "application/json"}},
            .body = dump(body) + "\n"};
}

} // namespace medlarstall::daemon
