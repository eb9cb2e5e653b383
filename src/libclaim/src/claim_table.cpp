#include <medlarstall/claim/claim_table.hpp>

#include <algorithm>

namespace medlarstall::claim {

namespace {

std::size_t kept_bytes(claim_entry const& entry)
{
    if (!entry.result) {
        return 0;
    }
    return sizeof(outcome) + entry.result->body.size() +
           entry.result->content_type.size();
}

bool was_released(claim_entry const& entry, uuid const& attempt)
{
    return entry.released_attempts &&
           std::ranges::find(*entry.released_attempts, attempt) !=
               entry.released_attempts->end();
}

} // namespace

void claim_table::reset(std::optional<wall_time> first_record)
{
    entries_.clear();
    outcome_bytes_ = 0;
    lost_until_.reset();
    if (first_record.has_value()) {
        lost_until_ = *first_record + max_key_skew + max_log_clock_step;
    }
}

apply_result claim_table::apply(record const& value, wall_time time)
{
    latest_time_ = std::max(latest_time_, time);
    auto const effect = std::visit(
        [this](auto const& kind) {
            if constexpr (std::is_same_v<std::decay_t<decltype(kind)>,
                                         mark_record>) {
                return apply_result::ignored;
            } else {
                return apply_record(kind);
            }
        },
        value);
    enforce_limits();
    return effect;
}

claim_entry const* claim_table::find(uuid const& key) const
{
    auto const found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

bool claim_table::may_have_lost(uuid const& key) const
{
    return !entries_.contains(key) && lost_until_.has_value() &&
           timestamp_of(key) <= *lost_until_;
}

apply_result claim_table::apply_record(claim_record const& value)
{
    if (may_have_lost(value.key)) {
        return apply_result::ignored;
    }
    auto const [found, inserted] = entries_.try_emplace(value.key);
    auto& entry = found->second;
    if (!inserted) {
        if (entry.attempt == value.attempt ||
            was_released(entry, value.attempt)) {
            return apply_result::repeated;
        }
        if (entry.state != claim_state::released) {
            return apply_result::lost;
        }
    }
    entry.digest = value.digest;
    entry.attempt = value.attempt;
    entry.state = claim_state::held;
    return apply_result::won;
}

apply_result claim_table::apply_record(release_record const& value)
{
    auto const found = entries_.find(value.key);
    if (found == entries_.end()) {
        return apply_result::ignored;
    }
    auto& entry = found->second;
    if (entry.state != claim_state::held || entry.attempt != value.attempt) {
        return apply_result::ignored;
    }
    if (!entry.released_attempts) {
        entry.released_attempts = std::make_unique<std::vector<uuid>>();
    }
    entry.released_attempts->push_back(value.attempt);
    bool const is_exhausted = entry.released_attempts->size() >= max_releases;
    entry.state = is_exhausted ? claim_state::exhausted : claim_state::released;
    return apply_result::released;
}

apply_result claim_table::apply_record(outcome_record const& value)
{
    auto const found = entries_.find(value.key);
    if (found == entries_.end()) {
        return apply_result::ignored;
    }
    auto& entry = found->second;
    if (entry.state != claim_state::held || entry.attempt != value.attempt) {
        return apply_result::ignored;
    }
    entry.state = claim_state::finished;
    entry.result = value.result;
    outcome_bytes_ += kept_bytes(entry);
    return apply_result::finished;
}

void claim_table::enforce_limits()
{
    while (!entries_.empty() &&
           timestamp_of(entries_.begin()->first) + limits_.retention <
               latest_time_) {
        drop_oldest();
    }
    while (entries_.size() > limits_.max_keys ||
           outcome_bytes_ > limits_.max_outcome_bytes) {
        drop_oldest();
        ++evicted_;
    }
}

void claim_table::drop_oldest()
{
    auto const oldest = entries_.begin();
    auto const time = timestamp_of(oldest->first);
    lost_until_ = std::max(lost_until_.value_or(time), time);
    outcome_bytes_ -= kept_bytes(oldest->second);
    entries_.erase(oldest);
}

} // namespace medlarstall::claim
