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

/// Longest time that a test waits for what must happen.
inline constexpr std::chrono::seconds patience{15};

/// One daemon that runs alone, one engine and one plain service, all on one
/// context, and a caller.
struct standalone_fixture
{
    explicit standalone_fixture(standins::engine_settings with = {})
        : engine{io, std::move(with)}, shop{io}, from{io}
    {
        engine.start();
        shop.start();
        router = std::make_unique<daemon::daemon>(io, settings());
        auto const started = router->start();
        BOOST_REQUIRE(!failed(started));
        port = value_of(started).port;
    }

    [[nodiscard]] nlohmann::json catalogue() const
    {
        auto const server = [](char const* id, std::uint16_t at) {
            return nlohmann::json::array({{{"id", id},
                                           {"address", "127.0.0.1"},
                                           {"port", at},
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
                {"backend_servers", server("writer-1", engine.port())}}},
              {"shop-desk",
               {{"owner", "coteau"},
                {"kind", "service"},
                {"backend_servers", server("desk-1", shop.port())}}}}},
            {"models",
             {{"drafts", {{"owner", "coteau"}, {"group", "stall-writers"}}}}},
            {"services",
             {{"shop-desk",
               {{"owner", "coteau"},
                {"group", "shop-desk"},
                {"repeatable", true}}}}}};
    }

    [[nodiscard]] daemon::daemon_settings settings() const
    {
        daemon::daemon_settings made;
        made.standalone = true;
        made.seed = 7;
        made.catalogue_text = catalogue().dump();
        made.front.max_body_bytes = std::size_t{64} * 1024;
        return made;
    }

    [[nodiscard]] std::string url(std::string const& path) const
    {
        return "http://127.0.0.1:" + std::to_string(port) + path;
    }

    answer_pointer chat(std::string const& prompt, bool stream = true)
    {
        return from.chat(port, "key", prompt, {}, stream);
    }

    template<class Condition>
    void run_until(Condition condition)
    {
        auto const limit = std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            io.run_one_for(std::chrono::milliseconds{50});
        }
        BOOST_REQUIRE(condition());
    }

    asio::io_context io{1};
    standins::engine_standin engine;
    standins::service_standin shop;
    caller from;
    std::unique_ptr<daemon::daemon> router;
    std::uint16_t port = 0;
};

} // namespace medlarstall::tests

#endif
