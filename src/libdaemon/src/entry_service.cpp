#include "entry_service.hpp"

#include "chat_call.hpp"
#include "claimed_call.hpp"
#include "daemon_context.hpp"
#include "service_call.hpp"

#include <medlarstall/entry/exchange.hpp>
#include <medlarstall/support/log.hpp>

#include <algorithm>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view services_path_prefix = "/services/";
constexpr std::string_view authorization_scheme = "Bearer ";

api_error no_catalogue_error()
{
    return {.status = 503,
            .code = "no_catalogue",
            .message = "no catalogue is in force at this daemon yet",
            .retry_after = milliseconds{1'000}};
}

scheduling::request make_request(caller_identity const& caller)
{
    auto const now = monotonic_clock::now();
    scheduling::request request;
    request.organisation = caller.organisation->name;
    request.service_class = caller.service_class->name;
    request.tier = caller.service_class->tier;
    request.arrived = now;
    request.deadline = now + caller.service_class->deadline;
    request.targets = caller.service_class->targets;
    return request;
}

bool operation_matches(catalogue::service_operation const& operation,
                       std::string_view method, std::string_view path)
{
    return (operation.method == "*" || operation.method == method) &&
           path.starts_with(operation.path_prefix);
}

/// Returns whether an operation of a service may be repeated. The matching
/// operation with the longest path prefix decides; without one, the default of
/// the service applies.
bool is_repeatable(catalogue::service const& service, std::string_view method,
                   std::string_view path)
{
    catalogue::service_operation const* best = nullptr;
    for (auto const& operation : service.operations) {
        if (operation_matches(operation, method, path) &&
            (best == nullptr ||
             operation.path_prefix.size() > best->path_prefix.size())) {
            best = &operation;
        }
    }
    return best != nullptr ? best->repeatable : service.repeatable;
}

} // namespace

entry_service::entry_service(daemon_context& shared, claim_service& claims)
    : node_{shared}, claims_{claims}
{}

std::variant<catalogue::organisation const*, api_error>
entry_service::authenticate(entry::http_request const& request) const
{
    if (!node_.catalogue.ready()) {
        return no_catalogue_error();
    }
    auto const field = entry::find_field(request.fields, "Authorization");
    if (!field.starts_with(authorization_scheme)) {
        return api_error{.status = 401,
                         .code = "key_missing",
                         .message = "Authorization: Bearer KEY is required"};
    }
    auto const* found =
        node_.find_organisation(field.substr(authorization_scheme.size()));
    if (found == nullptr) {
        return api_error{.status = 401,
                         .code = "key_unknown",
                         .message = "no organisation has this key"};
    }
    return found;
}

std::variant<std::monostate, api_error>
entry_service::authorize_read(entry::http_request const& request) const
{
    auto const authenticated = authenticate(request);
    auto const* problem = std::get_if<api_error>(&authenticated);
    if (problem == nullptr) {
        return std::monostate{};
    }
    auto const field = entry::find_field(request.fields, "Authorization");
    bool const by_operator =
        node_.catalogue.ready() && field.starts_with(authorization_scheme) &&
        node_.catalogue.in_force->keys.find_operator_key(
            field.substr(authorization_scheme.size())) != nullptr;
    if (by_operator) {
        return std::monostate{};
    }
    return *problem;
}

std::variant<caller_identity, api_error> entry_service::resolve_service_class(
    entry::http_request const& request,
    catalogue::organisation const& organisation) const
{
    std::string name{entry::find_field(request.fields, "Medlarstall-Class")};
    if (name.empty()) {
        if (organisation.classes.empty()) {
            return api_error{.status = 403,
                             .code = "class_not_allowed",
                             .message = "the organisation may use no class"};
        }
        name = organisation.classes.front();
    }
    auto const* found = catalogue::find(node_.catalogue.entries->classes, name);
    if (found == nullptr) {
        return api_error{.status = 400,
                         .code = "class_unknown",
                         .message = "Medlarstall-Class: \"" + name +
                                    "\" is not in the catalogue"};
    }
    if (std::ranges::find(organisation.classes, name) ==
        organisation.classes.end()) {
        return api_error{.status = 403,
                         .code = "class_not_allowed",
                         .message = "Medlarstall-Class: organisation \"" +
                                    organisation.name + "\" may not use \"" +
                                    name + "\""};
    }
    return caller_identity{&organisation, found};
}

std::variant<caller_identity, api_error>
entry_service::resolve_caller(entry::http_request const& request) const
{
    auto const authenticated = authenticate(request);
    if (auto const* problem = std::get_if<api_error>(&authenticated)) {
        return *problem;
    }
    return resolve_service_class(
        request, *std::get<catalogue::organisation const*>(authenticated));
}

void entry_service::handle_chat_completion(
    std::shared_ptr<entry::exchange> exchange)
{
    auto const& http = exchange->request();
    auto const resolved_caller = resolve_caller(http);
    if (auto const* problem = std::get_if<api_error>(&resolved_caller)) {
        exchange->respond(to_response(*problem));
        return;
    }
    auto parse_result =
        chat_request_parser{node_.settings.max_json_depth}.parse(http.body());
    if (auto const* problem = std::get_if<api_error>(&parse_result)) {
        exchange->respond(to_response(*problem));
        return;
    }
    auto& parsed_chat = std::get<chat_request>(parse_result);
    auto const* model =
        catalogue::find(node_.catalogue.entries->models, parsed_chat.model);
    if (model == nullptr) {
        exchange->respond(
            to_response({.status = 404,
                         .code = "model_unknown",
                         .message = "model: \"" + parsed_chat.model +
                                    "\" is not in the catalogue"}));
        return;
    }
    auto request = make_request(std::get<caller_identity>(resolved_caller));
    request.group = model->group;
    request.model = model->name;
    request.prompt_tokens = parsed_chat.prompt_tokens;
    request.expected_output_tokens = parsed_chat.max_tokens.value_or(0);
    auto const fingerprint =
        routing::fingerprint_of(request.organisation, http.body());
    std::make_shared<chat_call>(node_, std::move(exchange),
                                std::move(parsed_chat), std::move(request),
                                fingerprint)
        ->start();
}

void entry_service::handle_service_call(
    std::shared_ptr<entry::exchange> exchange)
{
    auto const& http = exchange->request();
    auto const resolved_caller = resolve_caller(http);
    if (auto const* problem = std::get_if<api_error>(&resolved_caller)) {
        exchange->respond(to_response(*problem));
        return;
    }
    auto const rest =
        std::string_view{http.path}.substr(services_path_prefix.size());
    auto const slash = std::min(rest.find('/'), rest.size());
    std::string const name{rest.substr(0, slash)};
    std::string path{rest.substr(slash)};
    path = path.empty() ? "/" : path;
    auto const* found =
        catalogue::find(node_.catalogue.entries->services, name);
    if (found == nullptr) {
        exchange->respond(to_response(
            {.status = 404,
             .code = "service_unknown",
             .message = "\"" + name + "\" is not in the catalogue"}));
        return;
    }
    service_request call_request{
        .service = name,
        .method = http.method,
        .target = http.query.empty() ? path : path + "?" + http.query,
        .idempotency_key =
            std::string{entry::find_field(http.fields, "Idempotency-Key")},
        .repeatable = is_repeatable(*found, http.method, path)};
    auto request = make_request(std::get<caller_identity>(resolved_caller));
    request.group = found->group;
    request.deadline = request.arrived + found->deadline;
    request.repeatable = call_request.repeatable;
    request.resumable = false;
    auto const fingerprint =
        routing::fingerprint_of(request.organisation, http.body());
    if (!call_request.repeatable) {
        std::make_shared<claimed_call>(node_, claims_, std::move(exchange),
                                       std::move(call_request),
                                       std::move(request), fingerprint)
            ->start();
        return;
    }
    auto const attempt = to_string(node_.new_uuid());
    std::make_shared<service_call>(node_, std::move(exchange),
                                   std::move(call_request), std::move(request),
                                   fingerprint, nullptr)
        ->start(attempt);
}

} // namespace medlarstall::daemon
