#ifndef MEDLARSTALL_DAEMON_PEER_QUERIES_HPP
#define MEDLARSTALL_DAEMON_PEER_QUERIES_HPP

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace medlarstall::peer {
class peer_stream;
}

namespace medlarstall::daemon {

struct node;

/// Path of the streams that carry a question and its answer.
inline constexpr std::string_view query_path = "/queries";

/// Asks other daemons something and answers what they ask.
class peer_queries
{
public:
    /// Gives the answer to a question.
    using answerer = std::function<nlohmann::json(nlohmann::json const&)>;
    /// Receives the answers by daemon; a daemon that gave none is missing.
    using collector =
        std::function<void(std::map<std::string, nlohmann::json>)>;

    /// \param shared parts of this daemon
    explicit peer_queries(node& shared);
    ~peer_queries();
    peer_queries(peer_queries const&) = delete;
    peer_queries& operator=(peer_queries const&) = delete;

    /// Sets who answers the questions of a kind, from here and from others.
    void answer(std::string kind, answerer give);

    /// Asks every daemon in the list, this one included.
    /// \param kind kind of the question
    /// \param question its content
    /// \param timeout longest wait for answers
    /// \param on_done called once
    void ask_all(std::string const& kind, nlohmann::json const& question,
                 std::chrono::milliseconds timeout, collector on_done);

    /// Takes a stream with a question of another daemon.
    void accept(std::shared_ptr<peer::peer_stream> const& stream);

private:
    struct round;

    [[nodiscard]] nlohmann::json answer_to(std::string const& kind,
                                           nlohmann::json const& question);

    node& node_;
    std::map<std::string, answerer> answerers_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
