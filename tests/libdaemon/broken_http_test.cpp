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

/// A connection that sends any bytes and gathers what comes back.
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

    /// Tells the daemon that nothing more will come.
    void end_sending()
    {
        asio::error_code ignored;
        std::ignore =
            socket_.shutdown(asio::socket_base::shutdown_send, ignored);
    }

    [[nodiscard]] bool closed() const { return *closed_; }
    [[nodiscard]] std::string const& received() const { return *received_; }

    /// \return status of the first answer, or 0
    [[nodiscard]] int status() const
    {
        constexpr std::string_view protocol = "HTTP/1.1 ";
        int status = 0;
        if (received_->starts_with(protocol)) {
            auto const* const begin = received_->data() + protocol.size();
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

std::string chat_request()
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
           "Authorization: Bearer key\r\nContent-Length: " +
           std::to_string(chat_body.size()) + "\r\nConnection: close\r\n\r\n" +
           chat_body;
}

/// Changes some bytes of a text, cuts it or repeats a part of it.
std::string spoil(std::string text)
{
    auto const changes = *rc::gen::inRange(1, 6);
    for (int change = 0; change < changes && !text.empty(); ++change) {
        auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 40));
            break;
        case 2:
            text.insert(
                at, text.substr(*rc::gen::inRange<std::size_t>(0, text.size()),
                                *rc::gen::inRange<std::size_t>(1, 40)));
            break;
        default:
            text.insert(
                at, 1, *rc::gen::element('\r', '\n', '"', '{', ':', '\0', '9'));
        }
    }
    return text;
}

struct broken_http_fixture : standalone_fixture
{
    void serves_on()
    {
        auto const got = chat("a good one #tokens=2");
        run_until([&] { return got->ended(); });
        BOOST_TEST(got->whole());
        BOOST_TEST(got->text() ==
                   standins::expected_answer("a good one #tokens=2"));
    }
};

/// Bounds that a test reaches quickly.
daemon::daemon_settings tight(daemon::daemon_settings settings)
{
    settings.front.request_read_timeout = 100ms;
    settings.front.max_field_bytes = 512;
    settings.front.max_fields = 16;
    return settings;
}

struct tight_fixture : broken_http_fixture
{
    tight_fixture()
    {
        router = std::make_unique<daemon::daemon>(io, tight(settings()));
        auto const started = router->start();
        BOOST_REQUIRE(!failed(started));
        port = value_of(started).port;
    }

    void is_cut_off(std::string const& bytes)
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

// Whatever bytes come: the daemon stays up, answers in HTTP or closes, and
// nothing runs that it says was not run.
BOOST_FIXTURE_TEST_CASE(survives_spoilt_requests, broken_http_fixture)
{
    auto const spoilt = [&] {
        auto const before = engine.runs().size();
        raw_connection connection{io, port};
        connection.send(spoil(chat_request()));
        connection.end_sending();
        run_until(
            [&] { return connection.closed() || connection.status() >= 200; });
        auto const status = connection.status();
        RC_ASSERT(connection.received().empty() || status >= 100);
        if (connection.received().find("Medlarstall-Run: not-run") !=
            std::string::npos) {
            RC_ASSERT(engine.runs().size() == before);
        }
        RC_ASSERT(status < 500);
    };
    BOOST_TEST(rc::check("spoilt requests", spoilt));
    serves_on();
}

BOOST_FIXTURE_TEST_CASE(runs_nothing_of_half_a_request, broken_http_fixture)
{
    auto const whole = chat_request();
    for (std::size_t const left : {std::size_t{1}, chat_body.size() / 2,
                                   chat_body.size(), whole.size() - 20}) {
        raw_connection connection{io, port};
        connection.send(whole.substr(0, whole.size() - left));
        connection.end_sending();
        run_until([&] { return connection.closed(); });
        BOOST_TEST(connection.status() != 200);
    }
    BOOST_TEST(engine.runs().empty());
    serves_on();
}

BOOST_FIXTURE_TEST_CASE(cuts_off_slow_senders, tight_fixture)
{
    is_cut_off("");
    is_cut_off("POST /v1/chat/completions HTTP/1.1\r\nHost: ");
    is_cut_off("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
               "Authorization: Bearer key\r\nContent-Length: 100\r\n\r\n{");
    serves_on();
}

BOOST_FIXTURE_TEST_CASE(bounds_fields, tight_fixture)
{
    std::string const start = "GET /healthz HTTP/1.1\r\nHost: a\r\n";
    is_cut_off(start + "X-Long: " + std::string(2'000, 'x') + "\r\n\r\n");
    std::string many = start;
    for (int number = 0; number < 100; ++number) {
        many += "X-" + std::to_string(number) + ": y\r\n";
    }
    is_cut_off(many + "\r\n");
    is_cut_off("\x16\x03\x01 not HTTP at all\r\n\r\n");
    is_cut_off(start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    is_cut_off(start + "Transfer-Encoding: chunked\r\n"
                       "Content-Length: 3\r\n\r\nabc");
    serves_on();
}

BOOST_AUTO_TEST_SUITE_END()
