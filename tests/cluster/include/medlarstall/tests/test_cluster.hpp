#ifndef MEDLARSTALL_TESTS_TEST_CLUSTER_HPP
#define MEDLARSTALL_TESTS_TEST_CLUSTER_HPP

#include <medlarstall/daemon/daemon.hpp>
#include <medlarstall/standins/engine_standin.hpp>
#include <medlarstall/standins/platform_standin.hpp>
#include <medlarstall/standins/service_standin.hpp>
#include <medlarstall/tests/caller.hpp>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::tests {

/// Key that publishes the first catalogue, and later an operator's key.
inline constexpr char const* operator_key = "operator-key";

/// Claim streams of every daemon.
inline constexpr std::size_t claim_streams = 8;

/// \param stream number of a claim stream
/// \return name of its log
[[nodiscard]] inline std::string claim_log(std::size_t stream)
{
    return "claims-" + std::to_string(stream);
}

/// How a cluster starts.
struct cluster_settings
{
    std::size_t daemons = 3;
    std::size_t engines = 4;
    std::size_t services = 2;
    std::chrono::microseconds between_tokens{2'000};
    unsigned slots = 8;
    std::chrono::milliseconds directory_ttl{200};
};

/// Daemons, each on a context of its own, and engines, plain services and the
/// platform on another one, all run by one thread, with two organisations,
/// "coteau" (key "coteau-key") and "moruga" (key "moruga-key"), and three
/// classes, "field", "draft" and "notes", in tiers 0 to 2. The model is
/// "drafts"; the service "shop-desk" may not be repeated but below /lookup.
class test_cluster
{
public:
    explicit test_cluster(cluster_settings settings = {});
    ~test_cluster();
    test_cluster(test_cluster const&) = delete;
    test_cluster& operator=(test_cluster const&) = delete;

    /// Runs every context until a condition holds or the time is up.
    /// \return true if the condition holds
    template<class Condition>
    [[nodiscard]] bool
    run_until(Condition condition,
              std::chrono::milliseconds limit = std::chrono::seconds{20})
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= end) {
                return false;
            }
            run_some();
        }
        return true;
    }

    /// Runs every context for some time.
    void run_for(std::chrono::milliseconds span);

    /// Publishes the catalogue and waits until every daemon routes.
    /// \return false if that did not happen in time
    [[nodiscard]] bool start();

    /// \return the catalogue that start() publishes, as a file has it
    [[nodiscard]] nlohmann::json catalogue() const;

    /// Publishes a change through a daemon.
    /// \param port port of the daemon
    /// \param change as POST /admin/v1/catalogue takes it
    answer_pointer publish(std::uint16_t port, nlohmann::json const& change);

    /// Starts another daemon, or one that was stopped, with a new identity.
    /// \return its number
    std::size_t add_daemon();

    /// Drops a daemon without notice, with all of its connections.
    void crash_daemon(std::size_t number);

    /// Stops the clock of a daemon, as a paused process has it, or goes on.
    void pause_daemon(std::size_t number, bool paused);

    /// \return true if every daemon's router can place a chat request
    [[nodiscard]] bool routes(std::size_t number);

    [[nodiscard]] std::uint16_t port(std::size_t number) const
    {
        return ports_.at(number);
    }
    [[nodiscard]] daemon::daemon& daemon_at(std::size_t number)
    {
        return *daemons_.at(number);
    }
    [[nodiscard]] std::size_t daemons() const { return daemons_.size(); }
    [[nodiscard]] standins::engine_standin& engine(std::size_t number)
    {
        return *engines_.at(number);
    }
    [[nodiscard]] std::size_t engines() const { return engines_.size(); }
    [[nodiscard]] standins::service_standin& service(std::size_t number)
    {
        return *services_.at(number);
    }
    [[nodiscard]] std::size_t services() const { return services_.size(); }
    [[nodiscard]] standins::platform_standin& platform() { return platform_; }
    [[nodiscard]] asio::io_context& io() { return io_; }
    [[nodiscard]] caller& from() { return caller_; }

    /// \return an edit list that makes every entry of a catalogue file
    [[nodiscard]] static nlohmann::json edits_of(nlohmann::json const& file);

    /// \return a new UUID of version 7
    [[nodiscard]] static std::string new_key();

private:
    void register_backend_server(std::string const& id,
                                 std::string const& group, std::uint16_t port,
                                 std::size_t number);

    /// Runs what is due, or waits for a moment.
    void run_some();

    /// Context of one daemon.
    struct daemon_context
    {
        asio::io_context io{1};
        bool paused = false;
    };

    asio::io_context io_{1};
    std::vector<std::unique_ptr<daemon_context>> contexts_;
    cluster_settings settings_;
    standins::platform_standin platform_;
    std::vector<std::unique_ptr<standins::engine_standin>> engines_;
    std::vector<std::unique_ptr<standins::service_standin>> services_;
    std::vector<std::unique_ptr<daemon::daemon>> daemons_;
    std::vector<std::uint16_t> ports_;
    caller caller_;
};

} // namespace medlarstall::tests

#endif
