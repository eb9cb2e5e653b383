#ifndef MEDLARSTALL_CLI_DAEMON_SESSION_HPP
#define MEDLARSTALL_CLI_DAEMON_SESSION_HPP

#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/support/result.hpp>

#include <asio/io_context.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace medlarstall::cli {

/// Addresses of the daemons and the keys to send.
struct session_settings
{
    /// IP:PORT of each daemon.
    std::vector<std::string> servers{"127.0.0.1:8080"};
    std::string key;                           ///< Key of an organisation.
    std::string operator_key;                  ///< Key of an operator.
    std::chrono::milliseconds timeout{30'000}; ///< Of each call.
};

/// The key that a call sends. If that key is not configured, the other one is
/// sent.
enum class credential
{
    organisation_key,
    operator_key
};

/// The response of a daemon to a call.
struct daemon_reply
{
    int status = 0;      ///< HTTP status code.
    nlohmann::json body; ///< Null if the response body is not JSON.
    std::string text;    ///< Response body as received.

    [[nodiscard]] bool succeeded() const
    {
        constexpr int first_failure = 300;
        return status < first_failure;
    }

    /// Describes an error response.
    /// \return status code, error code and error message as human-readable text
    [[nodiscard]] std::string error_text() const;
};

/// Sends HTTP requests to daemons and blocks until the response has arrived. If
/// a daemon cannot be reached, the next one is tried.
class daemon_session
{
public:
    explicit daemon_session(session_settings settings);

    /// Sends a request to the first daemon that answers.
    /// \param method HTTP method
    /// \param path path of the request, with its query
    /// \param auth key to send
    /// \param body JSON body of the request; empty for none
    /// \return the first response, whatever its status; or an error that names
    ///     every daemon that was tried
    result<daemon_reply> call(std::string const& method,
                              std::string const& path, credential auth,
                              std::string const& body = {});

    /// Sends a request to one daemon. The other parameters are those of call().
    /// \param server IP:PORT of the daemon
    /// \return the response, whatever its status; or an error if there is none
    result<daemon_reply> call_server(std::string const& server,
                                     std::string const& method,
                                     std::string const& path, credential auth,
                                     std::string const& body = {});

    /// Blocks for some time.
    /// \param time how long to block
    void wait(std::chrono::milliseconds time);

    [[nodiscard]] session_settings const& settings() const { return settings_; }

private:
    [[nodiscard]] std::string const& key_of(credential auth) const;

    session_settings settings_;
    asio::io_context context_{1};
    backend::http_client http_;
};

} // namespace medlarstall::cli

#endif
