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
struct node;

/// Who calls, and with which class.
struct caller_identity
{
    catalogue::organisation const* organisation = nullptr;
    catalogue::service_class const* service_class = nullptr;
};

/// The entry side of a daemon: admits callers' requests and starts a call for
/// each of them.
class entry_service
{
public:
    /// \param shared parts of this daemon
    /// \param claims claims of this daemon
    entry_service(node& shared, claim_service& claims);

    /// Handles POST /v1/chat/completions.
    void chat(std::shared_ptr<entry::exchange> caller);

    /// Handles a call below /services/.
    void service(std::shared_ptr<entry::exchange> caller);

    /// Finds the organisation of a caller's key.
    /// \param request the caller's request
    /// \return the organisation, or why there is none
    [[nodiscard]] std::variant<catalogue::organisation const*, api_error>
    authenticate(entry::http_request const& request) const;

    /// Checks that a request comes from a member or an operator.
    /// \param request the caller's request
    /// \return nothing, or why it is refused
    [[nodiscard]] std::variant<std::monostate, api_error>
    authenticate_reader(entry::http_request const& request) const;

private:
    [[nodiscard]] std::variant<caller_identity, api_error>
    admit(entry::http_request const& request) const;
    [[nodiscard]] std::variant<caller_identity, api_error>
    with_class(entry::http_request const& request,
               catalogue::organisation const& organisation) const;
    node& node_;
    claim_service& claims_;
};

} // namespace medlarstall::daemon

#endif
