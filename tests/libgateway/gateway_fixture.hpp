#ifndef MEDLARSTALL_TESTS_GATEWAY_FIXTURE_HPP
#define MEDLARSTALL_TESTS_GATEWAY_FIXTURE_HPP

#include <medlarstall/gateway/gateway.hpp>
#include <medlarstall/platform_standins/raw_server.hpp>
#include <medlarstall/platform_standins/server_standin.hpp>
#include <medlarstall/platform_standins/store_standin.hpp>

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// An answer as received by a caller.
struct caller_answer
{
    int status = 0; ///< 0 until the head was received.
    medlarstall::http::header_list headers;
    std::string body;
    bool complete = false;
    bool broken = false; ///< The connection ended before the answer did.

    [[nodiscard]] bool ended() const { return complete || broken; }

    /// \return value of Retry-After in seconds, or 0 if there is none
    [[nodiscard]] double retry_after_seconds() const;
};

/// Fixture with gateways, stand-ins for the store and the backend servers, and
/// callers in one event loop. Backend servers have the ids "i-0", "i-1", ...
struct gateway_fixture
{
    asio::io_context context{1};
    /// Event loops of the gateways, if each has one of its own.
    std::vector<std::unique_ptr<asio::io_context>> gateway_contexts;
    bool has_own_contexts = false;
    /// Indices of gateways that do not run, as if their machines were frozen.
    /// They must have event loops of their own.
    std::set<std::size_t> frozen;
    medlarstall::platform_standins::store_standin store{context};
    std::vector<std::unique_ptr<medlarstall::platform_standins::server_standin>>
        servers;
    std::vector<std::unique_ptr<medlarstall::gateway::gateway>> gateways;
    std::vector<std::shared_ptr<medlarstall::http::upstream_connection>>
        connections;
    /// Where each gateway reaches the store, if each has an address of its own.
    std::vector<asio::ip::tcp::endpoint> store_addresses;
    bool has_own_store_addresses = false;
    /// Address of the store that gateways are added with, if not of `store`.
    std::optional<asio::ip::tcp::endpoint> own_store;
    /// Whether gateways that are added start with the whole system.
    bool first_start = true;
    /// Duties of the gateways that are added.
    std::optional<medlarstall::gateway::duty_settings> duties;
    /// Whether gateways that are added count requests.
    bool counts_usage = false;
    /// Answers the calls of exclusive duties; if empty, nobody does.
    medlarstall::gateway::duty_client call_duty;
    /// Where the gateways write their log lines.
    int log_descriptor = -1;

    /// \param server_count number of backend servers to start and list
    explicit gateway_fixture(std::size_t server_count);
    ~gateway_fixture();

    /// Starts a gateway.
    /// \param grace_period time from stop() to its end
    /// \param seeds peer addresses of other daemons
    /// \return the gateway
    medlarstall::gateway::gateway& add_gateway(
        std::chrono::milliseconds grace_period = std::chrono::seconds{8},
        std::vector<std::string> seeds = {});

    /// Ends all gateways at once, as a loss of power does. They must have event
    /// loops of their own.
    void kill_gateways();

    /// Writes a configuration with the routes of the tests to the store.
    /// \param version version of the configuration
    /// \param service service of all routes
    void write_configuration(std::uint64_t version,
                             std::string const& service = "s");

    /// Writes the entry of a backend server to the store.
    /// \param at index in servers
    /// \param state state in the entry, for example "ready"
    /// \param sequence sequence number of the entry
    void list_server(std::size_t at, std::string const& state,
                     std::uint64_t sequence);

    /// Writes the entry of the next run of the first backend server, and waits
    /// until a gateway has read it.
    /// \param at index in servers of the one that the entry names the address
    /// of
    void list_next_run(std::size_t at = 0);

    /// Writes an entry for a raw server and waits until the first gateway has
    /// read it.
    void
    list_raw_server(medlarstall::platform_standins::raw_server const& server,
                    std::string const& id = "i-raw");

    /// Runs the event loop until a condition holds.
    /// \return false if it does not hold within 20 seconds
    bool run_until(std::function<bool()> const& holds);

    /// Sends a request to a gateway.
    /// \param tokens token counts of a request to a model; empty for others
    /// \param parts the parts of its prompt; empty for none
    /// \return the answer, which is filled while the event loop runs
    std::shared_ptr<caller_answer>
    send(std::size_t gateway, std::string const& method,
         std::string const& path, std::string const& id,
         std::string const& key = "key-small", std::string const& tokens = "",
         std::string const& parts = "");

    /// Sends a request with further header fields, as name and value.
    std::shared_ptr<caller_answer> send_with_fields(
        std::size_t gateway, std::string const& method, std::string const& path,
        std::string const& id,
        std::vector<std::pair<std::string, std::string>> const& fields);

    /// Sends a request and runs the event loop until its answer has ended.
    caller_answer send_and_wait(std::size_t gateway, std::string const& method,
                                std::string const& path, std::string const& id,
                                std::string const& key = "key-small");

    /// Runs the event loop until a gateway serves requests.
    /// \return false if it does not within 20 seconds
    bool wait_until_ready(std::size_t gateway);

    /// Sends a GET request to any address, such as the peer address of a
    /// gateway, and waits for the end of the answer.
    caller_answer get(asio::ip::tcp::endpoint const& address,
                      std::string const& target);

    /// \return number of requests run by all backend servers
    [[nodiscard]] std::size_t total_runs() const;

    /// Starts gateways that find each other through the first three as seeds.
    void add_gateways(std::size_t daemons);

    /// \return all log lines that the gateways have written
    [[nodiscard]] std::string log_text() const;

    /// Runs the event loop for a fixed time.
    void run_for(std::chrono::milliseconds span);

private:
    std::shared_ptr<caller_answer>
    send_call(std::size_t gateway, std::string const& method,
              std::string const& path, std::string const& id,
              std::vector<std::pair<std::string, std::string>> const& fields);
};

/// Fixture with one gateway that is ready to serve requests.
struct ready_gateway_fixture : gateway_fixture
{
    std::size_t runs_before_ready;

    /// \param server_count number of backend servers to start and list
    explicit ready_gateway_fixture(std::size_t server_count);

    /// \return number of requests run since the gateway was ready
    [[nodiscard]] std::size_t runs() const
    {
        return total_runs() - runs_before_ready;
    }

    /// Sets how each backend server handles its next request.
    void script_all(medlarstall::platform_standins::behaviour const& what);
};

#endif
