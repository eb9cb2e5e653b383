#include "admin_service.hpp"

#include "api_error.hpp"
#include "api_server.hpp"
#include "catalogue_service.hpp"
#include "node.hpp"

#include <medlarstall/catalogue/catalogue_writer.hpp>
#include <medlarstall/catalogue/record_codec.hpp>
#include <medlarstall/entry/exchange.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/log.hpp>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view scheme = "Bearer ";

api_error conflict_error(catalogue::verdict const& decided)
{
    constexpr int bad_request = 400;
    constexpr int forbidden = 403;
    constexpr int conflict = 409;
    using catalogue::refusal;
    int status = conflict;
    if (decided.reason == refusal::invalid ||
        decided.reason == refusal::malformed) {
        status = bad_request;
    } else if (decided.reason == refusal::not_owner ||
               decided.reason == refusal::unknown_author ||
               decided.reason == refusal::key_mismatch) {
        status = forbidden;
    }
    return {.status = status,
            .code = std::string{catalogue::name_of(decided.reason)},
            .message = decided.message};
}

json verdict_json(catalogue::verdict const& decided)
{
    return {{"change_id", decided.change_id},
            {"offset", decided.offset},
            {"accepted", decided.accepted},
            {"repeated", decided.repeated}};
}

} // namespace

admin_service::admin_service(node& shared, catalogue_service& catalogue,
                             std::function<void()> drain)
    : node_{shared}, catalogue_{catalogue}, drain_{std::move(drain)}
{}

void admin_service::add_endpoints(api_server& api)
{
    auto const add = [this, &api](std::string const& method,
                                  std::string const& path, auto handle) {
        api.add(method, path,
                [this, what = method + " " + path,
                 handle](exchange_pointer caller) {
                    guarded(std::move(caller), what, handle);
                });
    };
    add("GET", "/admin/v1/catalogue",
        [this](exchange_pointer const& caller, author const&) {
            show_catalogue(caller);
        });
    add("POST", "/admin/v1/catalogue",
        [this](exchange_pointer const& caller, author const& by) {
            publish(caller, by);
        });
    add("GET", "/admin/v1/instances",
        [this](exchange_pointer const& caller, author const&) {
            show_instances(caller);
        });
    add("GET", "/admin/v1/backend-servers",
        [this](exchange_pointer const& caller, author const&) {
            show_backend_servers(caller);
        });
    add("POST", "/admin/v1/drain",
        [this](exchange_pointer const& caller, author const&) {
            caller->respond(json_response({{"draining", node_.settings.id}}));
            drain_();
        });
}

bool admin_service::identify(entry::exchange const& caller, author& found) const
{
    auto const field =
        entry::find_field(caller.request().fields, "Authorization");
    if (!field.starts_with(scheme)) {
        return false;
    }
    auto const key = field.substr(scheme.size());
    found.key_digest = sha256_hex(key);
    if (node_.catalogue.ready()) {
        auto const* known = node_.catalogue.in_force->keys.find_operator(key);
        if (known != nullptr) {
            found.name = known->name;
            return true;
        }
        if (!node_.catalogue.entries->operator_keys.empty()) {
            return false;
        }
    }
    found.name = "bootstrap";
    return !node_.settings.bootstrap_key_digest.empty() &&
           equal_constant_time(found.key_digest,
                               node_.settings.bootstrap_key_digest);
}

void admin_service::guarded(
    exchange_pointer caller, std::string const& what,
    std::function<void(exchange_pointer, author const&)> const& handle)
{
    auto const now = decision_clock::now();
    auto const address = caller->request().remote_address;
    author by;
    bool const blocked = failures_.blocks(address, now);
    bool const known = !blocked && identify(*caller, by);
    log_line{severity::info, "admin"}
        .with("call", what)
        .with("operator", known ? by.name : "none")
        .with("address", address)
        .with("allowed", known);
    if (blocked) {
        caller->respond(to_response({.status = 429,
                                     .code = "too_many_failures",
                                     .message = "too many calls with a wrong "
                                                "key from this address",
                                     .retry_after = milliseconds{10'000}}));
        return;
    }
    if (!known) {
        failures_.note_failure(address, now);
        caller->respond(to_response(
            {.status = 401,
             .code = "operator_key_unknown",
             .message = "Authorization: Bearer KEY with an operator's key is "
                        "required"}));
        return;
    }
    handle(std::move(caller), by);
}

void admin_service::show_catalogue(exchange_pointer const& caller) const
{
    catalogue::catalogue_writer const writer;
    auto const& view = node_.catalogue;
    catalogue::catalogue const none;
    auto const& entries = view.ready() ? *view.entries : none;
    caller->respond(json_response({{"offset", view.version},
                                   {"digest", view.digest},
                                   {"catalogue", writer.to_json(entries)},
                                   {"revisions", writer.revisions(entries)}}));
}

void admin_service::publish(exchange_pointer const& caller, author const& by)
{
    auto const document =
        json::parse(caller->request().body, nullptr, /*exceptions=*/false);
    auto read = catalogue::record_reader{}.read_change(document);
    if (failed(read)) {
        caller->respond(to_response(
            {.status = 400,
             .code = "invalid_change",
             .message = error_of(read).field + ": " + error_of(read).message}));
        return;
    }
    auto& change = value_of(read);
    change.author = by.name;
    change.author_key_digest = by.key_digest;
    catalogue_.publish(change, [caller](
                                   result<catalogue::verdict> const& outcome) {
        if (failed(outcome)) {
            caller->respond(to_response({.status = 503,
                                         .code = "log_unavailable",
                                         .message = error_of(outcome).message,
                                         .run = run_state::unknown,
                                         .retry_after = milliseconds{1'000}}));
            return;
        }
        auto const& decided = value_of(outcome);
        if (decided.accepted) {
            caller->respond(json_response(verdict_json(decided)));
            return;
        }
        auto const problem = conflict_error(decided);
        auto body = error_body(problem);
        body["error"]["entry"] = decided.entry;
        body["error"]["winner"] = decided.winner;
        body["error"]["expected"] = decided.expected;
        body["error"]["actual"] = decided.actual;
        auto response = json_response(body);
        response.status = problem.status;
        response.fields.emplace_back("Medlarstall-Run", "not-run");
        caller->respond(std::move(response));
    });
}

void admin_service::show_instances(exchange_pointer const& caller) const
{
    auto list = json::array();
    for (auto const& [id, one] : node_.known.daemons) {
        list.push_back({{"id", id},
                        {"address", one.address},
                        {"port", one.port},
                        {"peer_port", one.peer_port},
                        {"data_centre", one.data_centre},
                        {"state", one.leaving ? "leaving" : "live"}});
    }
    caller->respond(json_response(
        {{"seen_by", node_.settings.id}, {"daemons", std::move(list)}}));
}

void admin_service::show_backend_servers(exchange_pointer const& caller) const
{
    auto list = json::array();
    auto const& view = node_.router.view();
    for (auto const& [id, one] : node_.known.backend_servers) {
        json entry{{"id", id},
                   {"group", one.group},
                   {"address", one.address},
                   {"port", one.port},
                   {"data_centre", one.data_centre},
                   {"state", one.leaving ? "leaving" : "live"}};
        if (auto const number = view.find(id)) {
            auto const& known = view.at(*number);
            entry["owner"] = known.summary.owner;
            entry["limit"] = known.summary.limit;
            entry["running"] = known.summary.running;
            entry["health"] = routing::name_of(known.health);
        }
        list.push_back(std::move(entry));
    }
    caller->respond(json_response({{"seen_by", node_.settings.id},
                                   {"backend_servers", std::move(list)}}));
}

} // namespace medlarstall::daemon
