#include "standalone_fixture.hpp"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <rapidcheck/boost_test.h>

#include <array>
#include <charconv>

using namespace medlarstall;
using namespace medlarstall::tests;
using namespace std::chrono_literals;

namespace {

/// A TCP connection that sends arbitrary bytes and collects the reply.
class raw_connection
{
public:
    raw_connection(asio::io_context& io, std::uint16_t port) : socket_{io}
    {
        socket_.connect({asio::ip::make_address("127.0.0.1"), port});
        read();
    }

    void send(std::string const& bytes)
    {
        asio::error_code ignored;
        asio::write(socket_, asio::buffer(bytes), ignored);
    }

    /// Shuts down the sending side, so that the daemon sees the end of input.
    void end_sending()
    {
        asio::error_code ignored;
        std::ignore =
            socket_.shutdown(asio::socket_base::shutdown_send, ignored);
    }

    [[nodiscard]] bool closed() const { return *closed_; }
    [[nodiscard]] std::string const& received() const { return *received_; }

    /// \return HTTP status of the first response, or 0 if there is none yet
    [[nodiscard]] int status() const
    {
        constexpr std::string_view protocol_prefix = "HTTP/1.1 ";
        int status = 0;
        if (received_->starts_with(protocol_prefix)) {
            auto const* const begin =
                received_->data() + protocol_prefix.size();
            std::from_chars(begin, received_->data() + received_->size(),
                            status);
        }
        return status;
    }

private:
    void read()
    {
        socket_.async_read_some(
            asio::buffer(*buffer_),
            [this, closed = closed_, received = received_,
             buffer = buffer_](asio::error_code failure, std::size_t size) {
                received->append(buffer->data(), size);
                *closed = bool{failure};
                if (!failure) {
                    read();
                }
            });
    }

    using buffer = std::array<char, 4'096>;

    asio::ip::tcp::socket socket_;
    std::shared_ptr<bool> closed_ = std::make_shared<bool>(false);
    std::shared_ptr<std::string> received_ = std::make_shared<std::string>();
    std::shared_ptr<buffer> buffer_ = std::make_shared<buffer>();
};

std::string const chat_body =
    R"({"model":"drafts","messages":[{"role":"user","content":"x #tokens=1"}]})";

std::string chat_request_bytes()
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
           "Authorization: Bearer key\r\nContent-Length: " +
           std::to_string(chat_body.size()) + "\r\nConnection: close\r\n\r\n" +
           chat_body;
}

/// Corrupts a text at 1 to 5 random places: replaces, removes, repeats or
/// inserts bytes.
std::string corrupt(std::string text)
{
    auto const changes = *rc::gen::inRange(1, 6);
    for (int change = 0; change < changes && !text.empty(); ++change) {
        auto const position = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[position] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(position, *rc::gen::inRange<std::size_t>(1, 40));
            break;
        case 2:
            text.insert(
                position,
                text.substr(*rc::gen::inRange<std::size_t>(0, text.size()),
                            *rc::gen::inRange<std::size_t>(1, 40)));
            break;
        default:
            text.insert(
                position, 1,
                *rc::gen::element('\r', '\n', '"', '{', ':', '\0', '9'));
        }
    }
    return text;
}

struct broken_http_fixture : standalone_fixture
{
    /// Checks that the daemon still answers a valid request completely.
    void check_still_serving()
    {
        auto const response = chat("a good one #tokens=2");
        run_until([&] { return response->ended(); });
        BOOST_TEST(response->whole());
        BOOST_TEST(response->text() ==
                   standins::expected_answer("a good one #tokens=2"));
    }
};

/// \return the settings with limits small enough to be reached quickly
daemon::daemon_settings with_tight_limits(daemon::daemon_settings settings)
{
    settings.http_server.request_read_timeout = 100ms;
    settings.http_server.max_field_bytes = 512;
    settings.http_server.max_fields = 16;
    return settings;
}

struct tight_limits_fixture : broken_http_fixture
{
    tight_limits_fixture()
    {
        router =
            std::make_unique<daemon::daemon>(io, with_tight_limits(settings()));
        auto const started = router->start();
        BOOST_REQUIRE(!failed(started));
        port = value_of(started).port;
    }

    /// Sends bytes and checks that the daemon closes the connection without
    /// status 200 and that nothing runs at the engine.
    void check_closed_without_running(std::string const& bytes)
    {
        raw_connection connection{io, port};
        connection.send(bytes);
        run_until([&] { return connection.closed(); });
        BOOST_TEST(connection.status() != 200);
        BOOST_TEST(engine.runs().empty());
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(broken_http_suite)

// Corrupt input must not crash the daemon or cause a 5xx status. The daemon
// answers in HTTP or closes the connection, and a request that it reports as
// not run must not have run.
BOOST_FIXTURE_TEST_CASE(survives_corrupt_requests, broken_http_fixture)
{
    auto const check_one_corrupt_request = [&] {
        auto const runs_before = engine.runs().size();
        raw_connection connection{io, port};
        connection.send(corrupt(chat_request_bytes()));
        connection.end_sending();
        run_until(
            [&] { return connection.closed() || connection.status() >= 200; });
        auto const status = connection.status();
        RC_ASSERT(connection.received().empty() || status >= 100);
        if (connection.received().find("Medlarstall-Run: not-run") !=
            std::string::npos) {
            RC_ASSERT(engine.runs().size() == runs_before);
        }
        RC_ASSERT(status < 500);
    };
    BOOST_TEST(rc::check("corrupt requests", check_one_corrupt_request));
    check_still_serving();
}

BOOST_FIXTURE_TEST_CASE(does_not_run_incomplete_requests, broken_http_fixture)
{
    auto const whole = chat_request_bytes();
    for (std::size_t const missing_bytes :
         {std::size_t{1}, chat_body.size() / 2, chat_body.size(),
          whole.size() - 20}) {
        raw_connection connection{io, port};
        connection.send(whole.substr(0, whole.size() - missing_bytes));
        connection.end_sending();
        run_until([&] { return connection.closed(); });
        BOOST_TEST(connection.status() != 200);
    }
    BOOST_TEST(engine.runs().empty());
    check_still_serving();
}

BOOST_FIXTURE_TEST_CASE(closes_connections_of_slow_senders,
                        tight_limits_fixture)
{
    check_closed_without_running("");
    check_closed_without_running(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: ");
    check_closed_without_running(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
        "Authorization: Bearer key\r\nContent-Length: 100\r\n\r\n{");
    check_still_serving();
}

BOOST_FIXTURE_TEST_CASE(limits_header_fields_and_refuses_malformed_ones,
                        tight_limits_fixture)
{
    std::string const start = "GET /healthz HTTP/1.1\r\nHost: a\r\n";
    check_closed_without_running(start + "X-Long: " + std::string(2'000, 'x') +
                                 "\r\n\r\n");
    std::string many = start;
    for (int number = 0; number < 100; ++number) {
        many += "X-" + std::to_string(number) + ": y\r\n";
    }
    check_closed_without_running(many + "\r\n");
    check_closed_without_running("\x16\x03\x01 not HTTP at all\r\n\r\n");
    check_closed_without_running(
        start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    check_closed_without_running(start + "Transfer-Encoding: chunked\r\n"
                                         "Content-Length: 3\r\n\r\nabc");
    check_still_serving();
}

BOOST_AUTO_TEST_SUITE_END()
