#include <medlarstall/tests/caller.hpp>

namespace medlarstall::tests {

namespace {

std::string url(std::uint16_t port, std::string const& path)
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

backend::header_fields with_key(std::string const& key)
{
    return {{"Authorization", "Bearer " + key}};
}

} // namespace

nlohmann::json answer::json() const
{
    return nlohmann::json::parse(body, nullptr, false);
}

std::string answer::field(std::string_view name) const
{
    return std::string{backend::find_field(fields, name)};
}

std::string answer::text() const
{
    constexpr std::string_view prefix = "data: ";
    std::string joined;
    std::size_t from = 0;
    while ((from = body.find(prefix, from)) != std::string::npos) {
        from += prefix.size();
        auto const line = body.substr(from, body.find('\n', from) - from);
        auto const event = nlohmann::json::parse(line, nullptr, false);
        if (event.is_object() && event.contains("choices")) {
            joined += event["choices"][0]["delta"].value("content", "");
        }
    }
    return joined;
}

bool answer::whole() const
{
    return complete && body.ends_with("data: [DONE]\n\n");
}

caller::caller(asio::io_context& io) : client_{io, {}} {}

answer_pointer caller::send(backend::outgoing_request request)
{
    auto const got = std::make_shared<answer>();
    backend::transfer_handlers handlers;
    handlers.on_head = [got](backend::response_head const& head) {
        got->status = head.status;
        got->fields = head.fields;
    };
    handlers.on_data = [got](std::string_view data) {
        got->body += data;
    };
    handlers.on_done = [got](backend::transfer_failure const* failure) {
        (failure == nullptr ? got->complete : got->failed) = true;
    };
    got->transfer = client_.start(std::move(request), std::move(handlers));
    return got;
}

answer_pointer caller::chat(std::uint16_t port, std::string const& key,
                            std::string const& prompt,
                            std::string const& service_class, bool stream)
{
    backend::outgoing_request request;
    request.method = "POST";
    request.url = url(port, "/v1/chat/completions");
    request.fields = with_key(key);
    if (!service_class.empty()) {
        request.fields.emplace_back("Medlarstall-Class", service_class);
    }
    request.body =
        nlohmann::json{{"model", "drafts"},
                       {"stream", stream},
                       {"messages", {{{"role", "user"}, {"content", prompt}}}}}
            .dump();
    return send(std::move(request));
}

answer_pointer caller::call(std::uint16_t port, std::string const& key,
                            std::string const& path, std::string body,
                            std::string const& idempotency_key)
{
    backend::outgoing_request request;
    request.method = "POST";
    request.url = url(port, "/services/" + path);
    request.fields = with_key(key);
    request.repeatable = false;
    if (!idempotency_key.empty()) {
        request.fields.emplace_back("Idempotency-Key", idempotency_key);
    }
    request.body = std::move(body);
    return send(std::move(request));
}

answer_pointer caller::get(std::uint16_t port, std::string const& key,
                           std::string const& path)
{
    backend::outgoing_request request;
    request.url = url(port, path);
    request.fields = with_key(key);
    return send(std::move(request));
}

answer_pointer caller::post(std::uint16_t port, std::string const& key,
                            std::string const& path, nlohmann::json const& body)
{
    backend::outgoing_request request;
    request.method = "POST";
    request.url = url(port, path);
    request.fields = with_key(key);
    request.body = body.dump();
    return send(std::move(request));
}

void caller::set_reading(answer const& from, bool reading)
{
    if (reading) {
        client_.resume(from.transfer);
    } else {
        client_.pause(from.transfer);
    }
}

} // namespace medlarstall::tests
