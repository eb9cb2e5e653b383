// Handling of incoming requests: those of callers, and those for readiness,
// directory, metrics and records from other daemons.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <medlarstall/support/digest.hpp>

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
constexpr int service_unavailable = 503;
/// Prompt parts used within this time are listed for a daemon that starts.
constexpr std::chrono::seconds recent_parts_age{30};
constexpr milliseconds starting_retry_delay{400};
constexpr milliseconds stopping_retry_delay{50}; ///< To another daemon.
/// Callers retry only once, so they should not do so before the store is likely
/// to be reachable again.
constexpr milliseconds outage_retry_delay{3000};

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
                    metrics_.count_response("none", status, "bad_message");
                    log_entry{log_, log_category::failure, "bad_message"}.with(
                        "status", status);
                },
            .closed_for_limit =
                [this](http::limit_closure const& closure) {
                    on_closed_for_limit("requests", closure);
                }};
}

http::server_events gateway::control_events()
{
    return {.request =
                [this](auto caller) { on_control_request(std::move(caller)); },
            .refused = {},
            .closed_for_limit =
                [this](http::limit_closure const& closure) {
                    on_closed_for_limit("control", closure);
                }};
}

/// Notes that a client is being refused to keep the limits of the process.
void gateway::on_closed_for_limit(char const* listener,
                                  http::limit_closure const& closure)
{
    metrics_.count_state_change(std::string{"client_closed_"} + closure.reason);
    log_entry{log_, log_category::failure, "client_closed"}
        .with("listener", listener)
        .with("reason", closure.reason)
        .with("holds", name_of(closure.holder.kind))
        .with("bytes", closure.holder.bytes)
        .with("without_progress", closure.holder.without_progress)
        .with("waited", closure.holder.waited)
        .with("held", closure.held)
        .with("limit", closure.limit);
}

bool gateway::is_ready() const
{
    return !stopping_since_ && has_routing_data();
}

/// \return true once the configuration and the list of backend servers are
///     known
bool gateway::has_routing_data() const
{
    return route_table_ != nullptr && servers_follower_->has_read();
}

/// \return time after which a refused caller should retry
milliseconds gateway::retry_delay(std::string const& attempt_id) const
{
    if (stopping_since_) {
        return stopping_retry_delay;
    }
    auto const base = configuration_follower_->store_reachable()
                          ? starting_retry_delay
                          : outage_retry_delay;
    // Spread by up to a third, so that callers that are refused together do
    // not retry together.
    constexpr std::size_t steps = 100;
    auto const step = std::hash<std::string>{}(attempt_id) % steps;
    return base + base * step / (3 * steps);
}

void gateway::refuse_request(http::exchange& caller, int status,
                             char const* code, std::string const& attempt_id)
{
    std::optional<milliseconds> retry_after;
    if (status == service_unavailable) {
        retry_after = retry_delay(attempt_id);
    }
    auto const path = std::string{http::path_of(caller.head().target)};
    caller.respond(adapter_.protocol.write_gateway_answer(
        {status, code, retry_after, attempt_id}));
    metrics_.count_response("none", status, code);
    log_entry{log_, log_category::failure, "answer"}
        .with("id", attempt_id)
        .with("status", status)
        .with("reason", code)
        .with("path", path)
        .with("configuration", route_table_ ? route_table_->version() : 0)
        .with("configuration_age", age_of_topic(record_topic::configuration));
}

void gateway::on_request(std::unique_ptr<http::exchange> caller)
{
    auto& head = caller->head();
    auto metadata = adapter_.protocol.parse_request(head);
    if (failed(metadata)) {
        refuse_request(*caller, bad_request, "bad_request", "");
        return;
    }
    routed_request request;
    request.metadata = std::move(value_of(metadata));
    request.route_table = route_table_;
    if (!has_routing_data()) {
        queue_early_request(std::move(caller), request.metadata);
        return;
    }
    if (stopping_since_ && caller->read_at() - *stopping_since_ >
                               stop_accept_period(settings_.grace_period)) {
        refuse_request(*caller, service_unavailable, "stopping",
                       request.metadata.attempt_id);
        return;
    }
    auto const* const host = head.headers.find("host");
    request.route = route_table_->find_route(host != nullptr ? *host : "",
                                             http::path_of(head.target));
    if (request.metadata.api_key) {
        request.organisation =
            route_table_->find_organisation(*request.metadata.api_key);
    }
    if (refuse_unroutable(*caller, request)) {
        return;
    }
    if (request.route->is_public) {
        request.organisation = nullptr;
    }
    request.suspended = std::max(recent_suspension_, new_suspension());
    auto started = std::make_shared<forwarded_request>(
        request_context_, std::move(request), std::move(caller),
        [this](forwarded_request* finished) {
            auto const found =
                std::ranges::find_if(requests_, [finished](auto const& item) {
                    return item.get() == finished;
                });
            if (found != requests_.end()) {
                // Kept alive until later, as its functions are still running.
                asio::post(context_, [kept = *found] {});
                requests_.erase(found);
            }
        });
    requests_.insert(started);
    started->start();
}

/// Queues a request until has_routing_data() holds, or refuses it.
void gateway::queue_early_request(std::unique_ptr<http::exchange> caller,
                                  request_metadata const& metadata)
{
    constexpr milliseconds default_time_left{3000};
    auto const left = metadata.time_left.value_or(default_time_left);
    early_request early{std::move(caller), metadata.attempt_id, {}};
    early.expires_at =
        early.caller->read_at() + early_request_queue::max_wait(left);
    auto const may_wait =
        !stopping_since_ &&
        dispatcher_.is_enabled(dispatch::mechanism::early_callers);
    if (!may_wait || !early_requests_.add(early)) {
        refuse_request(*early.caller, service_unavailable, "no_configuration",
                       early.attempt_id);
    }
}

void gateway::refuse_early_requests(std::vector<early_request> const& requests)
{
    for (auto const& item : requests) {
        refuse_request(*item.caller, service_unavailable, "no_configuration",
                       item.attempt_id);
    }
}

/// Serves the queued requests once the records being read have been applied.
void gateway::schedule_early_requests()
{
    asio::post(context_, [this] { serve_early_requests(); });
}

void gateway::serve_early_requests()
{
    if (!has_routing_data()) {
        return;
    }
    for (auto& item : early_requests_.take_all()) {
        on_request(std::move(item.caller));
    }
}

bool gateway::refuse_unroutable(http::exchange& caller,
                                routed_request const& request)
{
    auto const& id = request.metadata.attempt_id;
    if (request.route == nullptr) {
        refuse_request(caller, not_found, "no_route", id);
        return true;
    }
    auto const needs_key =
        route_table_->content().needs_keys && !request.route->is_public;
    if (needs_key && request.organisation == nullptr) {
        refuse_request(caller, unauthorized, "unknown_key", id);
        return true;
    }
    return false;
}

void gateway::on_control_request(std::unique_ptr<http::exchange> caller)
{
    auto const target = caller->head().target;
    auto const path = http::path_of(target);
    http::response answer;
    answer.head.status = not_found;
    if (path == adapter_.ready_path) {
        answer.head.status = is_ready() ? 200 : service_unavailable;
    } else if (path == adapter_.directory_path) {
        answer = adapter_.write_directory(
            entry_addresses(hash64(caller->caller_address())),
            settings_.directory_ttl);
    } else if (path == "/metrics") {
        update_gauges();
        answer = {{200, {}, {}}, metrics_.text()};
        answer.head.headers.add("Content-Type", "text/plain; version=0.0.4");
    } else if (path.starts_with("/v1/records/")) {
        answer = records_response(target);
    } else if (path == peer_cached_parts_path) {
        answer = cbor_answer(encode(dispatcher_.parts_used_since(
            monotonic_clock::now() - recent_parts_age)));
    } else if (path == "/v1/status") {
        answer = status_response();
    }
    caller->respond(answer);
}

/// \return addresses of ready daemons that a caller should use
std::vector<std::string>
gateway::entry_addresses(std::uint64_t caller_hash) const
{
    constexpr std::size_t max_entries = 64;
    std::vector<entry_candidate> candidates;
    if (is_ready()) {
        candidates.push_back({format_endpoint(settings_.entry_address),
                              capacity_.requests_per_second()});
    }
    for (auto& peer : members_.entry_candidates(monotonic_clock::now())) {
        candidates.push_back(std::move(peer));
    }
    return select_entries(std::move(candidates), caller_hash, max_entries);
}

http::response gateway::records_response(std::string_view target) const
{
    auto const path = http::path_of(target);
    auto const name = path.substr(path.rfind('/') + 1);
    store_position const after{http::query_number(target, "era"),
                               http::query_number(target, "after")};
    for (auto const which :
         {record_topic::configuration, record_topic::backend_servers,
          record_topic::members}) {
        if (name != name_of(which)) {
            continue;
        }
        auto const include_all =
            which != record_topic::backend_servers || publishes_all_changes();
        auto page = follower_of(which).changes_since(
            after,
            include_all ? change_filter::all : change_filter::significant);
        auto const& unrestored = configuration_before_restore_;
        if (which == record_topic::configuration && unrestored &&
            unrestored !=
                configuration_follower_->find_value(configuration_key_)) {
            // An offset before that of the record that the store writes next.
            auto const before = page.next_offset > 0 ? page.next_offset - 1 : 0;
            page.records.push_back({configuration_key_, unrestored, before});
        }
        return cbor_answer(encode(page));
    }
    return {{not_found, {}, {}}, {}};
}

void gateway::update_gauges()
{
    auto const now = monotonic_clock::now();
    auto const set = [this](char const* name, std::size_t value) {
        metrics_.set_gauge(name, static_cast<double>(value));
    };
    set("configuration_version", route_table_ ? route_table_->version() : 0);
    set("list_era", servers_follower_->position().era);
    set("list_offset", servers_follower_->position().offset);
    set("backend_servers", dispatcher_.listed().all().size());
    set("rate_limited_servers", dispatcher_.limited_server_count());
    set("limited_room_servers", dispatcher_.limited_room_count(now));
    set("doubted_servers", dispatcher_.doubted_server_count(now));
    set("live_peers", members_.live_members(now).size());
    set("requests_in_flight", requests_.size());
    set("caller_connections", entry_listener_.size());
    set("held_bytes", memory_->held());
    set("held_bytes_limit", memory_->limit());
    set("requests_waiting_for_memory", entry_listener_.waiting_for_memory());
    set("connections_opened", pool_.opened_count());
    set("log_lines_dropped", log_.dropped());
    set_duty_gauges();
    auto const set_age = [this](char const* name, record_topic which) {
        std::chrono::duration<double> const age = age_of_topic(which);
        metrics_.set_gauge(name, age.count());
    };
    set_age("list_age_seconds", record_topic::backend_servers);
    set_age("configuration_age_seconds", record_topic::configuration);
    set("store_reachable", servers_follower_->store_reachable() ? 1 : 0);
    update_usage_gauges();
}

} // namespace medlarstall::gateway
