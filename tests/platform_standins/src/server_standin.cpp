#include <medlarstall/platform_standins/server_standin.hpp>

#include <charconv>
#include <utility>

namespace medlarstall::platform_standins {

server_standin::server_standin(asio::io_context& context, std::string id)
    : id_{std::move(id)},
      listener_{context,
                {[this](auto caller) { on_request(std::move(caller)); }, {}},
                256}
{
    std::ignore = listener_.listen({asio::ip::make_address("127.0.0.1"), 0});
}

std::string server_standin::address() const
{
    return "127.0.0.1:" + std::to_string(listener_.address().port());
}

std::string server_standin::entry(std::string const& service,
                                  std::string const& state,
                                  std::uint64_t sequence) const
{
    return R"({"service":")" + service + R"(","address":")" + address() +
           R"(","zone":"z","version":")" + version_ +
           R"(","slots":4,"state":")" + state +
           R"(","coldRemainingMs":0,"sequence":)" + std::to_string(sequence) +
           R"(,"born":)" + std::to_string(started_unix_ms_) + "}";
}

void server_standin::restart(std::string version)
{
    constexpr std::int64_t running_time_ms = 5000;
    started_unix_ms_ += running_time_ms;
    version_ = std::move(version);
    for (auto const& held : std::exchange(held_, {})) {
        held->abort();
    }
    listener_.close_idle(monotonic_clock::now() + std::chrono::hours{1});
}

void server_standin::report_state(http::exchange& caller) const
{
    if (!states_start_) {
        caller.respond({http::response_head{404, {}, {}}, ""});
        return;
    }
    caller.respond({http::response_head{200, {}, {}},
                    R"({"busy":false,"active":0,"born":)" +
                        std::to_string(started_unix_ms_) + "}"});
}

http::response_head server_standin::head_for(http::exchange& caller,
                                             int status) const
{
    http::response_head head{status, {}, {}};
    if (auto const* const id = caller.head().headers.find("X-Attempt-Id")) {
        head.headers.add("X-Attempt-Id", *id);
    }
    head.headers.add("X-Response-Seal", "seal-" + id_);
    head.headers.add("X-Instance-Id", id_);
    if (leaving_) {
        head.headers.add("Server-Leaving", "1");
    }
    if (!rejection_limit_.empty()) {
        head.headers.add("Server-Brittle", rejection_limit_);
    }
    if (!rate_limit_.empty()) {
        head.headers.add("Server-Limit", rate_limit_);
    }
    return head;
}

bool server_standin::crashes_it(http::exchange& caller) const
{
    auto const* const parts = caller.head().headers.find("X-Prefix-Hash");
    return !crashing_part_.empty() && parts != nullptr &&
           parts->substr(0, parts->rfind(',')).find(crashing_part_ + ":") !=
               std::string::npos;
}

void server_standin::crash()
{
    crashed_at_ = std::chrono::steady_clock::now();
    listener_.close();
    for (auto const& held : std::exchange(held_, {})) {
        held->abort();
    }
}

void server_standin::on_request(std::unique_ptr<http::exchange> caller)
{
    if (crashed_at_) {
        caller->abort();
        return;
    }
    arrival_times_.push_back(std::chrono::steady_clock::now());
    auto const& headers = caller->head().headers;
    if (caller->head().target == "/healthz") {
        auto const status = rejects_health_checks_ ? 503 : 200;
        caller->respond({head_for(*caller, status), ""});
        return;
    }
    if (caller->head().target == "/api/report") {
        report_state(*caller);
        return;
    }
    auto const* const expected = headers.find("X-Expect-Instance");
    if (expected != nullptr && *expected != id_) {
        caller->respond({head_for(*caller, 421), ""});
        return;
    }
    behaviour next;
    if (!script_.empty()) {
        next = script_.front();
        script_.pop_front();
    }
    if (next.what == behaviour::kind::turn_away) {
        auto head = head_for(*caller, 503);
        head.headers.add("X-Not-Executed", "1");
        if (!next.pause.empty()) {
            head.headers.add("Retry-After", next.pause);
        }
        caller->respond({head, ""});
        return;
    }
    if (next.resumed_events > 0 && headers.contains("Last-Event-Id")) {
        next = {behaviour::kind::answer, next.resumed_events};
    }
    runs_.push_back({caller->head(), caller->body()});
    if (next.resumed_error_bytes > 0 && headers.contains("Last-Event-Id")) {
        caller->respond({head_for(*caller, 500),
                         std::string(next.resumed_error_bytes, 'e')});
        return;
    }
    if (crashes_it(*caller)) {
        crash();
        caller->abort();
        return;
    }
    switch (next.what) {
    case behaviour::kind::fail:
        caller->respond({head_for(*caller, 500), "failed"});
        break;
    case behaviour::kind::cut:
        if (next.events > 0) {
            caller->start_response(head_for(*caller, 200));
            send_events(*caller, next.events);
            caller->write("id: ");
        }
        caller->abort();
        break;
    case behaviour::kind::hold:
        caller->on_caller_disconnected([this] { ++abandoned_; });
        held_.push_back(std::move(caller));
        break;
    default:
        if (next.events == 0) {
            caller->respond({head_for(*caller, 200), "done by " + id_});
            break;
        }
        caller->start_response(head_for(*caller, 200));
        send_events(*caller, next.events);
        caller->finish();
        break;
    }
}

/// Sends events up to a number, from behind the one that the caller has.
void server_standin::send_events(http::exchange& caller, std::uint64_t count)
{
    std::uint64_t after = 0;
    if (auto const* const last = caller.head().headers.find("Last-Event-Id")) {
        std::from_chars(last->data(), last->data() + last->size(), after);
    }
    for (auto id = after + 1; id <= count; ++id) {
        auto const number = std::to_string(id);
        std::string text{"id: "};
        text.append(number).append("\ndata: event ");
        caller.write(text.append(number).append("\n\n"));
    }
}

void server_standin::release_held()
{
    for (auto const& caller : std::exchange(held_, {})) {
        caller->respond({head_for(*caller, 200), "late"});
    }
}

} // namespace medlarstall::platform_standins
