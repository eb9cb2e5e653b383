#include <medlarstall/catalogue/checkpoint_assembler.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>

namespace medlarstall::catalogue {

namespace {

/// Number of incomplete checkpoints kept; beyond it the oldest is dropped.
constexpr std::size_t max_incomplete_checkpoints = 4;

} // namespace

std::optional<checkpoint> checkpoint_assembler::add(checkpoint_part const& part)
{
    auto* pending = find_or_add(part);
    if (pending == nullptr || pending->parts[part.part_index]) {
        return std::nullopt;
    }
    pending->parts[part.part_index] = part.payload;
    if (--pending->missing_count > 0) {
        return std::nullopt;
    }
    std::string payload;
    for (auto const& payload_part : pending->parts) {
        payload += *payload_part;
    }
    incomplete_.erase(incomplete_.begin() + (pending - incomplete_.data()));
    if (sha256_hex(payload) != part.payload_digest) {
        return std::nullopt;
    }
    auto value = read_checkpoint(payload);
    if (failed(value) || value_of(value).version.offset != part.end_offset) {
        return std::nullopt;
    }
    return std::move(value_of(value));
}

checkpoint_assembler::incomplete_checkpoint*
checkpoint_assembler::find_or_add(checkpoint_part const& part)
{
    auto const matches_part = [&part](incomplete_checkpoint const& pending) {
        return pending.end_offset == part.end_offset &&
               pending.payload_digest == part.payload_digest;
    };
    auto const found = std::ranges::find_if(incomplete_, matches_part);
    if (found != incomplete_.end()) {
        return found->parts.size() == part.part_count ? &*found : nullptr;
    }
    if (incomplete_.size() == max_incomplete_checkpoints) {
        incomplete_.erase(incomplete_.begin());
    }
    incomplete_.push_back({.end_offset = part.end_offset,
                           .payload_digest = part.payload_digest,
                           .parts = {part.part_count, std::nullopt},
                           .missing_count = part.part_count});
    return &incomplete_.back();
}

} // namespace medlarstall::catalogue
