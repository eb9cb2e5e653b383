#ifndef MEDLARSTALL_TESTS_STANDALONE_FIXTURE_HPP
#define MEDLARSTALL_TESTS_STANDALONE_FIXTURE_HPP

#include <medlarstall/daemon/daemon.hpp>
#include <medlarstall/standins/engine_standin.hpp>
#include <medlarstall/standins/service_standin.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/tests/caller.hpp>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace medlarstall::tests {

/// Longest time that a test waits for a condition before it fails.
inline constexpr std::chrono::seconds wait_timeout{15};

/// A standalone daemon, one engine, one plain service and a caller, all on one
/// I/O context.
struct standalone_fixture
{
    explicit standalone_fixture(standins::engine_settings engine_settings = {})
        : engine{io, std::move(engine_settings)}, service{io}, test_caller{io}
    {
        engine.start();
        service.start();
        router = std::make_unique<daemon::daemon>(io, settings());
        auto const started = router->start();
        BOOST_REQUIRE(!failed(started));
        port = value_of(started).port;
    }

    /// \return a catalogue with the organisation "coteau", whose key is "key",
    ///     two service classes, one model and one repeatable service
    [[nodiscard]] nlohmann::json catalogue() const
    {
        auto const backend_servers = [](char const* id,
                                        std::uint16_t server_port) {
            return nlohmann::json::array({{{"id", id},
                                           {"address", "127.0.0.1"},
                                           {"port", server_port},
                                           {"data_centre", "regina-a"}}});
        };
        return {
            {"classes",
             {{"field", {{"owner", "coteau"}, {"tier", 0}}},
              {"notes", {{"owner", "coteau"}, {"tier", 2}}}}},
            {"organisations",
             {{"coteau",
               {{"owner", "coteau"},
                {"classes", {"field", "notes"}},
                {"key_digests", {sha256_hex("key")}}}}}},
            {"groups",
             {{"stall-writers",
               {{"owner", "coteau"},
                {"kind", "engine"},
                {"backend_servers",
                 backend_servers("writer-1", engine.port())}}},
              {"shop-desk",
               {{"owner", "coteau"},
                {"kind", "service"},
                {"backend_servers",
                 backend_servers("desk-1", service.port())}}}}},
            {"models",
             {{"drafts", {{"owner", "coteau"}, {"group", "stall-writers"}}}}},
            {"services",
             {{"shop-desk",
               {{"owner", "coteau"},
                {"group", "shop-desk"},
                {"repeatable", true}}}}}};
    }

    /// \return settings of a standalone daemon with the catalogue above and a
    ///     body limit of 64 KiB
    [[nodiscard]] daemon::daemon_settings settings() const
    {
        daemon::daemon_settings result;
        result.standalone = true;
        result.seed = 7;
        result.catalogue_json = catalogue().dump();
        result.http_server.max_body_bytes = std::size_t{64} * 1024;
        return result;
    }

    /// \param path path and query
    /// \return URL of a resource at the daemon
    [[nodiscard]] std::string url(std::string const& path) const
    {
        return "http://127.0.0.1:" + std::to_string(port) + path;
    }

    /// Sends a chat completion request to the daemon.
    /// \param prompt text of the user message
    /// \param stream false for an answer that is not streamed
    /// \return the answer, which is filled while the context runs
    answer_pointer chat(std::string const& prompt, bool stream = true)
    {
        return test_caller.chat(port, "key", prompt, {}, stream);
    }

    /// Runs the context until a condition holds; the test fails if it does not
    /// hold within wait_timeout.
    template<class Condition>
    void run_until(Condition condition)
    {
        auto const limit = std::chrono::steady_clock::now() + wait_timeout;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            io.run_one_for(std::chrono::milliseconds{50});
        }
        BOOST_REQUIRE(condition());
    }

    asio::io_context io{1};
    standins::engine_standin engine;
    standins::service_standin service;
    caller test_caller;
    std::unique_ptr<daemon::daemon> router;
    std::uint16_t port = 0;
};

} // namespace medlarstall::tests

#endif
