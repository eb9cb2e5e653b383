#ifndef MEDLARSTALL_TESTS_GATEWAY_WORLD_HPP
#define MEDLARSTALL_TESTS_GATEWAY_WORLD_HPP

#include <medlarstall/gateway/gateway.hpp>
#include <medlarstall/platform_standins/raw_server.hpp>
#include <medlarstall/platform_standins/server_standin.hpp>
#include <medlarstall/platform_standins/store_standin.hpp>

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// An answer as a caller sees it.
struct caller_answer
{
    int status = 0; ///< 0: none yet.
    medlarstall::http::header_list headers;
    std::string body;
    bool complete = false;
    bool broken = false; ///< The connection ended before the answer did.

    [[nodiscard]] bool over() const { return complete || broken; }
};

/// Gateways, a store, backend servers and callers in one event loop.
struct gateway_world
{
    asio::io_context context{1};
    medlarstall::platform_standins::store_standin store{context};
    std::vector<std::unique_ptr<medlarstall::platform_standins::server_standin>>
        servers;
    std::vector<std::unique_ptr<medlarstall::gateway::gateway>> gateways;
    std::vector<std::shared_ptr<medlarstall::http::upstream_connection>>
        connections;
    int null_descriptor = -1;

    /// \param server_count backend servers to start
    explicit gateway_world(std::size_t server_count);
    ~gateway_world();

    /// Starts a gateway.
    /// \param grace from stop to its end
    medlarstall::gateway::gateway&
    add_gateway(std::chrono::milliseconds grace = std::chrono::seconds{8},
                std::vector<std::string> seeds = {});

    /// Writes a configuration with the routes of the tests.
    /// \param version its version
    /// \param service service of all routes
    void configure(std::uint64_t version, std::string const& service = "s");

    /// Writes the entry of a backend server.
    void list_server(std::size_t at, std::string const& state,
                     std::uint64_t sequence);

    /// Lists a raw server as "i-raw" and waits until the first gateway knows
    /// it.
    void list_raw(medlarstall::platform_standins::raw_server const& server);

    /// Runs the event loop until something holds.
    /// \return false if it does not come to hold
    bool run_until(std::function<bool()> const& holds);

    /// Sends a request to a gateway; one to a model if it names tokens.
    std::shared_ptr<caller_answer>
    send(std::size_t gateway, std::string const& method,
         std::string const& path, std::string const& id,
         std::string const& key = "key-small", std::string const& tokens = "");

    /// Sends a request and waits for the end of its answer.
    caller_answer ask(std::size_t gateway, std::string const& method,
                      std::string const& path, std::string const& id,
                      std::string const& key = "key-small");

    /// Waits until a gateway serves requests.
    bool wait_ready(std::size_t gateway);

    /// Asks a gateway's other addresses.
    caller_answer get(asio::ip::tcp::endpoint const& address,
                      std::string const& target);

    /// \return requests run by all backend servers
    [[nodiscard]] std::size_t total_runs() const;

    /// Starts gateways that find each other by the first three.
    void add_fleet(std::size_t daemons);

    /// Runs the event loop for a while.
    void pass(std::chrono::milliseconds span);
};

/// One gateway that is ready; runs before that are not counted.
struct ready_world : gateway_world
{
    std::size_t runs_before;

    /// \param server_count backend servers to start
    explicit ready_world(std::size_t server_count);

    /// \return requests run since it was ready
    [[nodiscard]] std::size_t runs() const
    {
        return total_runs() - runs_before;
    }

    /// Tells all backend servers what to do with their next request.
    void script_all(medlarstall::platform_standins::behaviour const& what);
};

#endif
