#include <medlarstall/routes/route_table.hpp>

#include <algorithm>
#include <cctype>
#include <functional>
#include <string>
#include <utility>

namespace medlarstall::routes {

namespace {

/// \return the host in lower case without a port
std::string normalize_host(std::string_view host)
{
    std::string name{host.substr(0, host.rfind(':'))};
    std::ranges::transform(name, name.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return name;
}

/// Compares texts of the same length in a time that does not depend on where
/// they differ.
bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index) {
        difference |= static_cast<unsigned char>(left[index]) ^
                      static_cast<unsigned char>(right[index]);
    }
    return difference == 0;
}

} // namespace

char const* name_of(route_kind kind)
{
    switch (kind) {
    case route_kind::idempotent:
        return "repeatable";
    case route_kind::at_most_once:
        return "once";
    case route_kind::stream:
        return "stream";
    }
    return "unknown";
}

route_table::route_table(configuration content)
    : content_{std::move(content)}, urgencies_{content_}
{
    for (auto const& item : content_.routes) {
        routes_by_host_[item.host].push_back(&item);
    }
    for (auto& [host, routes] : routes_by_host_) {
        std::ranges::stable_sort(
            routes, [](auto const* left, auto const* right) {
                return left->path_prefix.size() > right->path_prefix.size();
            });
    }
    std::hash<std::string_view> const hash;
    for (auto const& item : content_.organisations) {
        for (auto const& key : item.keys) {
            owners_by_key_hash_.emplace(hash(key), key_owner{key, &item});
        }
    }
    for (auto const& item : content_.services) {
        services_by_name_.emplace(item.name, &item);
    }
}

route const* route_table::find_route(std::string_view host,
                                     std::string_view path) const
{
    auto const name = normalize_host(host);
    auto const found = routes_by_host_.find(name);
    if (found == routes_by_host_.end()) {
        return nullptr;
    }
    auto const match =
        std::ranges::find_if(found->second, [path](route const* item) {
            return path.starts_with(item->path_prefix);
        });
    return match == found->second.end() ? nullptr : *match;
}

organisation const* route_table::find_organisation(std::string_view key) const
{
    auto const range =
        owners_by_key_hash_.equal_range(std::hash<std::string_view>{}(key));
    for (auto entry = range.first; entry != range.second; ++entry) {
        if (equal_in_constant_time(entry->second.key, key)) {
            return entry->second.owner;
        }
    }
    return nullptr;
}

service const* route_table::find_service(std::string_view name) const
{
    auto const found = services_by_name_.find(name);
    return found == services_by_name_.end() ? nullptr : found->second;
}

std::string_view pick_service(route const& from, std::uint64_t hash)
{
    std::uint64_t total = 0;
    for (auto const& candidate : from.services) {
        total += candidate.weight;
    }
    if (total == 0) {
        return {};
    }
    auto position = hash % total;
    for (auto const& candidate : from.services) {
        if (position < candidate.weight) {
            return candidate.service;
        }
        position -= candidate.weight;
    }
    return {};
}

} // namespace medlarstall::routes
