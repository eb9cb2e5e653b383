#include "daemon_session.hpp"

#include <asio/steady_timer.hpp>

#include <optional>

namespace medlarstall::cli {

namespace {

constexpr std::size_t largest_answer = std::size_t{64} << 20U;

} // namespace

std::string daemon_reply::problem() const
{
    auto prefix = "status " + std::to_string(status);
    if (!body.is_object() || !body.contains("error") ||
        !body["error"].is_object()) {
        return prefix;
    }
    auto const& problem = body["error"];
    return prefix + ", " + problem.value("code", "no code") + ": " +
           problem.value("message", "");
}

daemon_session::daemon_session(session_settings settings)
    : settings_{std::move(settings)}, http_{context_, {}}
{}

result<daemon_reply> daemon_session::call(std::string const& method,
                                          std::string const& path,
                                          authority who,
                                          std::string const& body)
{
    std::string tried;
    for (auto const& server : settings_.servers) {
        auto reply = call_at(server, method, path, who, body);
        if (!failed(reply)) {
            return reply;
        }
        tried += (tried.empty() ? "" : "; ") + error_of(reply).message;
    }
    return error{"server", tried};
}

result<daemon_reply> daemon_session::call_at(std::string const& server,
                                             std::string const& method,
                                             std::string const& path,
                                             authority who,
                                             std::string const& body)
{
    backend::outgoing_request request{.method = method,
                                      .url = "http://" + server + path,
                                      .fields = {},
                                      .body = body,
                                      .total_timeout = settings_.timeout};
    request.fields.emplace_back("Authorization", "Bearer " + key_of(who));
    if (!body.empty()) {
        request.fields.emplace_back("Content-Type", "application/json");
    }
    std::optional<backend::fetch_result> outcome;
    http_.fetch(std::move(request), largest_answer,
                [&](backend::fetch_result got) { outcome = std::move(got); });
    context_.restart();
    while (!outcome) {
        context_.run_one();
    }
    if (auto const* failure =
            std::get_if<backend::transfer_failure>(&*outcome)) {
        return error{"server",
                     "no answer from " + server + ": " + failure->message};
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

void daemon_session::pause(std::chrono::milliseconds time)
{
    bool passed = false;
    asio::steady_timer timer{context_, time};
    timer.async_wait([&](asio::error_code) { passed = true; });
    context_.restart();
    while (!passed) {
        context_.run_one();
    }
}

std::string const& daemon_session::key_of(authority who) const
{
    bool const operating = who == authority::operating || settings_.key.empty();
    return operating && !settings_.operator_key.empty() ? settings_.operator_key
                                                        : settings_.key;
}

} // namespace medlarstall::cli
