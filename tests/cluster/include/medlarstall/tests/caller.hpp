#ifndef MEDLARSTALL_TESTS_CALLER_HPP
#define MEDLARSTALL_TESTS_CALLER_HPP

#include <medlarstall/backend/http_client.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace medlarstall::tests {

/// A caller's streamed or whole answer, as far as it came.
struct answer
{
    int status = 0;
    backend::header_fields fields;
    std::string body;
    bool complete = false;
    bool failed = false;
    backend::transfer_id transfer = 0;

    [[nodiscard]] bool ended() const { return complete || failed; }

    /// \return the body as JSON
    [[nodiscard]] nlohmann::json json() const;

    /// \return value of a header field, or empty
    [[nodiscard]] std::string field(std::string_view name) const;

    /// \return joined content of a streamed chat completion
    [[nodiscard]] std::string text() const;

    /// \return true if a streamed chat completion has its end mark
    [[nodiscard]] bool whole() const;
};

using answer_pointer = std::shared_ptr<answer>;

/// Sends requests to daemons and services.
class caller
{
public:
    /// \param io context that runs the requests
    explicit caller(asio::io_context& io);

    /// \param request what to send
    /// \return the answer, filled as it comes
    answer_pointer send(backend::outgoing_request request);

    /// Sends a chat completion.
    /// \param port port of a daemon
    /// \param key key of the organisation
    /// \param prompt text of the only message
    /// \param service_class class; empty for the first of the organisation
    answer_pointer chat(std::uint16_t port, std::string const& key,
                        std::string const& prompt,
                        std::string const& service_class = {},
                        bool stream = true);

    /// Sends a call of a plain service.
    /// \param path path below /services/
    /// \param idempotency_key value of Idempotency-Key; empty for none
    answer_pointer call(std::uint16_t port, std::string const& key,
                        std::string const& path, std::string body,
                        std::string const& idempotency_key = {});

    /// Sends GET with a key.
    answer_pointer get(std::uint16_t port, std::string const& key,
                       std::string const& path);

    /// Sends POST with a key and a JSON body.
    answer_pointer post(std::uint16_t port, std::string const& key,
                        std::string const& path, nlohmann::json const& body);

    /// Leaves before the answer ended.
    void leave(answer const& from) { client_.cancel(from.transfer); }

    /// Stops or goes on reading an answer.
    void set_reading(answer const& from, bool reading);

private:
    backend::http_client client_;
};

} // namespace medlarstall::tests

#endif
