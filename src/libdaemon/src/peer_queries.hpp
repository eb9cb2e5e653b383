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

struct daemon_context;

/// Path of the peer streams that carry one question and its answer each.
inline constexpr std::string_view query_path = "/queries";

/// Sends questions to the other daemons and answers theirs.
class peer_queries
{
public:
    /// Returns the answer to a question.
    using query_handler = std::function<nlohmann::json(nlohmann::json const&)>;
    /// Receives the answers by id of the daemon. Daemons that did not answer in
    /// time are absent.
    using answers_callback =
        std::function<void(std::map<std::string, nlohmann::json>)>;

    /// \param context state that all services of this daemon share
    explicit peer_queries(daemon_context& context);
    ~peer_queries();
    peer_queries(peer_queries const&) = delete;
    peer_queries& operator=(peer_queries const&) = delete;

    /// Sets the handler for questions of a kind, from this daemon and others.
    /// \param kind kind of the questions
    /// \param handler replaces an earlier handler for the kind
    void set_handler(std::string kind, query_handler handler);

    /// Asks every live daemon, including this one.
    /// \param kind kind of the question
    /// \param question content of the question
    /// \param timeout longest time to wait for answers
    /// \param on_done called exactly once, never before this returns
    void ask_all(std::string const& kind, nlohmann::json const& question,
                 std::chrono::milliseconds timeout, answers_callback on_done);

    /// Answers the question that another daemon sends on a stream.
    void accept(std::shared_ptr<peer::peer_stream> const& stream);

private:
    struct pending_query;

    [[nodiscard]] nlohmann::json answer_of(std::string const& kind,
                                           nlohmann::json const& question);

    daemon_context& context_;
    std::map<std::string, query_handler> handlers_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
