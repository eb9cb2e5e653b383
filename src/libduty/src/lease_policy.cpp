#include <medlarstall/duty/lease_policy.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::duty {

namespace {

using std::chrono::milliseconds;

/// What was heard longer ago is neither believed nor passed on. A wrong notice
/// thus disappears, as its age grows with each daemon that passes it on.
constexpr std::chrono::minutes max_notice_age{1};
/// Tokens that peers tell may be no higher, so that tokens never run out. Each
/// JSON number up to here is exact.
constexpr fencing_token max_told_token = fencing_token{1} << 53U;
/// Tokens of each era of the store. A new holder uses up one of them, or as
/// many as the greatest step.
constexpr fencing_token tokens_per_era = fencing_token{1} << 32U;
constexpr std::uint64_t first_era = 1;
/// Later eras are implausible, and share the tokens of the last one.
constexpr std::uint64_t max_restores = max_told_token / tokens_per_era - 1;
constexpr fencing_token max_token_step = 1'000'000;
/// Writes without a response that are remembered. Older ones are not
/// recognised, which costs a new token if one of them is executed.
constexpr std::size_t max_open_writes = 64;

/// \return highest token that holders of earlier eras may have used
fencing_token tokens_before(std::uint64_t era)
{
    auto const restores = std::max(era, first_era) - first_era;
    return tokens_per_era * std::min(restores, max_restores);
}

} // namespace

char const* name_of(loss_reason reason)
{
    switch (reason) {
    case loss_reason::superseded:
        return "superseded";
    case loss_reason::restored:
        return "restored";
    case loss_reason::fenced:
        return "fenced";
    case loss_reason::released:
        return "released";
    }
    return "";
}

lease_policy::lease_policy(lease_settings settings, std::string name,
                           std::uint64_t incarnation, time_point now)
    : settings_{settings}, name_{std::move(name)}, incarnation_{incarnation},
      started_at_{now},
      // The first read follows when peers have had time to be heard.
      heard_at_{now - settings.silence + settings.read_interval}
{}

void lease_policy::on_read(lease_topic const& topic, time_point now)
{
    call_ = store_call::none;
    if (topic_ && topic.era < topic_->era) {
        retry_later(now); // Sent before the store was restored.
        return;
    }
    must_read_ = false;
    failures_ = 0;
    auto const is_restored = topic_ && topic.era != topic_->era;
    if (!recognise(topic, now) && holding_) {
        lose(is_restored ? loss_reason::restored : loss_reason::superseded,
             now);
    }
    std::erase_if(open_writes_, [&topic](open_write const& write) {
        return write.at != topic.end; // Its condition can hold no more.
    });
    note_topic(topic, now);
}

void lease_policy::on_read_failed(time_point now)
{
    call_ = store_call::none;
    retry_later(now);
}

void lease_policy::on_append(append_response const& response, time_point now)
{
    call_ = store_call::none;
    switch (response.status) {
    case append_status::accepted:
        on_accepted(response, now);
        break;
    case append_status::conflict:
        open_writes_.pop_back();
        must_read_ = holding_ || !open_writes_.empty();
        topic_has_grown_ = true;
        heard_at_ = now; // Another daemon has written.
        break;
    case append_status::refused:
        open_writes_.pop_back();
        retry_later(now);
        break;
    case append_status::unknown:
        must_read_ = true;
        break;
    }
}

void lease_policy::on_accepted(append_response const& response, time_point now)
{
    auto const done = open_writes_.back();
    if (response.era != done.record.era || response.end != done.at + 1) {
        must_read_ = true;
        return;
    }
    failures_ = 0;
    open_writes_.clear(); // The condition of the others can hold no more.
    if (done.record.token > fenced_token_) {
        confirm(done, now);
    }
    note_topic({done.record, response.end, response.era}, now);
}

/// Finds out if the newest record is one that this daemon has written as the
/// present holder, and what that confirms.
bool lease_policy::recognise(lease_topic const& topic, time_point now)
{
    auto const& record = topic.record;
    if (!record || record->holder != name_ ||
        record->incarnation != incarnation_ || record->era != topic.era ||
        record->token <= fenced_token_) {
        return false;
    }
    if (holding_ && holding_->token == record->token &&
        holding_->write == record->write) {
        return true;
    }
    auto const open =
        std::find_if(open_writes_.begin(), open_writes_.end(),
                     [&record](open_write const& write) {
                         return write.record.write == record->write &&
                                write.record.token == record->token;
                     });
    if (open == open_writes_.end()) {
        return false;
    }
    confirm(open_write{*open}, now);
    return true;
}

/// A write of this daemon is known to have been executed.
void lease_policy::confirm(open_write const& done, time_point now)
{
    if (!holding_) {
        become_holder(done, now);
    }
    holding_->write = done.record.write;
    holding_->renewed_at = std::max(holding_->renewed_at, done.began);
    if (done.began >= trusted_from_) {
        holding_->valid_until =
            std::max(holding_->valid_until,
                     done.began + settings_.lease - settings_.margin);
    }
    findings_.emplace_back(states_stored{done.record.write});
    if (done.record.released) {
        lose(loss_reason::released, now);
    }
}

void lease_policy::become_holder(open_write const& done, time_point now)
{
    holding taken;
    taken.token = done.record.token;
    taken.taken_at = now;
    taken.previous_holder = done.record.previous_holder;
    holding_ = std::move(taken);
    findings_.emplace_back(became_holder{
        done.record.token, done.record.states, done.record.previous_holder,
        done.was_released, done.unchanged_for, done.states_lost_until});
}

void lease_policy::lose(loss_reason reason, time_point now)
{
    auto const lost = *std::exchange(holding_, std::nullopt);
    auto const active_until = std::min(now, lost.valid_until);
    active_until_ =
        std::max(active_until_.value_or(active_until), active_until);
    renewal_requested_ = false;
    release_requested_ = stopping_;
    heard_ = {lost.token, name_, milliseconds{0},
              reason == loss_reason::released};
    released_at_ = now;
    findings_.emplace_back(
        lost_lease{lost.token, reason, now - lost.renewed_at});
}

void lease_policy::note_topic(lease_topic const& topic, time_point now)
{
    on_era(topic.era);
    auto const is_new_era = !topic_ || topic_->era != topic.era;
    auto const changed = is_new_era || topic_->end != topic.end;
    if (is_new_era) {
        era_seen_at_ = now;
    }
    topic_ = topic;
    topic_has_grown_ = false;
    if (changed) {
        unchanged_since_ = now;
        heard_at_ = now;
    }
    if (topic.record) {
        note_record(*topic.record, now);
    }
}

/// The store is believed also if peers have told of a higher token.
void lease_policy::note_record(lease_record const& record, time_point now)
{
    highest_token_ = std::max(highest_token_, record.token);
    auto const was_released =
        heard_ && heard_->released && heard_->token == record.token;
    if (record.released && !was_released) {
        released_at_ = now;
    }
    heard_ = {record.token, record.holder, milliseconds{0}, record.released};
}

void lease_policy::on_notice(lease_notice const& notice, time_point now)
{
    if (notice.token > max_told_token || notice.age > max_notice_age ||
        notice.age < milliseconds{0} || notice.holder.empty()) {
        return;
    }
    highest_token_ = std::max(highest_token_, notice.token);
    if (holding_) {
        renewal_requested_ =
            renewal_requested_ || notice.token > holding_->token;
        return;
    }
    auto const is_older = heard_ && (notice.token < heard_->token ||
                                     (notice.token == heard_->token &&
                                      heard_->released && !notice.released));
    if (is_older) {
        return;
    }
    auto const was_released =
        heard_ && heard_->released && notice.token == heard_->token;
    if (notice.released && !was_released) {
        released_at_ = now;
    }
    heard_ = notice;
    if (!own_record_is_left()) {
        heard_at_ = std::max(heard_at_, now - notice.age);
    }
}

void lease_policy::on_daemon_left(std::string const& name, time_point now)
{
    if (heard_ && heard_->holder == name) {
        left_holder_ = name;
        left_at_ = now;
    }
}

void lease_policy::on_suspended(time_point now)
{
    trusted_from_ = now;
    if (holding_) {
        holding_->valid_until = std::min(holding_->valid_until, now);
        renewal_requested_ = true;
    }
}

void lease_policy::on_fenced(time_point now)
{
    if (!holding_) {
        return;
    }
    fenced_token_ = holding_->token;
    auto const soon = now - holding_->taken_at < settings_.lease;
    token_step_ = soon ? std::min(token_step_ * 2, max_token_step) : 1;
    lose(loss_reason::fenced, now);
}

void lease_policy::release(time_point not_before)
{
    not_before_ = std::max(not_before_, not_before);
    release_requested_ = holding_ || stopping_;
}

void lease_policy::set_place(std::size_t place, std::size_t daemons)
{
    place_ = place;
    daemons_ = daemons;
}

std::vector<lease_action>
lease_policy::update(time_point now, bool content_to_store,
                     std::function<duty_states()> const& states)
{
    if (!findings_.empty()) {
        return std::exchange(findings_, {});
    }
    if (auto call = next_call(now, content_to_store, states)) {
        return {std::move(*call)};
    }
    return {};
}

std::optional<lease_action>
lease_policy::next_call(time_point now, bool content_to_store,
                        std::function<duty_states()> const& states)
{
    if (call_ != store_call::none || now < next_call_at_) {
        return std::nullopt;
    }
    if (must_read_) {
        return begin_read(now);
    }
    if (holding_) {
        return renewal_is_due(now, content_to_store)
                   ? std::optional{begin_renewal(now, states())}
                   : std::nullopt;
    }
    if (may_take(now)) {
        return begin_take(now);
    }
    return read_is_due(now) ? std::optional{begin_read(now)} : std::nullopt;
}

bool lease_policy::renewal_is_due(time_point now, bool content_to_store) const
{
    auto const urgent = content_to_store || renewal_requested_ ||
                        release_requested_ || !is_valid(now);
    return now - append_began_at_ >=
           (urgent ? settings_.urgent_interval : settings_.renewal_interval);
}

/// \return true if the newest record that is known of is one of this daemon
///     from before its start, or from before it was fenced
bool lease_policy::own_record_is_left() const
{
    return !holding_ && heard_ && heard_->holder == name_ && !heard_->released;
}

bool lease_policy::may_take(time_point now) const
{
    if (stopping_ || !topic_ || topic_has_grown_ || now < not_before_) {
        return false;
    }
    // A restored record tells nothing of who has held the lease since.
    auto const& record = topic_->record;
    auto const is_current = record && !is_restored();
    if (is_current && record->holder == name_) {
        return true; // No other daemon has held it in between.
    }
    // Others may have held the lease since this daemon held it last, also
    // before it was started.
    auto const last_active = active_until_.value_or(started_at_);
    if (now < last_active + settings_.lease) {
        return false;
    }
    if (is_current && record->released) {
        return heard_ && heard_->token == record->token;
    }
    return now >= unchanged_since_ + settings_.lease + settings_.margin &&
           now >= heard_at_ + settings_.silence && read_began_at_ >= heard_at_;
}

bool lease_policy::read_is_due(time_point now) const
{
    auto const interval = std::max<duration>(
        settings_.read_interval, settings_.read_interval_per_daemon * daemons_);
    if (stopping_ || now < not_before_ || now < read_began_at_ + interval) {
        return false;
    }
    if (own_record_is_left()) {
        return true;
    }
    if (heard_ && heard_->released) {
        return now >= released_at_ + place_delay();
    }
    auto const has_left = heard_ && heard_->holder == left_holder_ &&
                          now < left_at_ + settings_.lease;
    if (has_left) {
        return now >= left_at_ + place_delay();
    }
    return now >= heard_at_ + settings_.silence + place_delay();
}

duration lease_policy::place_delay() const
{
    return std::min(settings_.max_place_delay,
                    settings_.place_delay * static_cast<int>(place_));
}

/// A restored store may have lost any number of holders, and may be restored
/// from the same copy again and again. Nothing that a record states bounds the
/// tokens that were used before. Hence all tokens of an era are higher than
/// those of earlier ones. Within an era no record is lost.
fencing_token lease_policy::next_token() const
{
    auto const& record = topic_->record;
    auto const before_era = tokens_before(topic_->era);
    // Each token is used in one append at least, so that no token of an era
    // exceeds the end of the partition but by greater steps.
    auto const before = std::max(
        record ? record->token : before_era + topic_->end, highest_token_);
    return std::max(before, before_era) + token_step_;
}

/// \return true if the record was written before the store was restored from
///     an older copy
bool lease_policy::is_restored() const
{
    return topic_->record && topic_->record->era != topic_->era;
}

/// \return set if the states of the record may be older than the last ones
///     that were stored; a record may also be missing in a copy
std::optional<time_point> lease_policy::states_lost_until() const
{
    auto const& record = topic_->record;
    auto const are_current = record && record->states_era == topic_->era;
    return are_current ? std::nullopt : std::optional{era_seen_at_};
}

lease_action lease_policy::begin_read(time_point now)
{
    call_ = store_call::read;
    read_began_at_ = now;
    return read_topic{};
}

lease_action lease_policy::begin_append(lease_record record, bool is_renewal,
                                        time_point now)
{
    call_ = store_call::append;
    append_began_at_ = now;
    record.holder = name_;
    record.incarnation = incarnation_;
    record.write = ++writes_;
    record.era = topic_->era;
    if (open_writes_.size() >= max_open_writes) {
        open_writes_.erase(open_writes_.begin());
    }
    open_writes_.push_back({topic_->end, now, record});
    return append_record{topic_->end, std::move(record), is_renewal};
}

/// Takes the lease with the states that the holder before has stored.
lease_action lease_policy::begin_take(time_point now)
{
    lease_record record;
    record.token = next_token();
    if (topic_->record) {
        record.previous_holder = topic_->record->holder;
        record.states = topic_->record->states;
        record.states_era = topic_->record->states_era;
    }
    auto action = begin_append(std::move(record), false, now);
    auto& write = open_writes_.back();
    write.was_released = topic_->record && topic_->record->released;
    write.unchanged_for = now - unchanged_since_;
    write.states_lost_until = states_lost_until();
    return action;
}

lease_action lease_policy::begin_renewal(time_point now,
                                         duty_states const& states)
{
    renewal_requested_ = false;
    lease_record record;
    record.token = holding_->token;
    record.previous_holder = holding_->previous_holder;
    record.held =
        std::chrono::duration_cast<milliseconds>(now - holding_->taken_at);
    record.released = release_requested_;
    record.states_era = topic_->era;
    // Keeps the states of duties that only another version knows.
    record.states = states;
    if (topic_->record) {
        record.states.insert(topic_->record->states.begin(),
                             topic_->record->states.end());
    }
    return begin_append(std::move(record), true, now);
}

void lease_policy::retry_later(time_point now)
{
    constexpr int max_doublings = 3;
    failures_ = std::min(failures_ + 1, max_doublings);
    next_call_at_ = now + settings_.retry_interval * (1 << failures_) / 2;
}

std::optional<time_point> lease_policy::valid_until() const
{
    return holding_ ? std::optional{holding_->valid_until} : std::nullopt;
}

std::optional<lease_notice> lease_policy::notice(time_point now) const
{
    if (!holding_ && !heard_) {
        return std::nullopt;
    }
    auto told = holding_ ? lease_notice{holding_->token, name_} : *heard_;
    // Daemons of older versions count on from what they are told.
    told.token = std::max(told.token, tokens_before(era_));
    auto at = holding_ ? holding_->renewed_at : heard_at_;
    if (!holding_ && heard_->released) {
        at = released_at_;
    }
    told.age = std::chrono::duration_cast<milliseconds>(now - at);
    return told.age > max_notice_age ? std::nullopt : std::optional{told};
}

} // namespace medlarstall::duty
