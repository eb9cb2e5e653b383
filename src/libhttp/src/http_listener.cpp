#include <medlarstall/http/http_listener.hpp>

#include <asio/post.hpp>

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace medlarstall::http {

namespace {

/// Delay before accepting again after an error, such as no free descriptor, or
/// while the number of connections is at its limit.
constexpr std::chrono::milliseconds accept_retry_delay{20};
/// Longest time for which a caller may leave sent bytes unacknowledged.
constexpr std::chrono::milliseconds caller_timeout{10000};
constexpr int accept_backlog = 512;
/// Receive buffer of the kernel for a connection. It lets 4 MB arrive in about
/// a second at a round trip of 30 ms. The kernel doubles the figure.
constexpr std::size_t receive_buffer_bytes = 131072;
/// Receive buffer of further connections once the full ones could hold half of
/// the budget. A process that is slow to read would otherwise have too much in
/// the kernel.
constexpr std::size_t crowded_receive_buffer_bytes = 16384;
/// The same once those, too, could hold half of the budget.
constexpr std::size_t min_receive_buffer_bytes = 4096;
/// Bytes of an answer that the kernel accepts before it can send them.
constexpr std::size_t kernel_unsent_bytes = 131072;
/// A connection idle for less is not closed to make room: its request may be
/// in transit.
constexpr std::chrono::milliseconds min_idle_to_close{200};

/// \return a response that promises that the request was not and will not be
///     handled
response refusal_without_body(int status)
{
    constexpr int service_unavailable = 503;
    response refusal{{.status = status, .reason = {}, .headers = {}}, {}};
    if (status == service_unavailable) {
        refusal.head.headers.add("Retry-After", "1");
    }
    return refusal;
}

} // namespace

http_listener::http_listener(asio::io_context& context, server_events events,
                             std::size_t max_connections,
                             std::shared_ptr<memory_account> account)
    : acceptor_{context}, retry_timer_{context}, events_{std::move(events)},
      max_connections_{max_connections},
      account_{account ? std::move(account)
                       : std::make_shared<memory_account>()},
      on_memory_exceeded_{[this] {
          request_memory_check();
      }}
{
    if (!events_.closed_for_limit) {
        events_.closed_for_limit = [](limit_closure const&) {
        };
    }
    if (!events_.refused) {
        events_.refused = [](int) {
        };
    }
    if (!events_.refusal) {
        events_.refusal = refusal_without_body;
    }
}

http_listener::~http_listener()
{
    close();
    for (auto const& connection : connections_) {
        connection->detach();
    }
}

status http_listener::listen(asio::ip::tcp::endpoint const& address)
{
    std::error_code failure;
    std::ignore = acceptor_.open(address.protocol(), failure);
    if (!failure) {
        std::ignore = acceptor_.set_option(
            asio::socket_base::reuse_address{true}, failure);
    }
    if (!failure) {
        std::ignore = acceptor_.bind(address, failure);
    }
    if (!failure) {
        std::ignore = acceptor_.listen(accept_backlog, failure);
    }
    if (failure) {
        std::error_code ignored;
        std::ignore = acceptor_.close(ignored);
        auto const in_use = failure == asio::error::address_in_use;
        return error{in_use ? address_in_use : "listen",
                     address.address().to_string() + ":" +
                         std::to_string(address.port()) + ": " +
                         failure.message()};
    }
    accept();
    return success();
}

asio::ip::tcp::endpoint http_listener::address() const
{
    std::error_code ignored;
    return acceptor_.local_endpoint(ignored);
}

void http_listener::accept()
{
    acceptor_.async_accept(
        [this, weak = std::weak_ptr{check_pending_}](
            std::error_code failure, asio::ip::tcp::socket socket) {
            if (weak.lock()) {
                on_accepted(failure, std::move(socket));
            }
        });
}

void http_listener::on_accepted(std::error_code failure,
                                asio::ip::tcp::socket socket)
{
    if (failure == asio::error::operation_aborted) {
        return;
    }
    if (failure) {
        retry_accept_later();
        return;
    }
    auto channel = std::make_shared<byte_channel>(std::move(socket));
    channel->set_peer_timeout(caller_timeout);
    set_kernel_limits(*channel);
    auto connection = std::make_shared<server_connection>(
        std::move(channel), limits_, events_, account_, on_memory_exceeded_);
    connections_.insert(connection);
    auto const now = monotonic_clock::now();
    connection->start(now);
    if (draining_) {
        connection->drain();
    }
    if (!make_room(now)) {
        retry_accept_later();
        return;
    }
    accept();
}

void http_listener::set_kernel_limits(byte_channel& channel) const
{
    auto const could_hold_half = [this](std::size_t buffer_bytes) {
        return connections_.size() * 2 * buffer_bytes > account_->limit() / 2;
    };
    auto const receive_buffer = !could_hold_half(receive_buffer_bytes)
                                    ? receive_buffer_bytes
                                : !could_hold_half(crowded_receive_buffer_bytes)
                                    ? crowded_receive_buffer_bytes
                                    : min_receive_buffer_bytes;
    channel.set_receive_buffer(receive_buffer);
    channel.set_unsent_limit(kernel_unsent_bytes);
}

/// Closes the connection that has been without activity for longest, if there
/// are too many.
/// \return true if one more connection can be accepted
bool http_listener::make_room(time_point now)
{
    if (connections_.size() < max_connections_) {
        return true;
    }
    remove_closed();
    if (connections_.size() < max_connections_) {
        return true;
    }
    std::shared_ptr<server_connection> oldest;
    for (auto const& connection : connections_) {
        if (!connection->awaits_response() &&
            (!oldest ||
             connection->last_activity() < oldest->last_activity())) {
            oldest = connection;
        }
    }
    if (!oldest || now - oldest->last_activity() < min_idle_to_close) {
        return false;
    }
    events_.closed_for_limit({"connections", oldest->describe(now),
                              connections_.size(), max_connections_});
    oldest->close_for_descriptors();
    remove_closed();
    return true;
}

/// Lets check_memory() run once from the event loop, as the owner of a
/// connection may be within one of its functions now.
void http_listener::request_memory_check()
{
    if (std::exchange(*check_pending_, true)) {
        return;
    }
    asio::post(acceptor_.get_executor(),
               [this, weak = std::weak_ptr{check_pending_}] {
                   if (auto const pending = weak.lock()) {
                       *pending = false;
                       check_memory(monotonic_clock::now());
                   }
               });
}

void http_listener::check_memory(time_point now)
{
    if (account_->exceeded() || waiting_for_memory() > 0) {
        decide_memory(now);
    }
    account_->set_decision_due(false);
    for (auto const& connection : connections_) {
        connection->update_reading();
    }
}

/// Closes and resumes connections as the policy decides.
void http_listener::decide_memory(time_point now)
{
    std::vector<std::shared_ptr<server_connection>> const all{
        connections_.begin(), connections_.end()};
    std::vector<memory_holder> holders;
    holders.reserve(all.size());
    for (auto const& connection : all) {
        holders.push_back(connection->describe(now));
    }
    auto const held = account_->held();
    auto const decision =
        memory_pressure_policy::decide(holders, held, account_->limit());
    for (auto const index : decision.close) {
        events_.closed_for_limit(
            {"memory", holders[index], held, account_->limit()});
        all[index]->release_memory();
    }
    for (auto const index : decision.resume) {
        all[index]->resume_request(now);
    }
}

void http_listener::retry_accept_later()
{
    retry_timer_.expires_after(accept_retry_delay);
    retry_timer_.async_wait([this, weak = std::weak_ptr{check_pending_}](
                                std::error_code cancelled) {
        if (cancelled || !weak.lock()) {
            return;
        }
        auto const now = monotonic_clock::now();
        close_expired(now);
        if (!make_room(now)) {
            retry_accept_later();
        } else {
            accept();
        }
    });
}

void http_listener::close_expired(time_point now)
{
    for (auto const& connection : connections_) {
        connection->check_timeouts(now);
        std::ignore = connection->describe(now); // Notes its progress.
    }
    check_memory(now);
    remove_closed();
}

std::size_t http_listener::waiting_for_memory() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [](auto const& connection) {
            return connection->waits_for_memory();
        }));
}

void http_listener::remove_closed()
{
    std::erase_if(connections_,
                  [](auto const& connection) { return connection->closed(); });
}

void http_listener::drain()
{
    draining_ = true;
    for (auto const& connection : connections_) {
        connection->drain();
    }
}

void http_listener::close_idle(time_point now)
{
    for (auto const& connection : connections_) {
        connection->close_if_idle(now);
    }
}

void http_listener::close()
{
    std::error_code ignored;
    std::ignore = acceptor_.close(ignored);
    retry_timer_.cancel();
}

bool http_listener::busy() const
{
    return std::ranges::any_of(connections_, [](auto const& connection) {
        return connection->busy();
    });
}

} // namespace medlarstall::http
