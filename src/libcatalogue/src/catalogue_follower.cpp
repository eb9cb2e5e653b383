#include <medlarstall/catalogue/catalogue_follower.hpp>

#include <medlarstall/catalogue/limits.hpp>
#include <medlarstall/catalogue/record_codec.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/json_text.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

namespace medlarstall::catalogue {

namespace {

using nlohmann::json;

/// Number of recent decisions that find_verdict() can return.
constexpr std::size_t max_verdicts = 1'024;

/// Number of times a damaged record is read before it is treated as rejected.
/// Damage in transit is usually gone at the next read, or a peer relays the
/// record in the meantime. Damage in the log itself is the same for every
/// daemon, so all of them reject the record.
constexpr unsigned max_damaged_reads = 8;

} // namespace

catalogue_in_force::catalogue_in_force(catalogue value, catalogue_version at)
    : entries{std::move(value)}, keys{entries}, version{std::move(at)}
{}

catalogue_follower::catalogue_follower(follower_settings settings)
    : settings_{std::move(settings)},
      policy_{settings_.daemon_id, settings_.checkpoints}
{
    applied_.version.chain_digest = first_chain_digest();
}

std::uint64_t catalogue_follower::next_offset() const
{
    return started_ && !scanning_ ? applied_.version.offset : scan_offset_;
}

status catalogue_follower::update_log_bounds(std::uint64_t first,
                                             std::uint64_t end)
{
    if (!initial_end_known_) {
        initial_end_known_ = true;
        initial_end_offset_ = end;
    }
    if (!started_ && first == 0) {
        start_from_empty();
    }
    auto outcome =
        started_ && !scanning_ ? check_applied_bounds(first, end) : success();
    if (failed(outcome)) {
        return outcome;
    }
    if (!started_ || scanning_) {
        scan_offset_ = std::max(scan_offset_, first);
        if (scanned_checkpoint_ &&
            scanned_checkpoint_->version.offset < first) {
            scanned_checkpoint_.reset();
        }
        return scan_offset_ >= end ? start_from_scan(first, end) : success();
    }
    ready_ = ready_ || applied_.version.offset >= initial_end_offset_;
    return success();
}

status catalogue_follower::check_applied_bounds(std::uint64_t first,
                                                std::uint64_t end)
{
    auto const applied = applied_.version.offset;
    if (end < applied) {
        return error{"log", "ends at offset " + std::to_string(end) +
                                ", below the applied offset " +
                                std::to_string(applied) + "; it was truncated"};
    }
    if (first > applied) {
        scanning_ = true;
        scan_offset_ = first;
    }
    return success();
}

status catalogue_follower::start_from_scan(std::uint64_t first,
                                           std::uint64_t end)
{
    if (!scanned_checkpoint_) {
        scan_offset_ = first;
        return error{"log", "contains no usable checkpoint below offset " +
                                std::to_string(end)};
    }
    auto value = std::move(*scanned_checkpoint_);
    scanned_checkpoint_.reset();
    return start_from(std::move(value));
}

void catalogue_follower::start_from_empty()
{
    checkpoint empty;
    empty.version.chain_digest = first_chain_digest();
    applied_ = std::move(empty);
    started_ = true;
    in_force_outdated_ = true;
}

status catalogue_follower::start_from(checkpoint value)
{
    if (value.version.offset <= applied_.version.offset) {
        return error{"snapshot",
                     "is at offset " + std::to_string(value.version.offset) +
                         ", which is not above the applied offset " +
                         std::to_string(applied_.version.offset)};
    }
    applied_ = std::move(value);
    relayed_records_.clear();
    assembler_.clear();
    started_ = true;
    scanning_ = false;
    in_force_outdated_ = true;
    return success();
}

status catalogue_follower::install(std::string_view text)
{
    auto value = read_checkpoint(text);
    if (failed(value)) {
        return error_of(value);
    }
    auto outcome = start_from(std::move(value_of(value)));
    ready_ = ready_ || !failed(outcome);
    return outcome;
}

void catalogue_follower::install(catalogue entries)
{
    start_from_empty();
    applied_.state.entries = std::move(entries);
    ready_ = true;
}

apply_outcome catalogue_follower::apply(log_record const& record)
{
    if (!started_ && record.offset == 0) {
        start_from_empty();
    }
    if (!started_ || scanning_) {
        return scan_for_checkpoint(record);
    }
    auto const digest = sha256_hex(canonical_json(record.value));
    if (record.offset < applied_.version.offset) {
        return compare_with_applied(record.offset, digest);
    }
    auto body = record_reader{}.read(record.value);
    if (failed(body) && record.offset == applied_.version.offset &&
        should_read_again(record.offset, digest)) {
        return {.kind = apply_result::read_again,
                .message = error_of(body).field + " " + error_of(body).message};
    }
    bool const is_change =
        !failed(body) && std::holds_alternative<change>(value_of(body));
    return apply_next({.offset = record.offset,
                       .written_at = record.written_at,
                       .digest = digest,
                       .value = is_change ? record.value : json{}},
                      body);
}

apply_outcome catalogue_follower::apply(relayed_record const& record)
{
    if (!started_ || scanning_) {
        return {.kind = apply_result::gap};
    }
    if (record.offset < applied_.version.offset) {
        return compare_with_applied(record.offset, record.digest);
    }
    if (record.value.is_null()) {
        return apply_next(record, error{"$", "does not contain a change"});
    }
    auto const body = record_reader{}.read(record.value);
    if (failed(body) ||
        sha256_hex(canonical_json(record.value)) != record.digest) {
        return {.kind = apply_result::read_again,
                .message = "a peer relayed a damaged record"};
    }
    return apply_next(record, body);
}

apply_outcome catalogue_follower::scan_for_checkpoint(log_record const& record)
{
    if (record.offset < scan_offset_) {
        return {.kind = apply_result::already_applied};
    }
    scan_offset_ = record.offset + 1;
    auto const body = record_reader{}.read(record.value);
    policy_.on_record(record.written_at);
    if (failed(body) ||
        !std::holds_alternative<checkpoint_part>(value_of(body))) {
        return {.kind = apply_result::scanned};
    }
    auto assembled = assembler_.add(std::get<checkpoint_part>(value_of(body)));
    if (assembled &&
        (!scanned_checkpoint_ ||
         assembled->version.offset > scanned_checkpoint_->version.offset)) {
        scanned_checkpoint_ = std::move(assembled);
        policy_.on_checkpoint(scanned_checkpoint_->version.offset,
                              record.written_at);
    }
    return {.kind = apply_result::scanned};
}

apply_outcome
catalogue_follower::compare_with_applied(std::uint64_t offset,
                                         std::string const& record_digest) const
{
    auto const* before = chain_digest_at(offset);
    auto const* after = chain_digest_at(offset + 1);
    if (before == nullptr || after == nullptr ||
        next_chain_digest(*before, offset, record_digest) == *after) {
        return {.kind = apply_result::already_applied};
    }
    return {.kind = apply_result::digest_mismatch,
            .message = "the record at offset " + std::to_string(offset) +
                       " differs from the one that was applied"};
}

bool catalogue_follower::should_read_again(std::uint64_t offset,
                                           std::string const& digest)
{
    bool const same_damage = damaged_read_count_ > 0 &&
                             damaged_offset_ == offset &&
                             damaged_digest_ == digest;
    damaged_read_count_ = same_damage ? damaged_read_count_ + 1 : 1;
    damaged_offset_ = offset;
    damaged_digest_ = digest;
    return damaged_read_count_ < max_damaged_reads;
}

apply_outcome catalogue_follower::apply_next(relayed_record const& record,
                                             result<record_body> const& body)
{
    if (record.offset > applied_.version.offset) {
        return {.kind = apply_result::gap,
                .message = "the records from offset " +
                           std::to_string(applied_.version.offset) +
                           " are missing"};
    }
    apply_outcome outcome;
    policy_.on_record(record.written_at);
    if (failed(body)) {
        outcome.message = error_of(body).field + " " + error_of(body).message;
    } else if (auto const* value = std::get_if<change>(&value_of(body))) {
        outcome.decision = decide_change(*value, record.offset);
        outcome.in_force_changed =
            outcome.decision->accepted && !outcome.decision->repeated;
        in_force_outdated_ = in_force_outdated_ || outcome.in_force_changed;
        remember_verdict(*outcome.decision);
    } else {
        auto const& part = std::get<checkpoint_part>(value_of(body));
        if (auto const assembled = assembler_.add(part)) {
            policy_.on_checkpoint(assembled->version.offset, record.written_at);
            if (!agrees_with(assembled->version)) {
                outcome.message =
                    "a checkpoint in the log differs from the state "
                    "of this daemon";
            }
        }
    }
    advance(record);
    return outcome;
}

verdict catalogue_follower::decide_change(change const& value,
                                          std::uint64_t offset)
{
    if (!anchor_matches(value, offset)) {
        return {.change_id = value.id,
                .offset = offset,
                .reason = refusal_reason::wrong_anchor,
                .message = "the anchor does not match the log; the author "
                           "had applied a different log"};
    }
    return decide(applied_.state, value, offset,
                  settings_.bootstrap_key_digest);
}

bool catalogue_follower::anchor_matches(change const& value,
                                        std::uint64_t offset) const
{
    if (!value.anchor) {
        return true;
    }
    if (value.anchor->offset > offset) {
        return false;
    }
    auto const* chain = chain_digest_at(value.anchor->offset);
    return chain == nullptr || *chain == value.anchor->chain_digest;
}

void catalogue_follower::advance(relayed_record const& record)
{
    auto& version = applied_.version;
    applied_.chain_history.push_back(version.chain_digest);
    if (applied_.chain_history.size() > max_chain_history) {
        applied_.chain_history.pop_front();
    }
    version.chain_digest =
        next_chain_digest(version.chain_digest, record.offset, record.digest);
    version.offset = record.offset + 1;
    relayed_records_.push_back(record);
    if (relayed_records_.size() > settings_.max_relayed_records) {
        relayed_records_.pop_front();
    }
}

void catalogue_follower::remember_verdict(verdict decision)
{
    if (decision.repeated && find_verdict(decision.change_id) != nullptr) {
        return;
    }
    verdicts_.push_back(std::move(decision));
    if (verdicts_.size() > max_verdicts) {
        verdicts_.pop_front();
    }
}

std::shared_ptr<catalogue_in_force const> catalogue_follower::in_force()
{
    if (started_ && in_force_outdated_) {
        in_force_ = std::make_shared<catalogue_in_force const>(
            applied_.state.entries, applied_.version);
        in_force_outdated_ = false;
    }
    return in_force_;
}

verdict const*
catalogue_follower::find_verdict(std::string_view change_id) const
{
    auto const newest_first = std::views::reverse(verdicts_);
    auto const found =
        std::ranges::find(newest_first, change_id, &verdict::change_id);
    return found == newest_first.end() ? nullptr : &*found;
}

std::string const*
catalogue_follower::chain_digest_at(std::uint64_t offset) const
{
    auto const& version = applied_.version;
    if (offset == version.offset) {
        return &version.chain_digest;
    }
    if (offset > version.offset ||
        version.offset - offset > applied_.chain_history.size()) {
        return nullptr;
    }
    return &applied_.chain_history[applied_.chain_history.size() -
                                   (version.offset - offset)];
}

bool catalogue_follower::agrees_with(catalogue_version const& peer) const
{
    auto const* chain = chain_digest_at(peer.offset);
    return chain == nullptr || *chain == peer.chain_digest;
}

std::string catalogue_follower::snapshot() const
{
    return ready_ ? write_checkpoint(applied_) : std::string{};
}

std::optional<std::vector<relayed_record>>
catalogue_follower::records_from(std::uint64_t offset) const
{
    if (offset >= applied_.version.offset) {
        return std::vector<relayed_record>{};
    }
    if (relayed_records_.empty() || relayed_records_.front().offset > offset) {
        return std::nullopt;
    }
    auto const skip_count =
        static_cast<std::ptrdiff_t>(offset - relayed_records_.front().offset);
    return std::vector<relayed_record>{relayed_records_.begin() + skip_count,
                                       relayed_records_.end()};
}

std::vector<json> catalogue_follower::take_due_checkpoint(wall_time now)
{
    std::vector<json> records;
    if (!started_ || scanning_ || !ready_ ||
        !policy_.should_write_now(applied_.version.offset, now)) {
        return records;
    }
    for (auto& part :
         split_checkpoint(applied_, settings_.checkpoint_part_bytes)) {
        records.push_back(record_writer{}.write(std::move(part)));
    }
    return records;
}

} // namespace medlarstall::catalogue
