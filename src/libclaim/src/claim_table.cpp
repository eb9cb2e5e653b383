#include <medlarstall/claim/claim_table.hpp>

#include <algorithm>

namespace medlarstall::claim {

namespace {

std::size_t bytes_of(claim_entry const& entry)
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

void claim_table::restart(std::optional<wall_time> first_record)
{
    entries_.clear();
    outcome_bytes_ = 0;
    forgotten_until_.reset();
    if (first_record.has_value()) {
        forgotten_until_ = *first_record + max_key_skew + max_log_clock_step;
    }
}

applied claim_table::apply(record const& value, wall_time time)
{
    latest_ = std::max(latest_, time);
    auto const effect = std::visit(
        [this](auto const& kind) {
            if constexpr (std::is_same_v<std::decay_t<decltype(kind)>,
                                         mark_record>) {
                return applied::ignored;
            } else {
                return apply_to(kind);
            }
        },
        value);
    trim();
    return effect;
}

claim_entry const* claim_table::find(uuid const& key) const
{
    auto const found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

bool claim_table::forgotten(uuid const& key) const
{
    return !entries_.contains(key) && forgotten_until_.has_value() &&
           time_of(key) <= *forgotten_until_;
}

applied claim_table::apply_to(claim_record const& value)
{
    if (forgotten(value.key)) {
        return applied::ignored;
    }
    auto const [found, inserted] = entries_.try_emplace(value.key);
    auto& entry = found->second;
    if (!inserted) {
        if (entry.attempt == value.attempt ||
            was_released(entry, value.attempt)) {
            return applied::repeated;
        }
        if (entry.state != claim_state::released) {
            return applied::lost;
        }
    }
    entry.digest = value.digest;
    entry.attempt = value.attempt;
    entry.state = claim_state::held;
    return applied::won;
}

applied claim_table::apply_to(release_record const& value)
{
    auto const found = entries_.find(value.key);
    if (found == entries_.end()) {
        return applied::ignored;
    }
    auto& entry = found->second;
    if (entry.state != claim_state::held || entry.attempt != value.attempt) {
        return applied::ignored;
    }
    if (!entry.released_attempts) {
        entry.released_attempts = std::make_unique<std::vector<uuid>>();
    }
    entry.released_attempts->push_back(value.attempt);
    bool const closes = entry.released_attempts->size() >= max_releases;
    entry.state = closes ? claim_state::closed : claim_state::released;
    return applied::released;
}

applied claim_table::apply_to(outcome_record const& value)
{
    auto const found = entries_.find(value.key);
    if (found == entries_.end()) {
        return applied::ignored;
    }
    auto& entry = found->second;
    if (entry.state != claim_state::held || entry.attempt != value.attempt) {
        return applied::ignored;
    }
    entry.state = claim_state::finished;
    entry.result = value.result;
    outcome_bytes_ += bytes_of(entry);
    return applied::finished;
}

void claim_table::trim()
{
    while (!entries_.empty() &&
           time_of(entries_.begin()->first) + limits_.retention < latest_) {
        drop_oldest();
    }
    while (entries_.size() > limits_.keys ||
           outcome_bytes_ > limits_.outcome_bytes) {
        drop_oldest();
        ++evicted_;
    }
}

void claim_table::drop_oldest()
{
    auto const oldest = entries_.begin();
    auto const time = time_of(oldest->first);
    forgotten_until_ = std::max(forgotten_until_.value_or(time), time);
    outcome_bytes_ -= bytes_of(oldest->second);
    entries_.erase(oldest);
}

} // namespace medlarstall::claim
