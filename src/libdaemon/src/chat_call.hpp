#ifndef MEDLARSTALL_DAEMON_CHAT_CALL_HPP
#define MEDLARSTALL_DAEMON_CHAT_CALL_HPP

#include "call_routing.hpp"
#include "chat_request.hpp"
#include "chat_response_writer.hpp"
#include "order_link.hpp"

#include <medlarstall/backend/engine_stream.hpp>
#include <medlarstall/catalogue/entries.hpp>

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::entry {
class exchange;
}

namespace medlarstall::daemon {

struct daemon_context;

/// Answers one chat completion request at its entry daemon: sends attempts to
/// the owners of backend servers and relays the answer to the caller. Kept
/// alive by the handlers that it sets.
class chat_call : public std::enable_shared_from_this<chat_call>
{
public:
    /// \param shared state that all parts of this daemon share; must outlive
    ///     this object
    /// \param exchange HTTP exchange with the caller
    /// \param chat parsed body of the caller's request
    /// \param request the request as the scheduler sees it
    /// \param fingerprint hash of organisation and body
    chat_call(daemon_context& shared, std::shared_ptr<entry::exchange> exchange,
              chat_request chat, scheduling::request request,
              std::uint64_t fingerprint);
    ~chat_call();
    chat_call(chat_call const&) = delete;
    chat_call& operator=(chat_call const&) = delete;

    /// Starts the deadline timer and sends the first attempt.
    void start();

private:
    /// One attempt to run the request, sent as an order to an owner.
    struct call_attempt
    {
        std::string id;
        call_target target;
        std::unique_ptr<order_link> link;
        std::optional<work_dispatched> dispatched;
        time_point sent_at;
        /// Text of a repeated run, until it is as long as answer_text_.
        std::string rerun_text;
        std::uint64_t token_count = 0; ///< Received so far.
    };
    using attempt_pointer = std::shared_ptr<call_attempt>;

    void send_attempt();
    void send_attempt_to(call_target target, std::string id);
    void handle_event(attempt_pointer const& attempt, work_event event);
    void on_event(attempt_pointer const& attempt, work_dispatched const& event);
    void on_event(attempt_pointer const& attempt, work_tokens const& event);
    void on_event(attempt_pointer const& attempt, work_finished const& event);
    void on_event(attempt_pointer const& attempt, work_refused const& event);
    void on_event(attempt_pointer const& attempt, work_failed const& event);
    void on_event(attempt_pointer const& attempt,
                  work_response_head const& event);
    void on_event(attempt_pointer const& attempt,
                  work_response_data const& event);
    void on_link_lost(attempt_pointer const& attempt);
    void resume_directly(attempt_pointer const& attempt);
    void on_direct_stream_failed(attempt_pointer const& attempt,
                                 backend::engine_failure const& failure);
    void on_attempt_failed(attempt_pointer const& attempt,
                           std::string const& code, std::string const& message,
                           run_state ran);
    void apply_step(next_step step);
    void start_hedge_timer(attempt_pointer const& attempt);
    void send_hedge(attempt_pointer const& attempt);
    void cancel_other_attempts(attempt_pointer const& winner);
    bool remove_attempt(attempt_pointer const& attempt);
    void match_delivered_text(call_attempt& attempt, std::string_view text);
    void deliver_text(call_attempt const& attempt, std::string_view text);
    void start_response(call_attempt const& attempt);
    void record_first_token(call_attempt const& attempt);
    void answer_with_error(api_error problem);
    void finish(std::string const& outcome);
    void abort();
    void on_caller_left();
    void start_deadline_timer();
    void update_reading();

    daemon_context& node_;
    std::shared_ptr<entry::exchange> exchange_;
    chat_request chat_request_;
    call_routing routing_;
    std::string id_;
    chat_response_writer response_writer_;
    std::vector<attempt_pointer> attempts_;
    std::shared_ptr<backend::engine_stream> direct_stream_;
    asio::steady_timer retry_timer_;
    asio::steady_timer hedge_timer_;
    asio::steady_timer deadline_timer_;
    std::string answer_text_; ///< Delivered, or collected if not streamed.
    std::uint64_t answer_tokens_ = 0; ///< Largest count of any attempt.
    /// True after an attempt that had delivered text failed, until a repeated
    /// run has produced the same text.
    bool verifying_rerun_ = false;
    bool ended_ = false;
    bool reading_ = true; ///< False while the caller reads too slowly.
    time_point first_token_at_;
    time_point last_token_at_;
};

} // namespace medlarstall::daemon

#endif
