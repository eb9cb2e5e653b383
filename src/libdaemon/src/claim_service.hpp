#ifndef MEDLARSTALL_DAEMON_CLAIM_SERVICE_HPP
#define MEDLARSTALL_DAEMON_CLAIM_SERVICE_HPP

#include "platform_connection.hpp"

#include <medlarstall/claim/claim_engine.hpp>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace medlarstall::peer {
class peer_stream;
}

namespace medlarstall::daemon {

struct daemon_context;

/// Path of the peer streams that carry claim records to the preferred writer
/// of a claim stream.
inline constexpr std::string_view claim_path = "/claims";

/// Receivers of the result for a call that must be executed at most once.
/// Exactly one of the two is called, once, unless the call is cancelled before.
struct claim_handlers
{
    /// Called if this call won the claim and has to execute the attempt.
    std::function<void(uuid const& attempt)> on_claim_won;
    /// Called if the call is answered without being executed by it.
    std::function<void(claim::answer_action const&)> on_answer;
};

/// Connects the claim engine of a daemon to the platform's logs and to the
/// other daemons.
class claim_service
{
public:
    /// \param context state that all services of this daemon share
    /// \param platform holds the logs of the claim streams
    claim_service(daemon_context& context, platform_connection& platform);
    ~claim_service();
    claim_service(claim_service const&) = delete;
    claim_service& operator=(claim_service const&) = delete;

    /// Starts reading the claim streams.
    void start();

    /// Claims the right to execute a call.
    /// \param key value of the Idempotency-Key field
    /// \param digest digest of everything that the call asks for
    /// \param deadline latest time for an answer
    /// \param handlers receivers; never called before this returns
    /// \return identifier for cancel_call()
    claim::call_id submit_call(std::string key,
                               claim::call_digest const& digest,
                               time_point deadline, claim_handlers handlers);

    /// Drops a call whose caller disconnected before a handler was called.
    /// \param id what submit_call() returned
    void cancel_call(claim::call_id id);

    /// Must be called before an attempt is sent to the owner of a backend
    /// server.
    /// \return false if the attempt must not be sent
    [[nodiscard]] bool begin_dispatch(uuid const& attempt);

    /// Releases a claim whose attempt was not and will not be sent.
    void on_not_dispatched(uuid const& attempt);

    /// Releases a claim whose attempt, as the owner of the backend server
    /// confirmed, was not and will not be executed.
    void on_not_executed(uuid const& attempt);

    /// Records the outcome of an attempt.
    void on_finished(uuid const& attempt, claim::outcome outcome);

    /// Receives the claim records that another daemon forwards on a stream.
    void accept(std::shared_ptr<peer::peer_stream> const& stream);

    /// Sets the preferred writer of each claim stream. This is a hint: any
    /// daemon may append to any stream.
    /// \param daemon_ids the live daemons
    void set_preferred_writers(std::vector<std::string> const& daemon_ids);

    /// \return counts for the metrics
    [[nodiscard]] claim::claim_statistics statistics() const
    {
        return engine_.statistics();
    }

private:
    void perform_actions(claim::actions const& actions);
    void perform(claim::append_action const& action);
    void perform(claim::read_action const& action);
    void perform(claim::forward_action const& action);
    void perform(claim::dispatch_action const& action);
    void perform(claim::answer_action const& action);
    void on_page_read(std::size_t stream, platform::log_page const& page);
    void on_read_failed(std::size_t stream);
    void schedule_tick();

    daemon_context& context_;
    platform_connection& platform_;
    std::size_t stream_count_;
    std::string writer_id_;
    claim::claim_engine engine_;
    std::unordered_map<claim::call_id, claim_handlers> calls_;
    claim::call_id next_call_id_ = 1;
    asio::steady_timer tick_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
