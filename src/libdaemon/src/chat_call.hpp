#ifndef MEDLARSTALL_DAEMON_CHAT_CALL_HPP
#define MEDLARSTALL_DAEMON_CHAT_CALL_HPP

#include "call_routing.hpp"
#include "chat_request.hpp"
#include "chat_writer.hpp"
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

struct node;

/// One chat completion at its entry daemon, from the caller's request to the
/// last byte of the answer. Kept alive by the handlers that it sets.
class chat_call : public std::enable_shared_from_this<chat_call>
{
public:
    /// \param shared parts of this daemon
    /// \param caller the caller's request and the answer to it
    /// \param asked what the caller asked for
    /// \param request the request as the scheduler sees it
    /// \param fingerprint of organisation and body
    chat_call(node& shared, std::shared_ptr<entry::exchange> caller,
              chat_request asked, scheduling::request request,
              std::uint64_t fingerprint);
    ~chat_call();
    chat_call(chat_call const&) = delete;
    chat_call& operator=(chat_call const&) = delete;

    /// Sends the first attempt.
    void start();

private:
    /// One order that was sent for the call.
    struct attempt
    {
        std::string id;
        call_target target;
        std::unique_ptr<order_link> link;
        std::optional<work_dispatched> dispatched;
        time_point sent_at;
        std::string text; ///< Of a repeated run, until it meets text_.
        std::uint64_t tokens = 0;
    };
    using attempt_pointer = std::shared_ptr<attempt>;

    void send();
    void send_to(call_target target, std::string id);
    void handle(attempt_pointer const& from, work_event event);
    void on(attempt_pointer const& from, work_dispatched const& event);
    void on(attempt_pointer const& from, work_tokens const& event);
    void on(attempt_pointer const& from, work_finished const& event);
    void on(attempt_pointer const& from, work_refused const& event);
    void on(attempt_pointer const& from, work_failed const& event);
    void on(attempt_pointer const& from, work_head const& event);
    void on(attempt_pointer const& from, work_data const& event);
    void link_lost(attempt_pointer const& from);
    void take_up_directly(attempt_pointer const& from);
    void direct_failed(attempt_pointer const& from,
                       backend::engine_failure const& failure);
    void failed(attempt_pointer const& from, std::string const& code,
                std::string const& message, run_state ran);
    void follow(next_step step);
    void arm_hedge(attempt_pointer const& from);
    void hedge(attempt_pointer const& from);
    void keep_only(attempt_pointer const& winner);
    bool drop(attempt_pointer const& from);
    void meet_former_text(attempt& from, std::string_view text);
    void deliver(attempt const& from, std::string_view text);
    void start_answer(attempt const& from);
    void note_first_token(attempt const& from);
    void give_up(api_error problem);
    void end(std::string const& outcome);
    void abandon();
    void caller_left();
    void guard_deadline();
    void check_caller();

    node& node_;
    std::shared_ptr<entry::exchange> caller_;
    chat_request asked_;
    call_routing routing_;
    std::string id_;
    chat_writer writer_;
    std::vector<attempt_pointer> attempts_;
    std::shared_ptr<backend::engine_stream> direct_;
    asio::steady_timer retry_timer_;
    asio::steady_timer hedge_timer_;
    asio::steady_timer deadline_timer_;
    std::string text_; ///< Delivered, or collected for a whole answer.
    std::uint64_t tokens_ = 0;
    bool repeated_ = false; ///< An attempt after the first token failed.
    bool ended_ = false;
    bool reading_ = true;
    time_point first_token_at_;
    time_point last_token_at_;
};

} // namespace medlarstall::daemon

#endif
