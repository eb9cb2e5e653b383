#include "api_server.hpp"

#include "api_error.hpp"

#include <medlarstall/entry/exchange.hpp>

namespace medlarstall::daemon {

namespace {

bool path_matches(std::string const& pattern, std::string const& path)
{
    return pattern.ends_with('/') && pattern.size() > 1
               ? path.starts_with(pattern)
               : path == pattern;
}

} // namespace

void api_server::add(std::string method, std::string path, handler handle)
{
    endpoints_.push_back(
        {std::move(method), std::move(path), std::move(handle)});
}

void api_server::handle(std::shared_ptr<entry::exchange> exchange) const
{
    auto const& request = exchange->request();
    bool path_matched = false;
    for (auto const& endpoint : endpoints_) {
        if (!path_matches(endpoint.path, request.path)) {
            continue;
        }
        path_matched = true;
        if (endpoint.method == "*" || endpoint.method == request.method) {
            endpoint.handle(std::move(exchange));
            return;
        }
    }
    if (path_matched) {
        exchange->respond(
            to_response({.status = 405,
                         .code = "method_not_allowed",
                         .message = request.method + " is not allowed on " +
                                    request.path}));
        return;
    }
    exchange->respond(
        to_response({.status = 404,
                     .code = "path_unknown",
                     .message = "no such path: " + request.path}));
}

} // namespace medlarstall::daemon
