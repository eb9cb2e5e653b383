#ifndef MEDLARSTALL_DAEMON_ENTRY_SERVICE_HPP
#define MEDLARSTALL_DAEMON_ENTRY_SERVICE_HPP

#include "api_error.hpp"

#include <medlarstall/catalogue/entries.hpp>
#include <medlarstall/scheduling/request.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace medlarstall::entry {
class exchange;
struct http_request;
} // namespace medlarstall::entry

namespace medlarstall::daemon {

class claim_service;
struct daemon_context;

/// The organisation that sent a request and the service class that applies.
/// Plain data.
struct caller_identity
{
    catalogue::organisation const* organisation = nullptr;
    catalogue::service_class const* service_class = nullptr;
};

/// The entry side of a daemon: authenticates callers' requests and starts a
/// chat_call, service_call or claimed_call for each of them.
class entry_service
{
public:
    /// \param shared state that all parts of this daemon share; must outlive
    ///     this object
    /// \param claims claim service of this daemon; must outlive this object
    entry_service(daemon_context& shared, claim_service& claims);

    /// Handles POST /v1/chat/completions. Answers invalid requests with an
    /// error.
    void handle_chat_completion(std::shared_ptr<entry::exchange> exchange);

    /// Handles a call to a plain service, with any path below /services/.
    /// Answers invalid requests with an error.
    void handle_service_call(std::shared_ptr<entry::exchange> exchange);

    /// Finds the organisation that the key in the Authorization field belongs
    /// to.
    /// \param request the caller's request
    /// \return the organisation, or an error if the key is missing or unknown
    [[nodiscard]] std::variant<catalogue::organisation const*, api_error>
    authenticate(entry::http_request const& request) const;

    /// Checks that a request carries the key of an organisation or an operator.
    /// \param request the caller's request
    /// \return std::monostate if it does, or the error to answer with
    [[nodiscard]] std::variant<std::monostate, api_error>
    authorize_read(entry::http_request const& request) const;

private:
    [[nodiscard]] std::variant<caller_identity, api_error>
    resolve_caller(entry::http_request const& request) const;
    [[nodiscard]] std::variant<caller_identity, api_error>
    resolve_service_class(entry::http_request const& request,
                          catalogue::organisation const& organisation) const;
    daemon_context& node_;
    claim_service& claims_;
};

} // namespace medlarstall::daemon

#endif
