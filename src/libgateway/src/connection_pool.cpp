#include <medlarstall/gateway/connection_pool.hpp>

#include <asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace medlarstall::gateway {

std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::error_code failure;
    auto const address =
        asio::ip::make_address(std::string{text.substr(0, colon)}, failure);
    std::uint16_t port = 0;
    auto const digits = text.substr(colon + 1);
    auto const parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure || parsed.ec != std::errc{} ||
        parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint{address, port};
}

connection_pool::connection_pool(asio::io_context& context,
                                 pool_settings settings)
    : context_{context}, settings_{settings}
{}

bool connection_pool::is_usable(http::upstream_connection const& idle,
                                bool unrepeatable, time_point now) const
{
    auto limit = settings_.default_idle_limit;
    if (idle.keep_alive_timeout()) {
        limit = std::chrono::milliseconds{*idle.keep_alive_timeout()} -
                settings_.idle_margin;
    }
    if (unrepeatable) {
        limit = std::min(limit, settings_.unrepeatable_idle_limit);
    }
    return idle.reusable() && now - idle.last_activity() < limit;
}

connection_pool::connection
connection_pool::acquire(std::string const& server,
                         asio::ip::tcp::endpoint const& address,
                         bool unrepeatable, time_point now)
{
    auto& idle = idle_[server];
    if (!idle.empty() && is_usable(*idle.back(), unrepeatable, now)) {
        auto found = std::move(idle.back());
        idle.pop_back();
        return found;
    }
    return create(server, address);
}

connection_pool::connection
connection_pool::create(std::string const& server,
                        asio::ip::tcp::endpoint const& address)
{
    ++opened_count_;
    if (++open_estimate_ > settings_.max_connections) {
        close_all_idle();
        remove_expired();
    }
    auto created =
        std::make_shared<http::upstream_connection>(context_, address);
    all_[server].push_back(created);
    return created;
}

std::optional<time_point>
connection_pool::oldest_open(std::string const& server,
                             asio::ip::tcp::endpoint const& address,
                             http::upstream_connection const* except) const
{
    auto const found = all_.find(server);
    if (found == all_.end()) {
        return std::nullopt;
    }
    // They are established about in the order in which they are created, and
    // each look asks the kernel, so the first open one is taken.
    for (auto const& weak : found->second) {
        auto const item = weak.lock();
        if (item && item.get() != except && item->address() == address &&
            item->is_established()) {
            return item->opened_at();
        }
    }
    return std::nullopt;
}

void connection_pool::release(std::string const& server, connection used)
{
    auto& idle = idle_[server];
    if (!used->reusable() || idle.size() >= settings_.max_idle_per_server) {
        used->cancel();
        return;
    }
    used->on_closed_while_idle([this, server, raw = used.get()] {
        if (idle_closed_handler_) {
            idle_closed_handler_(server);
        }
        remove_idle(server, raw);
    });
    idle.push_back(std::move(used));
}

void connection_pool::remove_idle(std::string const& server,
                                  http::upstream_connection* lost)
{
    auto const found = idle_.find(server);
    if (found != idle_.end()) {
        std::erase_if(found->second, [lost](connection const& item) {
            return item.get() == lost;
        });
    }
}

void connection_pool::close_idle(std::string const& server)
{
    idle_.erase(server);
}

void connection_pool::close_all_idle()
{
    idle_.clear();
}

void connection_pool::close_expired(time_point now)
{
    for (auto& [server, idle] : idle_) {
        std::erase_if(idle, [this, now](connection const& item) {
            return !is_usable(*item, false, now);
        });
    }
    std::erase_if(idle_, [](auto const& item) { return item.second.empty(); });
    remove_expired();
}

void connection_pool::remove_expired()
{
    open_estimate_ = 0;
    for (auto& [server, connections] : all_) {
        std::erase_if(connections,
                      [](auto const& weak) { return weak.expired(); });
        open_estimate_ += connections.size();
    }
    std::erase_if(all_, [](auto const& item) { return item.second.empty(); });
}

} // namespace medlarstall::gateway
