#include <medlarstall/gateway/duty_service.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// Key of the record of the lease.
constexpr char const* lease_key = "lease";
/// Longest time limit of a call. The lease must be valid until it has passed.
constexpr milliseconds max_call_timeout{1000};
constexpr milliseconds min_backoff{200};
constexpr milliseconds max_backoff{2000};
/// A holder whose calls are not answered for this long hands the duties to a
/// daemon that may reach the platform. Longer waits would make reports late,
/// which are due 10 s after the end of their window.
constexpr milliseconds max_unanswered_time{4000};
constexpr std::size_t min_unanswered = 3;
/// Time for which it then does not take the lease.
constexpr milliseconds step_down_time{15000};
/// Daemons that pass on what they hear of the lease.
constexpr std::size_t telling_daemons = 3;
/// Ages of renewals that are passed on differ by less.
constexpr milliseconds renewal_accuracy{100};
/// A release is told with each update for this long.
constexpr milliseconds release_telling_time{2000};
/// Share of the allowed rate of calls that is used. The platform counts in its
/// own seconds, and the holder may have changed in one.
constexpr double used_rate_share = 0.5;

duty::append_status to_duty(append_status status)
{
    switch (status) {
    case append_status::accepted:
        return duty::append_status::accepted;
    case append_status::conflict:
        return duty::append_status::conflict;
    case append_status::refused:
        return duty::append_status::refused;
    case append_status::unknown:
        break;
    }
    return duty::append_status::unknown;
}

char const* name_of(append_status status)
{
    switch (status) {
    case append_status::accepted:
        return "write_accepted";
    case append_status::conflict:
        return "write_conflict";
    case append_status::refused:
        return "write_refused";
    case append_status::unknown:
        break;
    }
    return "write_unknown";
}

milliseconds call_timeout(duty_settings const& settings)
{
    return std::min(max_call_timeout, settings.lease / 3);
}

/// \return what a call is about, for log lines
std::string subject_of(duty::duty_call const& call)
{
    if (auto const* const report = std::get_if<duty::usage_report>(&call)) {
        return "window " + std::to_string(report->window);
    }
    auto const& order = std::get<duty::scale_order>(call);
    return order.service + " " + order.data_centre +
           (order.reclaimable ? " reclaimable " : " ") +
           std::to_string(order.count);
}

} // namespace

duty_service::duty_service(duty_context context, duty_settings const& settings,
                           std::string daemon, std::uint64_t incarnation)
    : context_{std::move(context)}, settings_{settings},
      daemon_{std::move(daemon)},
      times_{duty::lease_settings::of(settings.lease)},
      policy_{times_, daemon_, incarnation, context_.now()}
{}

void duty_service::add(duty_handle duty)
{
    duties_.push_back({std::move(duty), std::nullopt});
}

void duty_service::tick(std::size_t place, std::size_t live, std::size_t known)
{
    check_suspension();
    auto const now = context_.now();
    place_ = place;
    policy_.set_place(place, known + 1);
    consider_step_down(now, live);
    release_when_quiet(now);
    run_policy();
    make_calls();
}

void duty_service::check_suspension()
{
    if (watch_.check(context_.clocks())) {
        on_suspended();
    }
}

void duty_service::on_suspended()
{
    if (policy_.is_valid(context_.now())) {
        context_.metrics.count_lease_event("doubted");
        log_entry{context_.log, log_category::belief, "duties"}
            .with("change", "doubted")
            .with("reason", "suspended")
            .with("token", policy_.token());
    }
    policy_.on_suspended(context_.now());
}

void duty_service::on_notice(duty::lease_notice const& notice)
{
    policy_.on_notice(notice, context_.now());
}

std::optional<duty::lease_notice> duty_service::take_notice()
{
    auto const now = context_.now();
    auto known = policy_.notice(now);
    auto const tells =
        policy_.is_holder() || place_ < telling_daemons || read_to_tell_;
    if (!known || !tells) {
        return std::nullopt;
    }
    auto const is_same = told_ && told_->token == known->token &&
                         told_->released == known->released;
    if (!is_same) {
        told_first_at_ = now;
    }
    auto const renewal = now - known->age;
    auto const is_renewed = renewal > told_renewal_ + renewal_accuracy;
    // The next holder takes the lease at once after a release.
    auto const repeats =
        known->released && now - told_first_at_ < release_telling_time;
    if (is_same && !is_renewed && !repeats) {
        return std::nullopt;
    }
    told_ = known;
    told_renewal_ = renewal;
    read_to_tell_ = false;
    return known;
}

void duty_service::on_daemon_left(std::string const& name)
{
    policy_.on_daemon_left(name, context_.now());
}

bool duty_service::is_active() const
{
    return !stopping_ && !stepping_down_ && policy_.is_valid(context_.now());
}

duty_service::lease_status duty_service::status() const
{
    auto const now = context_.now();
    lease_status status;
    status.is_holder = policy_.is_holder();
    if (auto const known = policy_.notice(now)) {
        status.token = known->token;
        status.holder = known->holder;
        status.age = known->age;
    }
    if (auto const until = policy_.valid_until(); until && *until > now) {
        status.valid_for = *until - now;
    }
    return status;
}

void duty_service::stop()
{
    auto const now = context_.now();
    stopping_ = true;
    policy_.stop();
    return_unsent_calls(now);
    release_when_quiet(now);
    run_policy();
}

/// Hands the duties over if this daemon does not reach the platform.
void duty_service::consider_step_down(time_point now, std::size_t live)
{
    if (stepping_down_ || stopping_ || live == 0 || !unanswered_since_ ||
        unanswered_ < min_unanswered || !policy_.is_holder() ||
        now - *unanswered_since_ < max_unanswered_time) {
        return;
    }
    stepping_down_ = true;
    return_unsent_calls(now);
    log_entry{context_.log, log_category::belief, "duties"}
        .with("change", "stepping_down")
        .with("reason", "unanswered")
        .with("token", policy_.token())
        .with("calls", unanswered_)
        .with("for", now - *unanswered_since_);
}

/// The next holder may act at once. So the lease is released only when no call
/// of this daemon can be executed any more, as far as that is known.
void duty_service::release_when_quiet(time_point now)
{
    auto const may_be_executed =
        in_flight_ || (last_unanswered_sent_ &&
                       now < *last_unanswered_sent_ + settings_.lease);
    if (!may_be_executed && (stopping_ || stepping_down_)) {
        policy_.release(stepping_down_ ? now + step_down_time : now);
    }
}

void duty_service::run_policy()
{
    if (std::exchange(running_policy_, true)) {
        return; // A store that responds at once; the loop below goes on.
    }
    while (true) {
        auto const actions =
            policy_.update(context_.now(), has_content_to_store(),
                           [this] { return collect_states(); });
        if (actions.empty()) {
            break;
        }
        for (auto const& action : actions) {
            std::visit([this](auto const& item) { perform(item); }, action);
        }
    }
    running_policy_ = false;
    settle_conflicts(context_.now());
}

bool duty_service::has_content_to_store() const
{
    return std::any_of(
        duties_.begin(), duties_.end(), [](held_duty const& duty) {
            return duty.stored_revision != duty.functions.revision();
        });
}

duty::duty_states duty_service::collect_states()
{
    duty::duty_states states;
    built_revisions_.clear();
    for (auto const& duty : duties_) {
        states[duty.functions.name] = duty.functions.state();
        built_revisions_.push_back(duty.functions.revision());
    }
    return states;
}

void duty_service::perform(duty::read_topic const& /*action*/)
{
    context_.metrics.count_lease_event("read");
    context_.store.read_snapshot(
        record_topic::duties,
        [weak = weak_from_this()](read_result const& outcome) {
            if (auto const self = weak.lock()) {
                self->on_topic_read(outcome);
            }
        });
}

void duty_service::on_topic_read(read_result const& outcome)
{
    auto const now = context_.now();
    auto const* const page = std::get_if<record_page>(&outcome);
    if (page == nullptr) {
        policy_.on_read_failed(now);
        run_policy();
        return;
    }
    duty::lease_topic topic{std::nullopt, page->next_offset, page->era};
    for (auto const& item : page->records) {
        if (item.key != lease_key || !item.value) {
            continue;
        }
        auto record = duty::decode_lease_record(*item.value);
        if (failed(record)) {
            log_entry{context_.log, log_category::failure, "bad_lease"}
                .with("offset", item.offset)
                .with("reason", error_of(record).message);
        } else {
            topic.record = std::move(value_of(record));
        }
    }
    policy_.on_read(topic, now);
    read_to_tell_ = true;
    run_policy();
    context_.announce();
}

void duty_service::perform(duty::append_record const& action)
{
    if (action.is_renewal) {
        written_revisions_[action.record.write] = built_revisions_;
    }
    context_.store.append_at(
        record_topic::duties, record{lease_key, duty::encode(action.record), 0},
        action.at, [weak = weak_from_this()](append_outcome const& outcome) {
            if (auto const self = weak.lock()) {
                self->on_appended(outcome);
            }
        });
}

void duty_service::on_appended(append_outcome const& outcome)
{
    context_.metrics.count_lease_event(name_of(outcome.status));
    policy_.on_append(
        {to_duty(outcome.status), outcome.end.offset, outcome.end.era},
        context_.now());
    run_policy();
    if (outcome.status == append_status::accepted) {
        context_.announce();
    }
    make_calls();
}

void duty_service::perform(duty::became_holder const& action)
{
    context_.metrics.count_lease_event("taken");
    log_entry{context_.log, log_category::belief, "duties"}
        .with("change", "taken")
        .with("token", action.token)
        .with("previous", action.previous_holder)
        .with("released", action.was_released ? "yes" : "no")
        .with("unchanged", action.unchanged_for)
        .with("states_current", action.states_lost_until ? "no" : "yes")
        .with("states", action.states.size());
    unanswered_since_.reset();
    unanswered_ = 0;
    backoff_ = duration{0};
    for (auto& duty : duties_) {
        auto const stored = action.states.find(duty.functions.name);
        duty.stored_revision.reset();
        duty::stored_state state{{}, action.states_lost_until};
        if (stored != action.states.end()) {
            state.bytes = stored->second;
        }
        duty.functions.on_taken(state, context_.now());
    }
}

void duty_service::perform(duty::states_stored const& action)
{
    auto const written = written_revisions_.find(action.write);
    if (written != written_revisions_.end()) {
        for (std::size_t index = 0; index < duties_.size(); ++index) {
            auto& duty = duties_[index];
            duty.stored_revision = written->second[index];
            duty.functions.on_stored(written->second[index]);
        }
    }
    written_revisions_.erase(written_revisions_.begin(),
                             written_revisions_.upper_bound(action.write));
}

void duty_service::perform(duty::lost_lease const& action)
{
    context_.metrics.count_lease_event("lost");
    log_entry{context_.log, log_category::belief, "duties"}
        .with("change", "lost")
        .with("reason", name_of(action.reason))
        .with("token", action.token)
        .with("renewal_age", action.renewal_age);
    unsent_.clear();
    conflicts_.clear();
    written_revisions_.clear();
    stepping_down_ = false;
    unanswered_since_.reset();
    for (auto& duty : duties_) {
        duty.functions.on_lost();
    }
}

/// \return true if a call that begins now has ended before the lease does
bool duty_service::may_call(time_point now) const
{
    return is_active() && !in_flight_ && conflicts_.empty() &&
           now >= next_call_at_ &&
           policy_.is_valid(now + call_timeout(settings_));
}

void duty_service::make_calls()
{
    check_suspension(); // This may follow a suspension, before the next tick.
    auto const now = context_.now();
    if (!may_call(now)) {
        return;
    }
    queue_due_calls(now);
    if (!unsent_.empty()) {
        auto next = std::move(unsent_.front());
        unsent_.pop_front();
        send_call(std::move(next), now);
    }
}

void duty_service::queue_due_calls(time_point now)
{
    if (!unsent_.empty()) {
        return;
    }
    for (std::size_t index = 0; index < duties_.size(); ++index) {
        for (auto& call : duties_[index].functions.due_calls(now)) {
            unsent_.push_back({index, std::move(call), policy_.token(), now});
        }
    }
}

void duty_service::send_call(open_call call, time_point now)
{
    using seconds = std::chrono::duration<double>;
    auto const spacing =
        seconds{1 / (settings_.calls_per_second * used_rate_share)};
    next_call_at_ = now + std::chrono::duration_cast<duration>(spacing);
    call.sent_at = now;
    in_flight_ = call;
    context_.client(call.call, {daemon_, call.token}, call_timeout(settings_),
                    [weak = weak_from_this(), call](duty_response response) {
                        if (auto const self = weak.lock()) {
                            self->on_response(call, response);
                        }
                    });
}

void duty_service::on_response(open_call const& call, duty_response response)
{
    auto const now = context_.now();
    in_flight_.reset();
    switch (response) {
    case duty_response::accepted:
        backoff_ = duration{0};
        end_call(call, duty::call_outcome::accepted, now);
        break;
    case duty_response::conflict:
        on_conflict(call, now);
        break;
    case duty_response::rejected:
        end_call(call, duty::call_outcome::rejected, now);
        delay_calls(now);
        break;
    case duty_response::not_sent:
    case duty_response::unanswered:
        on_unanswered(call, response, now);
        break;
    }
    auto const is_answered = response != duty_response::unanswered &&
                             response != duty_response::not_sent;
    if (is_answered) {
        unanswered_since_.reset();
        unanswered_ = 0;
    }
    run_policy();
    make_calls();
}

/// No call is made until it is known whether there is a higher token.
void duty_service::on_conflict(open_call const& call, time_point now)
{
    if (call.token != policy_.token()) {
        end_call(call, duty::call_outcome::fenced, now);
    } else if (std::holds_alternative<duty::usage_report>(call.call)) {
        end_call(call, duty::call_outcome::fenced, now);
        policy_.on_fenced(now);
    } else {
        conflicts_.push_back(call);
        conflict_at_ = now;
        policy_.request_renewal();
    }
}

/// A holder that still renews its lease has the highest token. Then there was
/// another reason for the conflict.
void duty_service::settle_conflicts(time_point now)
{
    if (conflicts_.empty() || !policy_.renewed_since(conflict_at_)) {
        return;
    }
    for (auto const& call : std::exchange(conflicts_, {})) {
        end_call(call, duty::call_outcome::unavailable, now);
    }
}

void duty_service::on_unanswered(open_call const& call, duty_response response,
                                 time_point now)
{
    unanswered_since_ = unanswered_since_.value_or(call.sent_at);
    ++unanswered_;
    if (response == duty_response::not_sent) {
        end_call(call, duty::call_outcome::rejected, now);
    } else {
        last_unanswered_sent_ = call.sent_at;
        end_call(call, duty::call_outcome::unknown, now);
    }
    delay_calls(now);
}

/// Tells the duty of the end of a call, unless it has been lost meanwhile.
void duty_service::end_call(open_call const& call, duty::call_outcome outcome,
                            time_point now)
{
    auto const& duty = duties_[call.duty].functions;
    auto const until = policy_.valid_until();
    context_.metrics.count_duty_call(duty.name, name_of(outcome));
    log_entry{context_.log, log_category::state_change, "duty_call"}
        .with("duty", duty.name)
        .with("subject", subject_of(call.call))
        .with("token", call.token)
        .with("outcome", name_of(outcome))
        .with("took", now - call.sent_at)
        .with("lease_left", until ? *until - now : duration{0});
    if (call.token == policy_.token()) {
        duty.on_result(call.call, outcome, now);
    }
}

/// Lets the duties decide again what is due, as that may have changed by the
/// time at which calls are made again.
void duty_service::return_unsent_calls(time_point now)
{
    for (auto const& call : std::exchange(unsent_, {})) {
        duties_[call.duty].functions.on_result(
            call.call, duty::call_outcome::rejected, now);
    }
}

/// Makes no calls for a while, which grows with each failure.
void duty_service::delay_calls(time_point now)
{
    backoff_ = std::clamp<duration>(backoff_ * 2, min_backoff, max_backoff);
    next_call_at_ = std::max(next_call_at_, now + backoff_);
    return_unsent_calls(now);
}

} // namespace medlarstall::gateway
