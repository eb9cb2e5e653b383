#ifndef MEDLARSTALL_ROUTES_ROUTE_TABLE_HPP
#define MEDLARSTALL_ROUTES_ROUTE_TABLE_HPP

#include <medlarstall/routes/configuration.hpp>
#include <medlarstall/routes/urgency_scale.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarstall::routes {

/// A configuration with indexes for finding the route, organisation and service
/// of a request. Immutable, and shared by the requests that began with it.
class route_table
{
public:
    /// \param content configuration to be indexed
    explicit route_table(configuration content);

    /// Finds the route of a request.
    /// \param host value of the Host field, with or without a port, in any case
    /// \param path path of the request, without its query
    /// \return the route of that host with the longest matching path prefix, or
    ///     nullptr if none matches
    [[nodiscard]] route const* find_route(std::string_view host,
                                          std::string_view path) const;

    /// Finds the organisation that owns a key. Keys are compared in constant
    /// time, so that response times reveal nothing about them.
    /// \param key key that the caller presented
    /// \return the organisation, or nullptr if the key is unknown
    [[nodiscard]] organisation const*
    find_organisation(std::string_view key) const;

    /// \param name name of a service
    /// \return the service, or nullptr if the configuration has none of that
    ///     name
    [[nodiscard]] service const* find_service(std::string_view name) const;

    /// \return ranks of all urgencies that this configuration allows
    [[nodiscard]] urgency_scale const& urgencies() const { return urgencies_; }

    /// \return the configuration as it was passed to the constructor
    [[nodiscard]] configuration const& content() const { return content_; }

    /// \return version number of the configuration
    [[nodiscard]] std::uint64_t version() const { return content_.version; }

private:
    struct key_owner
    {
        std::string_view key;
        organisation const* owner;
    };

    configuration content_;
    urgency_scale urgencies_;
    std::unordered_map<std::string_view, std::vector<route const*>>
        routes_by_host_;
    std::unordered_multimap<std::size_t, key_owner> owners_by_key_hash_;
    std::unordered_map<std::string_view, service const*> services_by_name_;
};

/// Chooses a service of a route, in proportion to the weights.
/// \param from route of a request
/// \param hash hash that is the same for each attempt of the request, so that
///     all attempts go to the same service
/// \return name of the service; empty if the route has no service with a
///     positive weight
[[nodiscard]] std::string_view pick_service(route const& from,
                                            std::uint64_t hash);

} // namespace medlarstall::routes

#endif
