#include <medlarstall/entry/http_server.hpp>

#include "transport.hpp"

#include <restinio/all.hpp>

#include <netinet/tcp.h>

#include <unordered_map>

namespace medlarstall::entry {

namespace {

/// TCP_USER_TIMEOUT of accepted connections: a client that acknowledges no data
/// for this long counts as disconnected.
constexpr int tcp_user_timeout_ms = 10'000;

/// Size of the socket send buffer. It is small, so that backpressure from a
/// slow client reaches its backend server early.
constexpr int send_buffer_bytes = 64 * 1024;

/// Pipelined requests per connection. This must be more than 1: the library
/// otherwise stops reading while a request is handled, and does not notice a
/// client that disconnects meanwhile.
constexpr std::size_t max_pipelined_requests = 2;

/// A request body above the limit is answered with status 413 up to this
/// multiple of the limit; above that the library closes the connection.
constexpr std::size_t body_cutoff_factor = 4;

/// Calls a function for each connection that the library reports as closed.
class connection_close_listener
{
public:
    explicit connection_close_listener(
        std::function<void(restinio::connection_id_t)> on_closed)
        : on_closed_{std::move(on_closed)}
    {}

    void state_changed(restinio::connection_state::notice_t const& notice)
    {
        using restinio::connection_state::closed_t;
        if (std::holds_alternative<closed_t>(notice.cause())) {
            on_closed_(notice.connection_id());
        }
    }

private:
    std::function<void(restinio::connection_id_t)> on_closed_;
};

struct server_traits : restinio::default_single_thread_traits_t
{
    using request_handler_t = std::function<restinio::request_handling_status_t(
        restinio::request_handle_t)>;
    using connection_state_listener_t = connection_close_listener;
    static constexpr bool use_connection_count_limiter = true;
};

using server = restinio::http_server_t<server_traits>;
using chunked_builder =
    restinio::response_builder_t<restinio::chunked_output_t>;

http_request to_request(restinio::request_t const& source)
{
    http_request request;
    auto const& header = source.header();
    request.method = header.method().c_str();
    request.path = std::string{header.path()};
    request.query = std::string{header.query()};
    request.body = source.body();
    request.remote_address = source.remote_endpoint().address().to_string();
    header.for_each_field([&request](auto const& field) {
        request.fields.emplace_back(field.name(), field.value());
    });
    return request;
}

template<class Builder>
void add_fields(Builder& builder, header_fields const& fields)
{
    for (auto const& [name, value] : fields) {
        builder.append_header(name, value);
    }
}

template<class Builder>
void set_keep_alive(Builder& builder, bool keep_alive)
{
    if (keep_alive) {
        builder.connection_keep_alive();
    } else {
        builder.connection_close();
    }
}

restinio::http_status_line_t status_line(int status)
{
    static std::unordered_map<int, char const*> const reasons{
        {200, "OK"},
        {202, "Accepted"},
        {204, "No Content"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {409, "Conflict"},
        {413, "Payload Too Large"},
        {422, "Unprocessable Entity"},
        {429, "Too Many Requests"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"}};
    auto const found = reasons.find(status);
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            found == reasons.end() ? "Status" : found->second};
}

/// Keeps closed servers alive until their context is destroyed. The library
/// requires a server to outlive its last connection, which pending operations
/// of the context still hold.
class closed_server_storage : public asio::execution_context::service
{
public:
    using key_type = closed_server_storage;
    static inline asio::execution_context::id id;

    explicit closed_server_storage(asio::execution_context& context)
        : asio::execution_context::service{context}
    {}

    void add(std::unique_ptr<server> closed_server)
    {
        servers_.push_back(std::move(closed_server));
    }

private:
    void shutdown() override {}

    std::vector<std::unique_ptr<server>> servers_;
};

} // namespace

struct http_server::implementation
{
    implementation(asio::io_context& io, http_server_settings settings,
                   request_handler on_request);

    restinio::request_handling_status_t
    handle_request(restinio::request_handle_t const& source);
    void connection_closed(restinio::connection_id_t id);
    std::unique_ptr<exchange::transport>
    make_transport(restinio::request_handle_t const& source);

    using connection_exchanges = std::vector<std::weak_ptr<exchange>>;

    asio::io_context& io_;
    http_server_settings settings_;
    request_handler on_request_;
    bool keep_alive_disabled_ = false;
    std::uint16_t bound_port_ = 0;
    std::unordered_map<restinio::connection_id_t, connection_exchanges>
        exchanges_;
    /// Number of exchanges whose response is not complete. Shared with the
    /// exchanges, which may outlive the server.
    std::shared_ptr<std::size_t> open_exchange_count_ =
        std::make_shared<std::size_t>(0);
    /// Expires with the server; handlers of the library check it before they
    /// use the server.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<server> server_;
};

http_server::implementation::implementation(asio::io_context& io,
                                            http_server_settings settings,
                                            request_handler on_request)
    : io_{io}, settings_{std::move(settings)},
      on_request_{std::move(on_request)}
{}

void http_server::implementation::connection_closed(
    restinio::connection_id_t id)
{
    auto const node = exchanges_.extract(id);
    if (node.empty()) {
        return;
    }
    for (auto const& weak : node.mapped()) {
        if (auto const live_exchange = weak.lock()) {
            live_exchange->connection_closed();
        }
    }
}

std::unique_ptr<exchange::transport>
http_server::implementation::make_transport(
    restinio::request_handle_t const& source)
{
    auto transport = std::make_unique<exchange::transport>();
    auto const builder = std::make_shared<std::optional<chunked_builder>>();
    auto const request = std::make_shared<restinio::request_handle_t>(source);
    auto const may_keep_alive = [this, alive = std::weak_ptr{alive_},
                                 keep_alive =
                                     source->header().should_keep_alive()] {
        return keep_alive && !alive.expired() && !keep_alive_disabled_;
    };
    transport->send_response = [request,
                                may_keep_alive](http_response response) {
        auto library_response =
            (*request)->create_response(status_line(response.status));
        request->reset();
        add_fields(library_response, response.fields);
        set_keep_alive(library_response, may_keep_alive());
        library_response.set_body(std::move(response.body));
        library_response.done();
    };
    transport->send_header = [request, builder, may_keep_alive](
                                 int status, header_fields const& fields) {
        builder->emplace(
            (*request)->create_response<restinio::chunked_output_t>(
                status_line(status)));
        request->reset();
        add_fields(**builder, fields);
        set_keep_alive(**builder, may_keep_alive());
        (*builder)->flush();
    };
    transport->send_chunk = [builder](
                                std::string chunk,
                                exchange::transport::sent_handler on_sent) {
        (*builder)->append_chunk(std::move(chunk));
        (*builder)->flush([on_sent = std::move(on_sent)](auto const& failure) {
            on_sent(!failure);
        });
    };
    transport->send_last_chunk = [builder] {
        (*builder)->done();
        builder->reset();
    };
    transport->abort = [request, builder,
                        connection =
                            restinio::impl::access_req_connection(*source),
                        id = source->request_id()] {
        request->reset();
        builder->reset();
        // An empty final part without the terminating chunk makes the library
        // close the connection, so that the client can tell that the response
        // is incomplete.
        connection->write_response_parts(
            id,
            {restinio::response_parts_attr_t::final_parts,
             restinio::response_connection_attr_t::connection_close},
            restinio::write_group_t{restinio::writable_items_container_t{}});
    };
    ++*open_exchange_count_;
    transport->on_ended = [count = open_exchange_count_] {
        --*count;
    };
    return transport;
}

restinio::request_handling_status_t http_server::implementation::handle_request(
    restinio::request_handle_t const& source)
{
    auto& exchanges = exchanges_[source->connection_id()];
    std::erase_if(exchanges, [](auto const& weak) { return weak.expired(); });
    auto new_exchange =
        std::make_shared<exchange>(to_request(*source), make_transport(source));
    exchanges.push_back(new_exchange);
    if (new_exchange->request().body.size() > settings_.max_body_bytes) {
        new_exchange->respond(
            {.status = 413,
             .fields = {{"Content-Type", "application/json"},
                        {"Medlarstall-Run", "not-run"}},
             .body =
                 R"({"error":{"code":"body_too_large","message":"body has )" +
                 std::to_string(new_exchange->request().body.size()) +
                 " bytes; at most " + std::to_string(settings_.max_body_bytes) +
                 R"( are allowed"}})"});
        return restinio::request_accepted();
    }
    on_request_(std::move(new_exchange));
    return restinio::request_accepted();
}

http_server::http_server(asio::io_context& io, http_server_settings settings,
                         request_handler on_request)
    : implementation_{std::make_unique<implementation>(io, std::move(settings),
                                                       std::move(on_request))}
{}

http_server::~http_server()
{
    *implementation_->alive_ = false;
    implementation_->alive_.reset();
    if (auto& closed_server = implementation_->server_) {
        closed_server->close_sync();
        asio::use_service<closed_server_storage>(implementation_->io_)
            .add(std::move(closed_server));
    }
}

result<std::uint16_t> http_server::listen()
{
    auto& self = *implementation_;
    auto const listener = std::make_shared<connection_close_listener>(
        [&self, alive = std::weak_ptr{self.alive_}](auto id) {
            if (!alive.expired()) {
                self.connection_closed(id);
            }
        });
    try {
        self.server_ = std::make_unique<server>(
            restinio::external_io_context(self.io_), [&](auto& options) {
                auto const& limits = self.settings_;
                options.address(limits.address)
                    .port(limits.port)
                    .max_parallel_connections(limits.max_connections)
                    .max_pipelined_requests(max_pipelined_requests)
                    .read_next_http_message_timelimit(
                        limits.request_read_timeout)
                    .write_http_response_timelimit(limits.write_timeout)
                    .handle_request_timeout(std::chrono::hours{24})
                    .buffer_size(4096)
                    .separate_accept_and_create_connect(false)
                    .incoming_http_msg_limits(
                        restinio::incoming_http_msg_limits_t{}
                            .max_url_size(limits.max_target_bytes)
                            .max_field_name_size(limits.max_field_bytes)
                            .max_field_value_size(limits.max_field_bytes)
                            .max_field_count(limits.max_fields)
                            .max_body_size(limits.max_body_bytes *
                                           body_cutoff_factor))
                    .connection_state_listener(listener)
                    .acceptor_options_setter([](auto& acceptor) {
                        acceptor.set_option(
                            asio::ip::tcp::acceptor::reuse_address(true));
                    })
                    .socket_options_setter([](auto& socket) {
                        using user_timeout =
                            asio::detail::socket_option::integer<
                                IPPROTO_TCP, TCP_USER_TIMEOUT>;
                        socket.set_option(asio::ip::tcp::no_delay(true));
                        socket.set_option(asio::socket_base::send_buffer_size(
                            send_buffer_bytes));
                        socket.set_option(asio::socket_base::keep_alive(true));
                        socket.set_option(user_timeout(tcp_user_timeout_ms));
                    })
                    .acceptor_post_bind_hook([&self](auto& acceptor) {
                        self.bound_port_ = acceptor.local_endpoint().port();
                    })
                    .request_handler([&self,
                                      alive = std::weak_ptr{self.alive_}](
                                         auto const& source) {
                        return alive.expired() ? restinio::request_rejected()
                                               : self.handle_request(source);
                    });
            });
        self.server_->open_sync();
    } catch (std::exception const& failure) {
        return error{"listen " + self.settings_.address + ":" +
                         std::to_string(self.settings_.port),
                     failure.what()};
    }
    return self.bound_port_;
}

void http_server::disable_keep_alive()
{
    implementation_->keep_alive_disabled_ = true;
}

std::size_t http_server::open_exchange_count() const
{
    return *implementation_->open_exchange_count_;
}

} // namespace medlarstall::entry
