#ifndef MEDLARSTALL_GATEWAY_ANSWER_END_CHECKS_HPP
#define MEDLARSTALL_GATEWAY_ANSWER_END_CHECKS_HPP

#include <medlarstall/dispatch/answer_end_check.hpp>
#include <medlarstall/gateway/connection_pool.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::gateway {

/// Checks for all servers whether answers that ended with their connection are
/// complete. All ends at one server share one check, which opens at most one
/// connection at a time and leaves it to the pool. Owned by the gateway.
class answer_end_checks
{
public:
    using handler = std::function<void(dispatch::answer_end_decision const&)>;

    /// \param context event loop
    /// \param pool connections to the servers; outlives this object
    answer_end_checks(asio::io_context& context, connection_pool& pool);

    /// Called often while the event loop runs, so that its pauses are noticed.
    /// \param now current time
    void note_running(time_point now);

    /// Checks the end of an answer. Its connection must be closed already.
    /// \param server id of the server, as the pool knows it
    /// \param ended the connection that carried the answer
    /// \param decided called once with the decision, unless this object is
    ///     destroyed before
    void check(std::string const& server,
               http::upstream_connection const& ended, handler decided);

    /// Decides all ends as incomplete, for example after the instance was
    /// suspended, since connections that seem open may have been closed.
    void give_up();

private:
    using server_key = std::pair<std::string, asio::ip::tcp::endpoint>;

    struct server_check
    {
        dispatch::answer_end_check ends;
        std::map<std::uint64_t, handler> handlers;
        /// The connection that was opened for this check, if any.
        connection_pool::connection opened;
    };

    void schedule();
    void update_all();
    void update(server_key const& key);
    void note_close(server_check& check) const;
    void open(server_key const& key, server_check& check);
    void on_opened(server_key const& key,
                   http::upstream_connection const* opened, bool established);
    void remove_if_done(server_key const& key);

    connection_pool& pool_;
    asio::steady_timer timer_;
    std::map<server_key, server_check> checks_;
    bool scheduled_ = false;
    time_point running_at_;                ///< When the event loop last ran.
    std::optional<time_point> stalled_at_; ///< End of its last long pause.
};

} // namespace medlarstall::gateway

#endif
