#include "entry_service.hpp"

#include "chat_call.hpp"
#include "claimed_call.hpp"
#include "node.hpp"
#include "service_call.hpp"

#include <medlarstall/entry/exchange.hpp>
#include <medlarstall/support/log.hpp>

#include <algorithm>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view services_path = "/services/";
constexpr std::string_view key_scheme = "Bearer ";

api_error not_ready()
{
    return {.status = 503,
            .code = "no_catalogue",
            .message = "no catalogue is in force at this daemon yet",
            .retry_after = milliseconds{1'000}};
}

scheduling::request make_request(caller_identity const& caller)
{
    auto const now = decision_clock::now();
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

/// The longest matching prefix decides.
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

entry_service::entry_service(node& shared, claim_service& claims)
    : node_{shared}, claims_{claims}
{}

std::variant<catalogue::organisation const*, api_error>
entry_service::authenticate(entry::http_request const& request) const
{
    if (!node_.catalogue.ready()) {
        return not_ready();
    }
    auto const field = entry::find_field(request.fields, "Authorization");
    if (!field.starts_with(key_scheme)) {
        return api_error{.status = 401,
                         .code = "key_missing",
                         .message = "Authorization: Bearer KEY is required"};
    }
    auto const* found =
        node_.find_organisation(field.substr(key_scheme.size()));
    if (found == nullptr) {
        return api_error{.status = 401,
                         .code = "key_unknown",
                         .message = "no organisation has this key"};
    }
    return found;
}

std::variant<std::monostate, api_error>
entry_service::authenticate_reader(entry::http_request const& request) const
{
    auto const known = authenticate(request);
    auto const* problem = std::get_if<api_error>(&known);
    if (problem == nullptr) {
        return std::monostate{};
    }
    auto const field = entry::find_field(request.fields, "Authorization");
    bool const by_operator = node_.catalogue.ready() &&
                             field.starts_with(key_scheme) &&
                             node_.catalogue.in_force->keys.find_operator(
                                 field.substr(key_scheme.size())) != nullptr;
    if (by_operator) {
        return std::monostate{};
    }
    return *problem;
}

std::variant<caller_identity, api_error>
entry_service::with_class(entry::http_request const& request,
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
entry_service::admit(entry::http_request const& request) const
{
    auto const known = authenticate(request);
    if (auto const* problem = std::get_if<api_error>(&known)) {
        return *problem;
    }
    return with_class(request,
                      *std::get<catalogue::organisation const*>(known));
}

void entry_service::chat(std::shared_ptr<entry::exchange> caller)
{
    auto const& http = caller->request();
    auto const admitted = admit(http);
    if (auto const* problem = std::get_if<api_error>(&admitted)) {
        caller->respond(to_response(*problem));
        return;
    }
    auto read =
        chat_request_reader{node_.settings.max_json_depth}.read(http.body);
    if (auto const* problem = std::get_if<api_error>(&read)) {
        caller->respond(to_response(*problem));
        return;
    }
    auto& asked = std::get<chat_request>(read);
    auto const* model =
        catalogue::find(node_.catalogue.entries->models, asked.model);
    if (model == nullptr) {
        caller->respond(to_response({.status = 404,
                                     .code = "model_unknown",
                                     .message = "model: \"" + asked.model +
                                                "\" is not in the catalogue"}));
        return;
    }
    auto request = make_request(std::get<caller_identity>(admitted));
    request.group = model->group;
    request.model = model->name;
    request.prompt_tokens = asked.prompt_tokens;
    request.expected_output_tokens = asked.max_tokens.value_or(0);
    auto const fingerprint =
        routing::fingerprint_of(request.organisation, http.body);
    std::make_shared<chat_call>(node_, std::move(caller), std::move(asked),
                                std::move(request), fingerprint)
        ->start();
}

void entry_service::service(std::shared_ptr<entry::exchange> caller)
{
    auto const& http = caller->request();
    auto const admitted = admit(http);
    if (auto const* problem = std::get_if<api_error>(&admitted)) {
        caller->respond(to_response(*problem));
        return;
    }
    auto const rest = std::string_view{http.path}.substr(services_path.size());
    auto const slash = std::min(rest.find('/'), rest.size());
    std::string const name{rest.substr(0, slash)};
    std::string path{rest.substr(slash)};
    path = path.empty() ? "/" : path;
    auto const* found =
        catalogue::find(node_.catalogue.entries->services, name);
    if (found == nullptr) {
        caller->respond(to_response(
            {.status = 404,
             .code = "service_unknown",
             .message = "\"" + name + "\" is not in the catalogue"}));
        return;
    }
    service_request asked{
        .service = name,
        .method = http.method,
        .target = http.query.empty() ? path : path + "?" + http.query,
        .idempotency_key =
            std::string{entry::find_field(http.fields, "Idempotency-Key")},
        .repeatable = is_repeatable(*found, http.method, path)};
    auto request = make_request(std::get<caller_identity>(admitted));
    request.group = found->group;
    request.deadline = request.arrived + found->deadline;
    request.repeatable = asked.repeatable;
    request.resumable = false;
    auto const fingerprint =
        routing::fingerprint_of(request.organisation, http.body);
    if (!asked.repeatable) {
        std::make_shared<claimed_call>(node_, claims_, std::move(caller),
                                       std::move(asked), std::move(request),
                                       fingerprint)
            ->start();
        return;
    }
    auto const attempt = to_string(node_.new_uuid());
    std::make_shared<service_call>(node_, std::move(caller), std::move(asked),
                                   std::move(request), fingerprint, nullptr)
        ->start(attempt);
}

} // namespace medlarstall::daemon
