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

struct node;

/// Path of the streams that carry claim records to a preferred writer.
inline constexpr std::string_view claim_path = "/claims";

/// What a call that must run at most once is told. One of the two is called,
/// once.
struct claim_handlers
{
    std::function<void(uuid const& attempt)> on_run;
    std::function<void(claim::answer_action const&)> on_answer;
};

/// Joins the claim engine of a daemon to the platform's log and to the other
/// daemons.
class claim_service
{
public:
    /// \param shared parts of this daemon
    /// \param platform the platform's log
    claim_service(node& shared, platform_connection& platform);
    ~claim_service();
    claim_service(claim_service const&) = delete;
    claim_service& operator=(claim_service const&) = delete;

    /// Starts to read the claim streams.
    void start();

    /// Asks for a call to be run.
    /// \param key value of Idempotency-Key
    /// \param digest digest of all that the call asks for
    /// \param deadline latest time for an answer
    /// \param handlers receivers; called after this returned
    /// \return identifier for cancel()
    claim::call_id request(std::string key, claim::body_digest const& digest,
                           time_point deadline, claim_handlers handlers);

    /// Forgets a call whose caller left before it was run or answered.
    void cancel(claim::call_id id);

    /// Must be asked before an attempt is sent to an owner.
    /// \return false if the attempt may not be sent
    [[nodiscard]] bool dispatched(uuid const& attempt);

    /// Gives a claim back whose attempt never was and never will be run.
    void not_dispatched(uuid const& attempt);

    /// Gives a claim back whose owner promised that it never ran and never
    /// will.
    void withdrawn(uuid const& attempt);

    /// Records what came of an attempt.
    void finished(uuid const& attempt, claim::outcome result);

    /// Takes a stream with records from another daemon.
    void accept(std::shared_ptr<peer::peer_stream> const& stream);

    /// Sets which daemon writes each stream, as a hint.
    /// \param daemons ids of the live daemons
    void prefer_writers(std::vector<std::string> const& daemons);

    /// \return figures for metrics
    [[nodiscard]] claim::claim_figures figures() const
    {
        return engine_.figures();
    }

private:
    void apply(claim::actions const& due);
    void perform(claim::append_action const& action);
    void perform(claim::read_action const& action);
    void perform(claim::forward_action const& action);
    void perform(claim::dispatch_action const& action);
    void perform(claim::answer_action const& action);
    void take_page(std::size_t stream, platform::log_page const& page);
    void read_failed(std::size_t stream);
    void arm_timer();

    node& node_;
    platform_connection& platform_;
    std::size_t streams_;
    std::string writer_;
    claim::claim_engine engine_;
    std::unordered_map<claim::call_id, claim_handlers> calls_;
    claim::call_id next_call_ = 1;
    asio::steady_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
