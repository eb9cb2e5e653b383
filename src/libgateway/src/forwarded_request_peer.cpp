// Requests that are passed on to another daemon, since this one has lost its
// paths to the backend servers.

#include <medlarstall/gateway/forwarded_request.hpp>

#include <medlarstall/dispatch/waiting_policy.hpp>

#include <algorithm>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int service_unavailable = 503;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;
/// Most daemons that a request is offered to, until one can be connected to.
constexpr std::size_t max_peers = 3;
constexpr double percent = 100.0;

} // namespace

/// Passes the request on to a daemon that reaches the backend servers, if this
/// one does not. That is done once: a request that a peer has passed on, or has
/// refused, is not passed on again.
/// \param no_server_left all backend servers have been tried
/// \return true if that was done
bool forwarded_request::pass_on(time_point now, bool no_server_left)
{
    if (request_.metadata.passed_on || caller_->response_started() ||
        attempts_.servers_reached > 0 || was_forwarded_ ||
        tried_peers_.size() >= max_peers) {
        return false;
    }
    auto const evidence = context_.paths.examine(service_, now);
    auto const* const reason = context_.paths.reason_to_forward(
        evidence, {attempts_.refused_connections, attempts_.failed_connections,
                   no_server_left});
    if (reason == nullptr) {
        return false;
    }
    auto const helper = context_.find_helper(service_, hash_, tried_peers_);
    if (!helper) {
        return false;
    }
    log_entry{context_.log, log_category::failure, "passed_on"}
        .with("id", request_.metadata.attempt_id)
        .with("service", service_)
        .with("peer", helper->daemon)
        .with("reason", reason)
        .with("failed_servers", evidence.failed_servers)
        .with("down_percent",
              static_cast<std::int64_t>(evidence.down_share * percent))
        .with("refused", attempts_.refused_connections)
        .with("contact_age", evidence.contact_age.value_or(duration{-1}))
        .with("heard_age", now - helper->last_heard)
        .with("waited", now - began_at_)
        .with("left", time_left(now));
    context_.metrics.count_state_change("passed_on");
    context_.metrics.count_state_change(reason);
    send_to_peer(*helper, now);
    return true;
}

void forwarded_request::send_to_peer(helper_daemon const& helper,
                                     time_point now)
{
    tried_peers_.push_back(helper.daemon);
    auto const pool_key = "peer " + helper.daemon;
    current_send_ = send_state{};
    current_send_->number = ++send_count_;
    current_send_->peer = helper.daemon;
    current_send_->placement.backend_server = pool_key;
    current_send_->reservation.sent_at = now;
    current_send_->last_progress_at = now;
    current_send_->connection = context_.pool.acquire(
        pool_key, helper.entry_address, !request_.route->may_run_again(), now);
    auto head = caller_->head();
    context_.protocol.prepare_pass_on(
        head,
        {context_.daemon_name, time_left(now), context_.incarnation,
         std::chrono::duration_cast<milliseconds>(patient_until() - now)});
    auto const bodiless = caller_->head().method == "HEAD";
    auto const connection = current_send_->connection;
    connection->start_call(
        http::serialize_request_head(head, caller_->body().size()),
        caller_->shared_body(), bodiless,
        make_call_events(current_send_->number));
}

/// \return true if the answer of a peer is its own and states that the request
///     has not run
bool forwarded_request::is_refusal_of_peer(http::response_head const& head,
                                           answer_metadata const& metadata)
{
    if (metadata.from_backend_server) {
        return false;
    }
    auto const is_caller_error =
        head.status >= first_client_error && head.status < first_server_error;
    return is_caller_error || head.status == service_unavailable;
}

/// A peer has not run the request. This daemon may itself if only some of its
/// connections have failed.
void forwarded_request::on_refused_by_peer()
{
    auto const now = monotonic_clock::now();
    was_forwarded_ = true;
    auto const wanted = current_send_->requested_pause;
    end_send(dispatch::send_outcome::rejected);
    log_entry{context_.log, log_category::failure, "peer_refused"}
        .with("id", request_.metadata.attempt_id)
        .with("peer", tried_peers_.back())
        .with("back", wanted.value_or(milliseconds{0}))
        .with("left", time_left(now));
    if (withhold_send(now)) {
        return;
    }
    if (context_.paths.examine(service_, now).lost) {
        refuse("not_run", wanted.value_or(dispatch::rejected_retry_after));
    } else {
        choose_server();
    }
}

/// The connection to a peer has failed.
void forwarded_request::on_peer_failed(http::call_failure failure)
{
    auto const not_sent = http::certainly_not_sent(failure);
    was_forwarded_ = !not_sent;
    end_send(not_sent ? dispatch::send_outcome::cancelled
                      : dispatch::send_outcome::failed);
    if (not_sent) {
        choose_server();
        return;
    }
    handle_send_failure(dispatch::send_failure::outcome_unknown,
                        name_of(failure));
}

} // namespace medlarstall::gateway
