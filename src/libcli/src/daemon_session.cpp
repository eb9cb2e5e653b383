#include "daemon_session.hpp"

#include <asio/steady_timer.hpp>

#include <optional>

namespace medlarstall::cli {

namespace {

constexpr std::size_t max_response_bytes = std::size_t{64} << 20U;

} // namespace

std::string daemon_reply::error_text() const
{
    auto prefix = "status " + std::to_string(status);
    if (!body.is_object() || !body.contains("error") ||
        !body["error"].is_object()) {
        return prefix;
    }
    auto const& details = body["error"];
    return prefix + ", " + details.value("code", "no code") + ": " +
           details.value("message", "");
}

daemon_session::daemon_session(session_settings settings)
    : settings_{std::move(settings)}, http_{context_, {}}
{}

result<daemon_reply> daemon_session::call(std::string const& method,
                                          std::string const& path,
                                          credential auth,
                                          std::string const& body)
{
    std::string failures;
    for (auto const& server : settings_.servers) {
        auto reply = call_server(server, method, path, auth, body);
        if (!failed(reply)) {
            return reply;
        }
        failures += (failures.empty() ? "" : "; ") + error_of(reply).message;
    }
    return error{"server", failures};
}

result<daemon_reply> daemon_session::call_server(std::string const& server,
                                                 std::string const& method,
                                                 std::string const& path,
                                                 credential auth,
                                                 std::string const& body)
{
    backend::outgoing_request request{.method = method,
                                      .url = "http://" + server + path,
                                      .fields = {},
                                      .body = body,
                                      .total_timeout = settings_.timeout};
    request.fields.emplace_back("Authorization", "Bearer " + key_of(auth));
    if (!body.empty()) {
        request.fields.emplace_back("Content-Type", "application/json");
    }
    std::optional<backend::fetch_result> outcome;
    http_.fetch(
        std::move(request), max_response_bytes,
        [&](backend::fetch_result fetched) { outcome = std::move(fetched); });
    context_.restart();
    while (!outcome) {
        context_.run_one();
    }
    if (auto const* failure =
            std::get_if<backend::transfer_failure>(&*outcome)) {
        return error{"server",
                     "no response from " + server + ": " + failure->message};
    }
    auto& response = std::get<backend::fetched_response>(*outcome);
    daemon_reply reply{.status = response.status,
                       .body =
                           nlohmann::json::parse(response.body, nullptr, false),
                       .text = std::move(response.body)};
    if (reply.body.is_discarded()) {
        reply.body = nullptr;
    }
    return reply;
}

void daemon_session::wait(std::chrono::milliseconds time)
{
    bool expired = false;
    asio::steady_timer timer{context_, time};
    timer.async_wait([&](asio::error_code) { expired = true; });
    context_.restart();
    while (!expired) {
        context_.run_one();
    }
}

std::string const& daemon_session::key_of(credential auth) const
{
    bool const use_operator_key =
        auth == credential::operator_key || settings_.key.empty();
    return use_operator_key && !settings_.operator_key.empty()
               ? settings_.operator_key
               : settings_.key;
}

} // namespace medlarstall::cli
