#include <medlarstall/routes/route_table.hpp>

#include <algorithm>
#include <cctype>
#include <functional>
#include <string>
#include <utility>

namespace medlarstall::routes {

namespace {

std::string normal_host(std::string_view host)
{
    std::string name{host.substr(0, host.rfind(':'))};
    std::ranges::transform(name, name.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return name;
}

/// Takes the same time wherever the texts differ.
bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t at = 0; at < left.size(); ++at) {
        difference |= static_cast<unsigned char>(left[at]) ^
                      static_cast<unsigned char>(right[at]);
    }
    return difference == 0;
}

} // namespace

char const* name_of(route_kind kind)
{
    switch (kind) {
    case route_kind::repeatable:
        return "repeatable";
    case route_kind::once:
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
        by_host_[item.host].push_back(&item);
    }
    for (auto& [host, routes] : by_host_) {
        std::ranges::stable_sort(routes, [](auto const* one, auto const* two) {
            return one->path_prefix.size() > two->path_prefix.size();
        });
    }
    std::hash<std::string_view> const hash;
    for (auto const& item : content_.organisations) {
        for (auto const& key : item.keys) {
            by_key_.emplace(hash(key), key_holder{key, &item});
        }
    }
    for (auto const& item : content_.services) {
        services_.emplace(item.name, &item);
    }
}

route const* route_table::find_route(std::string_view host,
                                     std::string_view path) const
{
    auto const name = normal_host(host);
    auto const found = by_host_.find(name);
    if (found == by_host_.end()) {
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
    auto const range = by_key_.equal_range(std::hash<std::string_view>{}(key));
    for (auto at = range.first; at != range.second; ++at) {
        if (equal_in_constant_time(at->second.key, key)) {
            return at->second.holder;
        }
    }
    return nullptr;
}

service const* route_table::find_service(std::string_view name) const
{
    auto const found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

std::string_view pick_service(route const& from, std::uint64_t hash)
{
    std::uint64_t total = 0;
    for (auto const& share : from.services) {
        total += share.weight;
    }
    if (total == 0) {
        return {};
    }
    auto left = hash % total;
    for (auto const& share : from.services) {
        if (left < share.weight) {
            return share.service;
        }
        left -= share.weight;
    }
    return {};
}

} // namespace medlarstall::routes
