#include "admin_service.hpp"

#include "api_error.hpp"
#include "api_server.hpp"
#include "catalogue_service.hpp"
#include "daemon_context.hpp"

#include <medlarstall/catalogue/catalogue_writer.hpp>
#include <medlarstall/catalogue/record_codec.hpp>
#include <medlarstall/entry/exchange.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/log.hpp>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view bearer_scheme = "Bearer ";

api_error rejection_error(catalogue::verdict const& verdict)
{
    constexpr int bad_request = 400;
    constexpr int forbidden = 403;
    constexpr int conflict = 409;
    using catalogue::refusal_reason;
    int status = conflict;
    if (verdict.reason == refusal_reason::invalid ||
        verdict.reason == refusal_reason::malformed) {
        status = bad_request;
    } else if (verdict.reason == refusal_reason::not_owner ||
               verdict.reason == refusal_reason::unknown_author ||
               verdict.reason == refusal_reason::key_mismatch) {
        status = forbidden;
    }
    return {.status = status,
            .code = std::string{catalogue::name_of(verdict.reason)},
            .message = verdict.message};
}

json verdict_to_json(catalogue::verdict const& verdict)
{
    return {{"change_id", verdict.change_id},
            {"offset", verdict.offset},
            {"accepted", verdict.accepted},
            {"repeated", verdict.repeated}};
}

} // namespace

admin_service::admin_service(daemon_context& context,
                             catalogue_service& catalogue,
                             std::function<void()> start_drain)
    : context_{context}, catalogue_{catalogue},
      start_drain_{std::move(start_drain)}
{}

void admin_service::add_endpoints(api_server& api)
{
    auto const add_endpoint = [this, &api](std::string const& method,
                                           std::string const& path,
                                           auto handle) {
        api.add(method, path,
                [this, operation = method + " " + path,
                 handle](exchange_pointer exchange) {
                    authorize_and_handle(std::move(exchange), operation,
                                         handle);
                });
    };
    add_endpoint(
        "GET", "/admin/v1/catalogue",
        [this](exchange_pointer const& exchange, operator_identity const&) {
            show_catalogue(exchange);
        });
    add_endpoint("POST", "/admin/v1/catalogue",
                 [this](exchange_pointer const& exchange,
                        operator_identity const& identity) {
                     publish(exchange, identity);
                 });
    add_endpoint(
        "GET", "/admin/v1/instances",
        [this](exchange_pointer const& exchange, operator_identity const&) {
            show_instances(exchange);
        });
    add_endpoint(
        "GET", "/admin/v1/backend-servers",
        [this](exchange_pointer const& exchange, operator_identity const&) {
            show_backend_servers(exchange);
        });
    add_endpoint(
        "POST", "/admin/v1/drain",
        [this](exchange_pointer const& exchange, operator_identity const&) {
            exchange->respond(
                json_response({{"draining", context_.settings.id}}));
            start_drain_();
        });
}

bool admin_service::authenticate(entry::exchange const& exchange,
                                 operator_identity& identity) const
{
    auto const field =
        entry::find_field(exchange.request().fields, "Authorization");
    if (!field.starts_with(bearer_scheme)) {
        return false;
    }
    auto const key = field.substr(bearer_scheme.size());
    identity.key_digest = sha256_hex(key);
    if (context_.catalogue.ready()) {
        auto const* operator_key =
            context_.catalogue.in_force->keys.find_operator_key(key);
        if (operator_key != nullptr) {
            identity.name = operator_key->name;
            return true;
        }
        if (!context_.catalogue.entries->operator_keys.empty()) {
            return false;
        }
    }
    identity.name = "bootstrap";
    return !context_.settings.bootstrap_key_digest.empty() &&
           equal_constant_time(identity.key_digest,
                               context_.settings.bootstrap_key_digest);
}

void admin_service::authorize_and_handle(
    exchange_pointer exchange, std::string const& operation,
    std::function<void(exchange_pointer, operator_identity const&)> const&
        handle)
{
    auto const now = monotonic_clock::now();
    auto const address = exchange->request().remote_address;
    operator_identity identity;
    bool const blocked = failure_limiter_.is_blocked(address, now);
    bool const authenticated = !blocked && authenticate(*exchange, identity);
    log_line{severity::info, "admin"}
        .with("call", operation)
        .with("operator", authenticated ? identity.name : "none")
        .with("address", address)
        .with("allowed", authenticated);
    if (blocked) {
        exchange->respond(to_response({.status = 429,
                                       .code = "too_many_failures",
                                       .message = "too many calls with a wrong "
                                                  "key from this address",
                                       .retry_after = milliseconds{10'000}}));
        return;
    }
    if (!authenticated) {
        failure_limiter_.record_failure(address, now);
        exchange->respond(to_response(
            {.status = 401,
             .code = "operator_key_unknown",
             .message = "Authorization: Bearer KEY with an operator's key is "
                        "required"}));
        return;
    }
    handle(std::move(exchange), identity);
}

void admin_service::show_catalogue(exchange_pointer const& exchange) const
{
    catalogue::catalogue_writer const writer;
    auto const& view = context_.catalogue;
    catalogue::catalogue const empty_catalogue;
    auto const& entries = view.ready() ? *view.entries : empty_catalogue;
    exchange->respond(
        json_response({{"offset", view.version},
                       {"digest", view.digest},
                       {"catalogue", writer.to_json(entries)},
                       {"revisions", writer.revisions_to_json(entries)}}));
}

void admin_service::publish(exchange_pointer const& exchange,
                            operator_identity const& identity)
{
    auto const document =
        json::parse(exchange->request().body(), nullptr, /*exceptions=*/false);
    auto parsed = catalogue::record_reader{}.read_change(document);
    if (failed(parsed)) {
        exchange->respond(
            to_response({.status = 400,
                         .code = "invalid_change",
                         .message = error_of(parsed).field + ": " +
                                    error_of(parsed).message}));
        return;
    }
    auto& change = value_of(parsed);
    change.author = identity.name;
    change.author_key_digest = identity.key_digest;
    catalogue_.publish(
        change, [exchange](result<catalogue::verdict> const& outcome) {
            if (failed(outcome)) {
                exchange->respond(
                    to_response({.status = 503,
                                 .code = "log_unavailable",
                                 .message = error_of(outcome).message,
                                 .run = run_state::unknown,
                                 .retry_after = milliseconds{1'000}}));
                return;
            }
            auto const& verdict = value_of(outcome);
            if (verdict.accepted) {
                exchange->respond(json_response(verdict_to_json(verdict)));
                return;
            }
            auto const rejection = rejection_error(verdict);
            auto body = error_body(rejection);
            body["error"]["entry"] = verdict.entry;
            body["error"]["winner"] = verdict.winner;
            body["error"]["expected"] = verdict.expected;
            body["error"]["actual"] = verdict.actual;
            auto response = json_response(body);
            response.status = rejection.status;
            response.fields.emplace_back("Medlarstall-Run", "not-run");
            exchange->respond(std::move(response));
        });
}

void admin_service::show_instances(exchange_pointer const& exchange) const
{
    auto list = json::array();
    for (auto const& [id, info] : context_.known_fleet.daemons) {
        list.push_back({{"id", id},
                        {"address", info.address},
                        {"port", info.port},
                        {"peer_port", info.peer_port},
                        {"data_centre", info.data_centre},
                        {"state", info.leaving ? "leaving" : "live"}});
    }
    exchange->respond(json_response(
        {{"seen_by", context_.settings.id}, {"daemons", std::move(list)}}));
}

void admin_service::show_backend_servers(exchange_pointer const& exchange) const
{
    auto list = json::array();
    auto const& view = context_.router.view();
    for (auto const& [id, info] : context_.known_fleet.backend_servers) {
        json entry{{"id", id},
                   {"group", info.group},
                   {"address", info.address},
                   {"port", info.port},
                   {"data_centre", info.data_centre},
                   {"state", info.leaving ? "leaving" : "live"}};
        if (auto const index = view.find(id)) {
            auto const& server_state = view.at(*index);
            entry["owner"] = server_state.summary.owner;
            entry["limit"] = server_state.summary.limit;
            entry["running"] = server_state.summary.running;
            entry["health"] = routing::name_of(server_state.health);
        }
        list.push_back(std::move(entry));
    }
    exchange->respond(json_response({{"seen_by", context_.settings.id},
                                     {"backend_servers", std::move(list)}}));
}

} // namespace medlarstall::daemon
