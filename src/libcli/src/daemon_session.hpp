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

/// Where the daemons are and who asks.
struct session_settings
{
    std::vector<std::string> servers{"127.0.0.1:8080"}; ///< IP:PORT
    std::string key;          ///< An organisation's key.
    std::string operator_key; ///< An operator's key.
    std::chrono::milliseconds timeout{30'000};
};

/// Whose key a call carries.
enum class authority
{
    member,
    operating
};

/// A daemon's answer.
struct daemon_reply
{
    int status = 0;
    nlohmann::json body; ///< Null if the answer is no JSON.
    std::string text;

    [[nodiscard]] bool succeeded() const
    {
        constexpr int first_failure = 300;
        return status < first_failure;
    }

    /// \return the code and message of an error answer, for people
    [[nodiscard]] std::string problem() const;
};

/// Calls daemons one at a time and waits for the answer. A daemon that cannot
/// be reached is passed over for the next one.
class daemon_session
{
public:
    explicit daemon_session(session_settings settings);

    /// \param method HTTP method
    /// \param path path with its query
    /// \param who whose key to send
    /// \param body body, or empty
    /// \return the first answer, or an error that names each daemon tried
    result<daemon_reply> call(std::string const& method,
                              std::string const& path, authority who,
                              std::string const& body = {});

    /// \copydoc call
    /// \param server address of the only daemon to try
    result<daemon_reply> call_at(std::string const& server,
                                 std::string const& method,
                                 std::string const& path, authority who,
                                 std::string const& body = {});

    /// Waits without a call.
    /// \param time how long
    void pause(std::chrono::milliseconds time);

    [[nodiscard]] session_settings const& settings() const { return settings_; }

private:
    [[nodiscard]] std::string const& key_of(authority who) const;

    session_settings settings_;
    asio::io_context context_{1};
    backend::http_client http_;
};

} // namespace medlarstall::cli

#endif
