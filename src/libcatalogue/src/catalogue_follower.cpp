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

constexpr std::size_t remembered_verdicts = 1'024;

/// Readings of a damaged record before it counts as refused. Damage on the way
/// is mostly gone at the next reading, or a peer passes the record on
/// meanwhile; damage in the log is the same for every daemon.
constexpr unsigned most_readings = 8;

} // namespace

catalogue_in_force::catalogue_in_force(catalogue value, catalogue_version at)
    : entries{std::move(value)}, keys{entries}, version{std::move(at)}
{}

catalogue_follower::catalogue_follower(follower_settings settings)
    : settings_{std::move(settings)},
      policy_{settings_.daemon, settings_.checkpoints}
{
    applied_.version.chain = first_chain_digest();
}

std::uint64_t catalogue_follower::next_offset() const
{
    return started_ && !scanning_ ? applied_.version.offset : scan_offset_;
}

status catalogue_follower::observe_bounds(std::uint64_t first,
                                          std::uint64_t end)
{
    if (!start_end_known_) {
        start_end_known_ = true;
        start_end_ = end;
    }
    if (!started_ && first == 0) {
        start_empty();
    }
    auto outcome =
        started_ && !scanning_ ? check_applied_bounds(first, end) : success();
    if (failed(outcome)) {
        return outcome;
    }
    if (!started_ || scanning_) {
        scan_offset_ = std::max(scan_offset_, first);
        if (found_ && found_->version.offset < first) {
            found_.reset();
        }
        return scan_offset_ >= end ? start_from_scan(first, end) : success();
    }
    ready_ = ready_ || applied_.version.offset >= start_end_;
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
    if (!found_) {
        scan_offset_ = first;
        return error{"log", "holds no usable checkpoint below offset " +
                                std::to_string(end)};
    }
    auto value = std::move(*found_);
    found_.reset();
    return start(std::move(value));
}

void catalogue_follower::start_empty()
{
    applied_ = {};
    applied_.version.chain = first_chain_digest();
    started_ = true;
    changed_ = true;
}

status catalogue_follower::start(checkpoint value)
{
    if (value.version.offset <= applied_.version.offset) {
        return error{"snapshot", "is at offset " +
                                     std::to_string(value.version.offset) +
                                     ", not above " +
                                     std::to_string(applied_.version.offset)};
    }
    applied_ = std::move(value);
    relayed_.clear();
    assembler_.clear();
    started_ = true;
    scanning_ = false;
    changed_ = true;
    return success();
}

status catalogue_follower::adopt(std::string_view text)
{
    auto value = read_checkpoint(text);
    if (failed(value)) {
        return error_of(value);
    }
    auto outcome = start(std::move(value_of(value)));
    ready_ = ready_ || !failed(outcome);
    return outcome;
}

void catalogue_follower::adopt(catalogue entries)
{
    start_empty();
    applied_.state.entries = std::move(entries);
    ready_ = true;
}

apply_outcome catalogue_follower::apply(log_record const& record)
{
    if (!started_ && record.offset == 0) {
        start_empty();
    }
    if (!started_ || scanning_) {
        return scan(record);
    }
    auto const digest = sha256_hex(canonical_text(record.value));
    if (record.offset < applied_.version.offset) {
        return compare(record.offset, digest);
    }
    auto body = record_reader{}.read(record.value);
    if (failed(body) && record.offset == applied_.version.offset &&
        is_damaged_once_more(record.offset, digest)) {
        return {.what = apply_result::read_again,
                .message = error_of(body).field + " " + error_of(body).message};
    }
    bool const is_change =
        !failed(body) && std::holds_alternative<change>(value_of(body));
    return take({.offset = record.offset,
                 .written = record.written,
                 .digest = digest,
                 .value = is_change ? record.value : json{}},
                body);
}

apply_outcome catalogue_follower::apply(relayed_record const& record)
{
    if (!started_ || scanning_) {
        return {.what = apply_result::gap};
    }
    if (record.offset < applied_.version.offset) {
        return compare(record.offset, record.digest);
    }
    if (record.value.is_null()) {
        return take(record, error{"$", "holds no change"});
    }
    auto const body = record_reader{}.read(record.value);
    if (failed(body) ||
        sha256_hex(canonical_text(record.value)) != record.digest) {
        return {.what = apply_result::read_again,
                .message = "a peer passed on a damaged record"};
    }
    return take(record, body);
}

apply_outcome catalogue_follower::scan(log_record const& record)
{
    if (record.offset < scan_offset_) {
        return {.what = apply_result::already};
    }
    scan_offset_ = record.offset + 1;
    auto const body = record_reader{}.read(record.value);
    policy_.on_record(record.written);
    if (failed(body) ||
        !std::holds_alternative<checkpoint_part>(value_of(body))) {
        return {.what = apply_result::scanned};
    }
    auto whole = assembler_.add(std::get<checkpoint_part>(value_of(body)));
    if (whole && (!found_ || whole->version.offset > found_->version.offset)) {
        found_ = std::move(whole);
        policy_.on_checkpoint(found_->version.offset, record.written);
    }
    return {.what = apply_result::scanned};
}

apply_outcome
catalogue_follower::compare(std::uint64_t offset,
                            std::string const& record_digest) const
{
    auto const* before = chain_at(offset);
    auto const* after = chain_at(offset + 1);
    if (before == nullptr || after == nullptr ||
        next_chain_digest(*before, offset, record_digest) == *after) {
        return {.what = apply_result::already};
    }
    return {.what = apply_result::disagreement,
            .message = "the record at offset " + std::to_string(offset) +
                       " is not the one that was applied"};
}

bool catalogue_follower::is_damaged_once_more(std::uint64_t offset,
                                              std::string const& digest)
{
    bool const same = damaged_readings_ > 0 && damaged_offset_ == offset &&
                      damaged_digest_ == digest;
    damaged_readings_ = same ? damaged_readings_ + 1 : 1;
    damaged_offset_ = offset;
    damaged_digest_ = digest;
    return damaged_readings_ < most_readings;
}

apply_outcome catalogue_follower::take(relayed_record const& record,
                                       result<record_body> const& body)
{
    if (record.offset > applied_.version.offset) {
        return {.what = apply_result::gap,
                .message = "the records from offset " +
                           std::to_string(applied_.version.offset) +
                           " are missing"};
    }
    apply_outcome outcome;
    policy_.on_record(record.written);
    if (failed(body)) {
        outcome.message = error_of(body).field + " " + error_of(body).message;
    } else if (auto const* value = std::get_if<change>(&value_of(body))) {
        outcome.decided = decide_change(*value, record.offset);
        outcome.in_force_changed =
            outcome.decided->accepted && !outcome.decided->repeated;
        changed_ = changed_ || outcome.in_force_changed;
        remember(*outcome.decided);
    } else {
        auto const& part = std::get<checkpoint_part>(value_of(body));
        if (auto const whole = assembler_.add(part)) {
            policy_.on_checkpoint(whole->version.offset, record.written);
            if (!agrees(whole->version)) {
                outcome.message = "a checkpoint disagrees with this daemon";
            }
        }
    }
    advance(record);
    return outcome;
}

verdict catalogue_follower::decide_change(change const& value,
                                          std::uint64_t offset)
{
    if (!has_anchor(value, offset)) {
        return {.change_id = value.id,
                .offset = offset,
                .reason = refusal::wrong_anchor,
                .message = "its writer had applied another log"};
    }
    return decide(applied_.state, value, offset,
                  settings_.bootstrap_key_digest);
}

bool catalogue_follower::has_anchor(change const& value,
                                    std::uint64_t offset) const
{
    if (!value.anchor) {
        return true;
    }
    if (value.anchor->offset > offset) {
        return false;
    }
    auto const* chain = chain_at(value.anchor->offset);
    return chain == nullptr || *chain == value.anchor->chain;
}

void catalogue_follower::advance(relayed_record const& record)
{
    auto& version = applied_.version;
    applied_.history.push_back(version.chain);
    if (applied_.history.size() > remembered_chain) {
        applied_.history.pop_front();
    }
    version.chain =
        next_chain_digest(version.chain, record.offset, record.digest);
    version.offset = record.offset + 1;
    relayed_.push_back(record);
    if (relayed_.size() > settings_.relayed_records) {
        relayed_.pop_front();
    }
}

void catalogue_follower::remember(verdict decided)
{
    if (decided.repeated && find_verdict(decided.change_id) != nullptr) {
        return;
    }
    verdicts_.push_back(std::move(decided));
    if (verdicts_.size() > remembered_verdicts) {
        verdicts_.pop_front();
    }
}

std::shared_ptr<catalogue_in_force const> catalogue_follower::in_force()
{
    if (started_ && changed_) {
        in_force_ = std::make_shared<catalogue_in_force const>(
            applied_.state.entries, applied_.version);
        changed_ = false;
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

std::string const* catalogue_follower::chain_at(std::uint64_t offset) const
{
    auto const& version = applied_.version;
    if (offset == version.offset) {
        return &version.chain;
    }
    if (offset > version.offset ||
        version.offset - offset > applied_.history.size()) {
        return nullptr;
    }
    return &applied_
                .history[applied_.history.size() - (version.offset - offset)];
}

bool catalogue_follower::agrees(catalogue_version const& peer) const
{
    auto const* chain = chain_at(peer.offset);
    return chain == nullptr || *chain == peer.chain;
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
    if (relayed_.empty() || relayed_.front().offset > offset) {
        return std::nullopt;
    }
    auto const skipped =
        static_cast<std::ptrdiff_t>(offset - relayed_.front().offset);
    return std::vector<relayed_record>{relayed_.begin() + skipped,
                                       relayed_.end()};
}

std::vector<json> catalogue_follower::due_checkpoint(wall_time now)
{
    std::vector<json> records;
    if (!started_ || scanning_ || !ready_ ||
        !policy_.due(applied_.version.offset, now)) {
        return records;
    }
    for (auto& part :
         split_checkpoint(applied_, settings_.checkpoint_part_bytes)) {
        records.push_back(record_writer{}.write(std::move(part)));
    }
    return records;
}

} // namespace medlarstall::catalogue
