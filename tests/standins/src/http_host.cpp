#include <medlarstall/standins/http_host.hpp>

#include "tracked_socket.hpp"

#include <restinio/all.hpp>

#include <charconv>
#include <tuple>
#include <utility>

namespace medlarstall::standins {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t largest_body = std::size_t{16} << 20U;

struct host_traits : restinio::default_single_thread_traits_t
{
    using stream_socket_t = tracked_socket;
};

using server = restinio::http_server_t<host_traits>;
using chunked = restinio::chunked_output_t;
using whole = restinio::restinio_controlled_output_t;
using partial = restinio::user_controlled_output_t;

void reset(asio::ip::tcp::socket& socket)
{
    asio::error_code ignored;
    std::ignore =
        socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    std::ignore = socket.close(ignored);
}

/// A request that nobody answers, kept since RESTinio closes a connection
/// whose request and answer are let go of.
struct unanswered_request
{
    restinio::request_handle_t handle;
    std::unique_ptr<restinio::response_builder_t<chunked>> stream;
};

restinio::http_status_line_t status_line(unsigned code)
{
    auto const number = static_cast<std::uint16_t>(code);
    return {restinio::http_status_code_t{number}, "Status"};
}

} // namespace

std::string http_request::header(std::string_view name) const
{
    for (auto const& [key, value] : headers) {
        if (restinio::impl::is_equal_caseless(key.data(), key.size(),
                                              name.data(), name.size())) {
            return value;
        }
    }
    return {};
}

std::uint64_t http_request::parameter(std::string_view name,
                                      std::uint64_t fallback) const
{
    auto const parameters = restinio::parse_query(query);
    if (!parameters.has(restinio::string_view_t{name.data(), name.size()})) {
        return fallback;
    }
    auto const text =
        parameters[restinio::string_view_t{name.data(), name.size()}];
    std::uint64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

struct http_host::implementation
{
    asio::io_context& context;
    host_settings settings;
    handler handle;
    std::unique_ptr<server> http;
    std::uint16_t port = 0;
    std::uint64_t latest_connection = 0;
    std::uint64_t silent_up_to = 0;
    std::vector<unanswered_request> unanswered;
    /// Keeps the port while the host is stopped, so that no other process gets
    /// it; a connection to it is refused.
    asio::ip::tcp::acceptor reserved_port{context};

    void reserve_port()
    {
        asio::ip::tcp::endpoint const endpoint{
            asio::ip::make_address(settings.address), port};
        std::error_code ignored;
        std::ignore = reserved_port.open(endpoint.protocol(), ignored);
        std::ignore = reserved_port.set_option(
            asio::socket_base::reuse_address{true}, ignored);
        std::ignore = reserved_port.bind(endpoint, ignored);
    }

    [[nodiscard]] bool silent(std::uint64_t connection) const
    {
        return connection <= silent_up_to;
    }

    void drop_all() const
    {
        auto& registry = asio::use_service<socket_registry>(context);
        for (auto* socket : registry.connected(port)) {
            reset(*socket);
        }
    }

    void drop_one(restinio::endpoint_t const& peer) const
    {
        auto& registry = asio::use_service<socket_registry>(context);
        for (auto* socket : registry.connected(port)) {
            asio::error_code failure;
            if (socket->remote_endpoint(failure) == peer && !failure) {
                reset(*socket);
                return;
            }
        }
    }
};

struct http_exchange::implementation
{
    restinio::request_handle_t handle;
    std::weak_ptr<http_host::implementation> host;
    http_request request;
    std::unique_ptr<restinio::response_builder_t<chunked>> stream;
    std::shared_ptr<bool> ended = std::make_shared<bool>(false);

    void keep_open()
    {
        auto const owner = host.lock();
        if (!*ended && owner && owner->http) {
            owner->unanswered.push_back({std::move(handle), std::move(stream)});
        }
    }

    [[nodiscard]] bool silent() const
    {
        auto const owner = host.lock();
        return !owner || owner->silent(request.connection);
    }
};

http_exchange::http_exchange(std::unique_ptr<implementation> parts)
    : parts_{std::move(parts)}
{}

http_exchange::~http_exchange()
{
    parts_->keep_open();
}

http_request const& http_exchange::request() const
{
    return parts_->request;
}

void http_exchange::reply(unsigned code, std::string body, header_list headers)
{
    if (parts_->silent()) {
        return;
    }
    *parts_->ended = true;
    auto response = parts_->handle->create_response<whole>(status_line(code));
    bool typed = false;
    for (auto& [name, value] : headers) {
        typed = typed || name == "Content-Type";
        response.append_header(std::move(name), std::move(value));
    }
    if (!typed) {
        response.append_header("Content-Type", "application/json");
    }
    response.set_body(std::move(body));
    response.done();
}

void http_exchange::reply_cut(unsigned code, std::string const& body,
                              std::size_t sent)
{
    if (parts_->silent()) {
        return;
    }
    *parts_->ended = true;
    auto response = parts_->handle->create_response<partial>(status_line(code));
    response.set_content_length(body.size());
    response.append_header("Content-Type", "application/json");
    response.set_body(body.substr(0, sent));
    response.flush([host = parts_->host,
                    peer = parts_->handle->remote_endpoint()](auto const&) {
        if (auto const owner = host.lock()) {
            owner->drop_one(peer);
        }
    });
}

void http_exchange::start_stream(unsigned code, std::string content_type)
{
    parts_->stream = std::make_unique<restinio::response_builder_t<chunked>>(
        parts_->handle->create_response<chunked>(status_line(code)));
    parts_->stream->append_header("Content-Type", std::move(content_type));
}

void http_exchange::write(std::string chunk, std::function<void(bool)> flushed)
{
    if (parts_->silent() || !parts_->stream) {
        return;
    }
    parts_->stream->append_chunk(std::move(chunk));
    parts_->stream->flush([flushed = std::move(flushed), ended = parts_->ended](
                              asio::error_code const& failure) {
        *ended = *ended || failure;
        if (flushed) {
            flushed(!failure);
        }
    });
}

void http_exchange::finish()
{
    if (parts_->silent() || !parts_->stream) {
        return;
    }
    *parts_->ended = true;
    parts_->stream->done();
}

void http_exchange::drop()
{
    auto const owner = parts_->host.lock();
    if (owner && !parts_->silent()) {
        *parts_->ended = true;
        owner->drop_one(parts_->handle->remote_endpoint());
    }
}

namespace {

http_request read_request(restinio::request_t const& received)
{
    auto const& head = received.header();
    http_request request;
    request.method = head.method().c_str();
    request.path = std::string{head.path().data(), head.path().size()};
    request.query = std::string{head.query().data(), head.query().size()};
    request.body = received.body();
    request.connection = received.connection_id();
    head.for_each_field([&](auto const& field) {
        request.headers.emplace_back(field.name(), field.value());
    });
    return request;
}

} // namespace

http_host::http_host(asio::io_context& context, host_settings settings,
                     handler handle)
    : parts_{std::make_shared<implementation>(
          implementation{.context = context,
                         .settings = std::move(settings),
                         .handle = std::move(handle)})}
{
    parts_->port = parts_->settings.port;
}

http_host::~http_host()
{
    stop();
}

void http_host::start()
{
    if (parts_->http) {
        return;
    }
    std::weak_ptr<implementation> const owner = parts_;
    auto const serve = [owner](restinio::request_handle_t received) {
        auto const host = owner.lock();
        if (!host) {
            return restinio::request_rejected();
        }
        if (host->silent(received->connection_id())) {
            host->unanswered.push_back({std::move(received), nullptr});
            return restinio::request_accepted();
        }
        host->latest_connection =
            std::max(host->latest_connection, received->connection_id());
        auto parts = std::make_unique<http_exchange::implementation>();
        parts->request = read_request(*received);
        parts->handle = std::move(received);
        parts->host = owner;
        host->handle(std::make_shared<http_exchange>(std::move(parts)));
        return restinio::request_accepted();
    };
    auto const note_port = [owner](asio::ip::tcp::acceptor& acceptor) {
        if (auto const host = owner.lock()) {
            host->port = acceptor.local_endpoint().port();
        }
    };
    parts_->http = std::make_unique<server>(
        restinio::external_io_context(parts_->context), [&](auto& settings) {
            settings.address(parts_->settings.address)
                .port(parts_->port)
                .request_handler(serve)
                .acceptor_post_bind_hook(note_port)
                .concurrent_accepts_count(4)
                .socket_options_setter([](auto& options) {
                    options.set_option(asio::ip::tcp::no_delay{true});
                })
                .read_next_http_message_timelimit(10min)
                .write_http_response_timelimit(10min)
                .handle_request_timeout(60min)
                .incoming_http_msg_limits(
                    restinio::incoming_http_msg_limits_t{}.max_body_size(
                        largest_body));
        });
    parts_->http->open_sync();
    std::error_code ignored;
    std::ignore = parts_->reserved_port.close(ignored);
}

void http_host::stop()
{
    if (!parts_->http) {
        return;
    }
    parts_->http->close_sync();
    parts_->http.reset();
    parts_->reserve_port();
    parts_->drop_all();
    parts_->unanswered.clear();
    parts_->silent_up_to = 0;
    parts_->latest_connection = 0;
}

bool http_host::running() const
{
    return parts_->http != nullptr;
}

std::uint16_t http_host::port() const
{
    return parts_->port;
}

void http_host::silence_open_connections()
{
    parts_->silent_up_to = parts_->latest_connection;
}

void http_host::drop_connections()
{
    parts_->drop_all();
}

} // namespace medlarstall::standins
