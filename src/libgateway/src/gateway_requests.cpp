// What a gateway answers: callers, readiness, directory, metrics and peers.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int unavailable = 503;
/// Prompt parts that were used this lately are told to a daemon that starts.
constexpr std::chrono::seconds parts_told{30};
constexpr milliseconds starting_return{400};
constexpr milliseconds stopping_return{50}; ///< At another daemon.
/// Callers come back once only, so not before the store may be back.
constexpr milliseconds outage_return{3000};

http::response cbor_answer(std::string body)
{
    http::response answer{{200, {}, {}}, std::move(body)};
    answer.head.headers.add("Content-Type", "application/cbor");
    return answer;
}

} // namespace

http::server_events gateway::entry_events()
{
    return {.request = [this](auto caller) { on_request(std::move(caller)); },
            .refused =
                [this](int status) {
                    metrics_.count_answer("none", status, "bad_message");
                    decision_line{log_, line_kind::failure, "bad_message"}.with(
                        "status", status);
                }};
}

http::server_events gateway::control_events()
{
    return {.request = [this](auto caller) { on_control(std::move(caller)); },
            .refused = {}};
}

bool gateway::is_ready() const
{
    return !stopping_since_ && knows_fleet();
}

/// \return true once it is known what to serve, and where
bool gateway::knows_fleet() const
{
    return table_ != nullptr && servers_follower_->has_read();
}

/// \return when a caller that is refused should come back
milliseconds gateway::return_time(std::string const& attempt_id) const
{
    if (stopping_since_) {
        return stopping_return;
    }
    auto const base = configuration_follower_->store_reachable()
                          ? starting_return
                          : outage_return;
    // Spread, so that those refused together do not come back together.
    constexpr std::size_t parts = 100;
    auto const part = std::hash<std::string>{}(attempt_id) % parts;
    return base + base * part / (3 * parts);
}

void gateway::refuse_entry(http::exchange& caller, int status, char const* code,
                           std::string const& attempt_id)
{
    std::optional<milliseconds> retry_after;
    if (status == unavailable) {
        retry_after = return_time(attempt_id);
    }
    auto const path = std::string{http::path_of(caller.head().target)};
    caller.respond(translations_.protocol.write_own(
        {status, code, retry_after, attempt_id}));
    metrics_.count_answer("none", status, code);
    decision_line{log_, line_kind::failure, "answer"}
        .with("id", attempt_id)
        .with("status", status)
        .with("reason", code)
        .with("path", path)
        .with("configuration", table_ ? table_->version() : 0)
        .with("configuration_age",
              decision_clock::now() - configuration_follower_->read_at());
}

void gateway::on_request(std::unique_ptr<http::exchange> caller)
{
    auto& head = caller->head();
    auto facts = translations_.protocol.read_request(head);
    if (failed(facts)) {
        refuse_entry(*caller, bad_request, "bad_request", "");
        return;
    }
    admitted_request request;
    request.facts = std::move(value_of(facts));
    request.table = table_;
    if (!knows_fleet()) {
        let_wait(std::move(caller), request.facts);
        return;
    }
    if (stopping_since_ &&
        caller->read_at() - *stopping_since_ > taken_while_stopping) {
        refuse_entry(*caller, unavailable, "stopping",
                     request.facts.attempt_id);
        return;
    }
    auto const* const host = head.headers.find("host");
    request.route = table_->find_route(host != nullptr ? *host : "",
                                       http::path_of(head.target));
    if (request.facts.key) {
        request.organisation = table_->find_organisation(*request.facts.key);
    }
    if (refuse_unroutable(*caller, request)) {
        return;
    }
    if (request.route->is_public) {
        request.organisation = nullptr;
    }
    auto made = std::make_shared<forwarded_request>(
        shared_, std::move(request), std::move(caller),
        [this](forwarded_request* over) {
            auto const found =
                std::ranges::find_if(requests_, [over](auto const& item) {
                    return item.get() == over;
                });
            if (found != requests_.end()) {
                // Its own functions are still running.
                asio::post(context_, [kept = *found] {});
                requests_.erase(found);
            }
        });
    requests_.insert(made);
    made->start();
}

/// Lets a request wait until the fleet is known, or refuses it.
void gateway::let_wait(std::unique_ptr<http::exchange> caller,
                       request_facts const& facts)
{
    constexpr milliseconds unstated_time{3000};
    auto const left = facts.time_left.value_or(unstated_time);
    early_caller arrived{std::move(caller), facts.attempt_id, {}};
    arrived.until = arrived.caller->read_at() + early_callers::patience(left);
    auto const may_wait = !stopping_since_ &&
                          dispatcher_.uses(dispatch::mechanism::early_callers);
    if (!may_wait || !early_.add(arrived)) {
        refuse_entry(*arrived.caller, unavailable, "no_configuration",
                     arrived.attempt_id);
    }
}

void gateway::refuse_waiting(std::vector<early_caller> const& waiting)
{
    for (auto const& item : waiting) {
        refuse_entry(*item.caller, unavailable, "no_configuration",
                     item.attempt_id);
    }
}

/// Serves those who have waited, after what is being read has been taken in.
void gateway::serve_waiting_soon()
{
    asio::post(context_, [this] { serve_waiting(); });
}

void gateway::serve_waiting()
{
    if (!knows_fleet()) {
        return;
    }
    for (auto& item : early_.take_all()) {
        on_request(std::move(item.caller));
    }
}

bool gateway::refuse_unroutable(http::exchange& caller,
                                admitted_request const& request)
{
    auto const& id = request.facts.attempt_id;
    if (request.route == nullptr) {
        refuse_entry(caller, not_found, "no_route", id);
        return true;
    }
    auto const needs_key =
        table_->content().needs_keys && !request.route->is_public;
    if (needs_key && request.organisation == nullptr) {
        refuse_entry(caller, unauthorized, "unknown_key", id);
        return true;
    }
    return false;
}

void gateway::on_control(std::unique_ptr<http::exchange> caller)
{
    auto const target = caller->head().target;
    auto const path = http::path_of(target);
    http::response answer;
    answer.head.status = not_found;
    if (path == translations_.ready_path) {
        answer.head.status = is_ready() ? 200 : unavailable;
    } else if (path == translations_.directory_path) {
        constexpr std::size_t most_entries = 64;
        auto const own = is_ready() ? text_of(settings_.entry_address) : "";
        auto const entries =
            members_.entries(own, most_entries, decision_clock::now());
        answer =
            translations_.write_directory(entries, settings_.directory_ttl);
    } else if (path == "/metrics") {
        set_gauges();
        answer = {{200, {}, {}}, metrics_.text()};
        answer.head.headers.add("Content-Type", "text/plain; version=0.0.4");
    } else if (path.starts_with("/v1/records/")) {
        answer = records_answer(target);
    } else if (path == kept_parts_target) {
        answer = cbor_answer(encode(
            dispatcher_.parts_used_since(decision_clock::now() - parts_told)));
    } else if (path == "/v1/status") {
        answer = status_answer();
    }
    caller->respond(answer);
}

http::response gateway::records_answer(std::string_view target) const
{
    auto const path = http::path_of(target);
    auto const name = path.substr(path.rfind('/') + 1);
    store_position const after{http::query_number(target, "era"),
                               http::query_number(target, "after")};
    for (auto const which :
         {ledger::configuration, ledger::backend_servers, ledger::members}) {
        if (name != name_of(which)) {
            continue;
        }
        auto const all =
            which != ledger::backend_servers || tells_all_changes();
        auto page = follower_of(which).changes(
            after, all ? change_choice::all : change_choice::that_matter);
        auto const& unrestored = unrestored_configuration_;
        if (which == ledger::configuration && unrestored &&
            unrestored !=
                configuration_follower_->value_of(configuration_key_)) {
            // Before what the store will write next.
            auto const before = page.next_offset > 0 ? page.next_offset - 1 : 0;
            page.records.push_back({configuration_key_, unrestored, before});
        }
        return cbor_answer(encode(page));
    }
    return {{not_found, {}, {}}, {}};
}

void gateway::set_gauges()
{
    auto const now = decision_clock::now();
    auto const set = [this](char const* name, std::size_t value) {
        metrics_.set(name, static_cast<double>(value));
    };
    set("configuration_version", table_ ? table_->version() : 0);
    set("list_era", servers_follower_->position().era);
    set("list_offset", servers_follower_->position().offset);
    set("backend_servers", dispatcher_.listed().all().size());
    set("live_peers", members_.live(now).size());
    set("requests_in_flight", requests_.size());
    set("caller_connections", entry_.size());
    set("connections_opened", pool_.opened());
    set("log_lines_dropped", log_.dropped());
    set("store_reachable", servers_follower_->store_reachable() ? 1 : 0);
}

} // namespace medlarstall::gateway
