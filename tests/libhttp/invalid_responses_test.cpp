// Responses that a server may not send, as an upstream connection reads them.

#include <medlarstall/http/upstream_connection.hpp>

#include <asio/buffer.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <tuple>

using namespace medlarstall::http;
using namespace std::chrono_literals;

namespace {

/// What one call has shown.
struct call_result
{
    std::optional<int> status;
    std::string body;
    bool complete = false;
    std::optional<call_failure> failure;

    [[nodiscard]] bool ended() const { return complete || failure; }
};

/// Accepts one connection and sends bytes after the head of each request.
class scripted_server
{
public:
    explicit scripted_server(asio::io_context& context)
        : acceptor_{context, {asio::ip::make_address("127.0.0.1"), 0}},
          socket_{context}
    {
        acceptor_.async_accept(socket_, [this](std::error_code) { read(); });
    }

    [[nodiscard]] asio::ip::tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

    std::string answer;
    bool resets = false; ///< Closes with a reset after the answer.

    /// Reads all that has arrived.
    /// \return the bytes after the head of the first request
    std::string received()
    {
        std::string text{asio::buffers_begin(buffer_.data()),
                         asio::buffers_end(buffer_.data())};
        std::error_code failure;
        std::ignore = socket_.non_blocking(true, failure);
        std::string part(1U << 20U, ' ');
        while (!failure) {
            auto const count = socket_.read_some(asio::buffer(part), failure);
            text.append(part, 0, count);
        }
        return text;
    }

private:
    void read()
    {
        asio::async_read_until(socket_, buffer_, "\r\n\r\n",
                               [this](std::error_code failure, std::size_t) {
                                   if (!failure) {
                                       respond();
                                   }
                               });
    }

    void respond()
    {
        std::error_code ignored;
        asio::write(socket_, asio::buffer(answer), ignored);
        if (resets) {
            std::ignore =
                socket_.set_option(asio::socket_base::linger{true, 0}, ignored);
            std::ignore = socket_.close(ignored);
        }
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    asio::streambuf buffer_;
};

/// A connection to a scripted server.
struct connection_fixture
{
    asio::io_context context{1};
    scripted_server server{context};
    std::shared_ptr<upstream_connection> connection =
        std::make_shared<upstream_connection>(context, server.address());

    call_result call(std::string const& method = "GET",
                     std::string const& body = "")
    {
        call_result seen;
        connection->start_call(
            serialize_request({method, "/", {}}, body), method == "HEAD",
            {.is_response_to_call = [](auto const&) { return true; },
             .interim = {},
             .head = [&](response_head& head,
                         body_framing) { seen.status = head.status; },
             .body = [&](std::string const& bytes) { seen.body += bytes; },
             .complete = [&] { seen.complete = true; },
             .failed =
                 [&](call_failure failure) {
                     seen.failure = failure;
                 }});
        auto const end = std::chrono::steady_clock::now() + 5s;
        while (!seen.ended() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(10ms);
            context.restart();
        }
        connection->cancel();
        return seen;
    }
};

call_result result_of(std::string const& answer,
                      std::string const& method = "GET")
{
    connection_fixture world;
    world.server.answer = answer;
    return world.call(method);
}

constexpr std::size_t long_upload = 32U << 20U;

} // namespace

BOOST_AUTO_TEST_SUITE(invalid_responses_suite)

// Responses with these statuses and framings reached the caller.
BOOST_AUTO_TEST_CASE(an_invalid_response_is_complete)
{
    for (std::string const answer :
         {"HTTP/1.1 000 Zero\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 20 Short\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 999 High\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 101 Switching Protocols\r\n\r\n",
          "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: "
          "3\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nContent-Length: 2, 3\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
          "Content-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc",
          "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n0\r\n\r\n",
          "HTTP/1.1 204 No Content\r\n\r\nabc",
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\nabc",
          "HTTP/1.1 304 Not Modified\r\n\r\nabc",
          "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nabc"
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
          "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcdef"}) {
        auto const seen = result_of(answer);
        BOOST_TEST_CONTEXT(answer)
        {
            BOOST_TEST(!seen.complete);
            BOOST_TEST(seen.failure.has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_valid_response_fails)
{
    for (std::string const answer :
         {"HTTP/1.1 599 Last\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 204 No Content\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"}) {
        auto const seen = result_of(answer);
        BOOST_TEST_CONTEXT(answer)
        {
            BOOST_TEST(seen.complete);
        }
    }
    BOOST_TEST(result_of("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HEAD")
                   .complete);
}

// The bytes of the next request would be taken for the rest of the upload.
BOOST_AUTO_TEST_CASE(a_connection_with_an_unfinished_upload_is_reused)
{
    connection_fixture world;
    world.server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::string const body(long_upload, 'u');
    call_result seen;
    world.connection->start_call(
        serialize_request({"POST", "/", {}}, body), false,
        {.is_response_to_call = [](auto const&) { return true; },
         .interim = {},
         .head = [](response_head&, body_framing) {},
         .body = [](std::string const&) {},
         .complete = [&] { seen.complete = true; },
         .failed =
             [&](call_failure failure) {
                 seen.failure = failure;
             }});
    while (!seen.ended()) {
        world.context.run_one();
    }
    BOOST_TEST(seen.complete);
    BOOST_TEST(!world.connection->reusable());
    BOOST_TEST(world.server.received().size() < long_upload);
}

// A body without a length ends with the connection, and so does a process that
// has crashed while it was being sent a request.
BOOST_AUTO_TEST_CASE(a_response_that_is_reset_within_an_upload_looks_complete)
{
    connection_fixture world;
    world.server.answer = "HTTP/1.1 200 OK\r\n\r\npart";
    world.server.resets = true;
    auto const seen = world.call("POST", std::string(long_upload, 'u'));
    BOOST_TEST(!seen.complete);
    BOOST_TEST(seen.failure.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
