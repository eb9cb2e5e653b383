#ifndef MEDLARSTALL_ROUTES_ROUTE_TABLE_HPP
#define MEDLARSTALL_ROUTES_ROUTE_TABLE_HPP

#include <medlarstall/routes/configuration.hpp>
#include <medlarstall/routes/urgency_scale.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarstall::routes {

/// A configuration with the indexes that requests are looked up in. Immutable;
/// shared by the requests that began under it.
class route_table
{
public:
    /// \param content the configuration to look up in
    explicit route_table(configuration content);

    /// Finds the route of a request.
    /// \param host host that the caller named, perhaps with a port
    /// \param path path of the request
    /// \return the route with the longest matching prefix, or nullptr
    [[nodiscard]] route const* find_route(std::string_view host,
                                          std::string_view path) const;

    /// Finds the holder of a key. Keys are compared in constant time.
    /// \param key key of a caller
    /// \return the organisation, or nullptr
    [[nodiscard]] organisation const*
    find_organisation(std::string_view key) const;

    /// \param name name of a service
    /// \return the service, or nullptr
    [[nodiscard]] service const* find_service(std::string_view name) const;

    /// \return numbers for the urgencies of this configuration
    [[nodiscard]] urgency_scale const& urgencies() const { return urgencies_; }

    /// \return the configuration
    [[nodiscard]] configuration const& content() const { return content_; }

    /// \return version of the configuration
    [[nodiscard]] std::uint64_t version() const { return content_.version; }

private:
    struct key_holder
    {
        std::string_view key;
        organisation const* holder;
    };

    configuration content_;
    urgency_scale urgencies_;
    std::unordered_map<std::string_view, std::vector<route const*>> by_host_;
    std::unordered_multimap<std::size_t, key_holder> by_key_;
    std::unordered_map<std::string_view, service const*> services_;
};

/// Picks a service of a route by weight.
/// \param from the route
/// \param hash number that is the same for each try of a request
/// \return name of the service; empty if the route has none
[[nodiscard]] std::string_view pick_service(route const& from,
                                            std::uint64_t hash);

} // namespace medlarstall::routes

#endif
