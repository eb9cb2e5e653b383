// Which process of a backend server has begun a stream, and which goes on with
// it. Both must run the same release.

#include <medlarstall/gateway/forwarded_request.hpp>

#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// Other connections may identify the process of a stream without a query
/// within this time after its first event. Also the time between two tries.
constexpr milliseconds identification_delay{150};
constexpr int max_identification_tries = 10;
/// Longest wait until the process of a connection is identified. Longer than
/// the interval at which backend servers write their entries.
constexpr milliseconds max_identification_wait{1500};
/// Time between two looks at what has become known.
constexpr milliseconds check_interval{80};
/// Bytes held back above which reading from the backend server is paused.
constexpr std::size_t max_held_bytes = 131072;

} // namespace

/// Notes which process is at the other end of the connection if that is known,
/// and that it was running when the bytes before these had been read.
void forwarded_request::note_process()
{
    auto& send = *current_send_;
    auto const& connection = *send.connection;
    if (!send.peer.empty() || !connection.opened_at()) {
        return;
    }
    auto const& server = send.placement.backend_server;
    if (!send.process) {
        send.process = context_.processes.find(
            server, {*connection.opened_at(), connection.previous_activity()});
    }
    if (send.process) {
        context_.processes.on_received(server, *send.process,
                                       connection.previous_activity());
    }
}

/// Remembers which release has begun the stream, once that is known. Called
/// with each event.
void forwarded_request::note_origin()
{
    if (origin_ || !current_send_->peer.empty()) {
        return;
    }
    auto const is_first = !first_send_;
    auto const& connection = *current_send_->connection;
    first_send_ = {current_send_->placement.backend_server,
                   {*connection.opened_at(), connection.previous_activity()}};
    note_process();
    identify_origin();
    if (is_first && !origin_ && request_.route->resumable) {
        identify_origin_later(max_identification_tries);
    }
}

/// Asks the backend server if nothing else has identified its process by then.
/// A query that began before the connection was opened does not help.
void forwarded_request::identify_origin_later(int tries)
{
    wait_timer_.expires_after(identification_delay);
    wait_timer_.async_wait(
        [weak = weak_from_this(), tries](std::error_code cancelled) {
            auto const self = weak.lock();
            if (!self || cancelled || self->finished_ || self->origin_ ||
                self->held_failure_) {
                return;
            }
            self->identify_origin();
            if (!self->origin_ && tries > 0) {
                self->context_.identify_process(self->first_send_->server);
                self->identify_origin_later(tries - 1);
            }
        });
}

void forwarded_request::identify_origin()
{
    if (origin_ || !first_send_) {
        return;
    }
    auto const process =
        context_.processes.find(first_send_->server, first_send_->span);
    if (process) {
        set_origin({service_, process->software_version});
    }
}

void forwarded_request::set_origin(dispatch::software_release release)
{
    origin_ = std::move(release);
    if (stream_id_ && request_.route->resumable) {
        context_.origins.on_begun(*stream_id_, *origin_,
                                  monotonic_clock::now());
    }
}

/// Decides on a stream whose process has ended before it was identified. The
/// release is certain enough if the service has had no other one, and nothing
/// shows that the server started again before it began the stream.
void forwarded_request::presume_origin(stream_break const& at)
{
    auto const& server = first_send_->server;
    if (origin_) {
        return;
    }
    auto const has_ended = context_.process_has_ended(server, at);
    auto const presumed = context_.processes.presume(server, first_send_->span);
    auto const list_current = context_.list_is_current(at.list_read_before);
    auto const only = context_.origins.find(
        std::nullopt, service_, list_current, monotonic_clock::now());
    if (has_ended && presumed.process &&
        only.release.version == presumed.process->software_version) {
        set_origin(only.release);
    }
    log_entry{context_.log, log_category::failure, "process_presumed"}
        .with("id", request_.metadata.attempt_id)
        .with("server", server)
        .with("version", origin_ ? origin_->version : "")
        .with("ended", has_ended ? "yes" : "no")
        .with("unseen", presumed.unseen)
        .with("doubtful", presumed.doubtful ? "yes" : "no")
        .with("only_version", only.release.version)
        .with("list_current", list_current ? "yes" : "no");
}

std::optional<std::uint64_t> forwarded_request::unidentified_stream() const
{
    auto const is_open =
        first_send_ && !origin_ && !finished_ && request_.route->resumable;
    return is_open ? stream_id_ : std::nullopt;
}

/// \return true if the stream was begun by another send, and it is not known
///     that the process of this one runs the same release
bool forwarded_request::must_verify_release()
{
    if (!origin_ || !current_send_->peer.empty()) {
        return false;
    }
    note_process();
    return !current_send_->process ||
           current_send_->process->software_version != origin_->version;
}

/// Holds bytes back until it is known which release has sent them.
void forwarded_request::hold_events(std::string const& bytes)
{
    auto& send = *current_send_;
    auto const now = monotonic_clock::now();
    send.last_progress_at = now;
    send.held_since = send.held_since.value_or(now);
    send.body += bytes;
    count_held_answer();
    if (send.body.size() > max_held_bytes) {
        send.connection->pause();
    }
    verify_release();
}

void forwarded_request::verify_release()
{
    auto& send = *current_send_;
    if (!must_verify_release()) {
        relay_held_events();
    } else if (send.process) {
        fail_unverified("other_release");
    } else if (monotonic_clock::now() - *send.held_since >
               max_identification_wait) {
        fail_unverified("release_unknown");
    } else {
        context_.identify_process(send.placement.backend_server);
        check_again_later();
    }
}

void forwarded_request::relay_held_events()
{
    wait_timer_.cancel();
    auto& send = *current_send_;
    send.held_since.reset();
    send.connection->resume();
    auto const number = send.number;
    auto const complete = send.complete_while_held;
    relay_events(std::exchange(send.body, {}));
    if (complete && current_send_ && current_send_->number == number) {
        on_complete();
    }
}

/// Ends a send whose events must not be joined to those that the caller has.
void forwarded_request::fail_unverified(char const* reason)
{
    wait_timer_.cancel();
    auto const& send = *current_send_;
    context_.metrics.count_state_change(reason);
    log_entry{context_.log, log_category::failure, "events_withheld"}
        .with("id", request_.metadata.attempt_id)
        .with("server", send.placement.backend_server)
        .with("reason", reason)
        .with("begun_by", origin_->version)
        .with("runs", send.process ? send.process->software_version : "")
        .with("entry_version", send.placement.software_version)
        .with("entry_age", send.placement.entry_age)
        .with("bytes", send.body.size())
        .with("held", monotonic_clock::now() - *send.held_since);
    end_send(dispatch::send_outcome::cancelled);
    handle_send_failure(dispatch::send_failure::outcome_unknown, reason);
}

/// A stream whose origin is not known cannot go on. If the backend server has
/// only reset its connections, it can still say which of its processes runs.
/// \return true if what follows the failed send is decided later
bool forwarded_request::awaits_process(dispatch::send_failure failure,
                                       char const* reason)
{
    identify_origin();
    if (origin_ || !first_send_ || has_awaited_process_ ||
        !request_.route->resumable || !last_event_id_) {
        return false;
    }
    has_awaited_process_ = true;
    held_failure_ = {
        failure,
        reason,
        {monotonic_clock::now(), context_.list_reads.last_begun()}};
    context_.identify_process(first_send_->server);
    context_.read_list();
    check_again_later();
    return true;
}

void forwarded_request::check_held_failure()
{
    identify_origin();
    auto const waited = monotonic_clock::now() - held_failure_->at.time;
    auto const is_open =
        !origin_ && waited <= max_identification_wait &&
        context_.process_may_be_found(first_send_->server, held_failure_->at);
    if (is_open) {
        context_.identify_process(first_send_->server);
        // The first try may have come too soon after another read.
        if (!context_.list_reads.succeeded_after(
                held_failure_->at.list_read_before)) {
            context_.read_list();
        }
        check_again_later();
        return;
    }
    wait_timer_.cancel();
    log_entry{context_.log, log_category::failure, "process_awaited"}
        .with("id", request_.metadata.attempt_id)
        .with("server", first_send_->server)
        .with("version", origin_ ? origin_->version : "")
        .with("waited", waited);
    auto const held = *std::exchange(held_failure_, std::nullopt);
    presume_origin(held.at);
    handle_send_failure(held.failure, held.reason);
}

/// Something may become known without a call of resume().
void forwarded_request::check_again_later()
{
    wait_timer_.expires_after(check_interval);
    wait_timer_.async_wait(
        [weak = weak_from_this()](std::error_code cancelled) {
            auto const self = weak.lock();
            if (self && !cancelled) {
                self->resume();
            }
        });
}

/// Chooses a backend server. A stream goes on at one whose process has not been
/// replaced since it was last seen, if there is any.
std::optional<dispatch::placement>
forwarded_request::choose_placement(time_point now)
{
    auto const wanted = make_placement_request();
    if (wanted.software_version) {
        auto cautious = wanted;
        auto const doubtful = context_.processes.possibly_restarted();
        cautious.excluded_servers.insert(cautious.excluded_servers.end(),
                                         doubtful.begin(), doubtful.end());
        auto chosen = context_.dispatcher.choose(cautious, now);
        if (chosen && chosen->state != dispatch::health::down) {
            return chosen;
        }
    }
    return context_.dispatcher.choose(wanted, now);
}

} // namespace medlarstall::gateway
