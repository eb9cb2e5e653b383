#include <medlarstall/catalogue/checkpoint_assembler.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>

namespace medlarstall::catalogue {

namespace {

constexpr std::size_t most_incomplete = 4;

} // namespace

std::optional<checkpoint> checkpoint_assembler::add(checkpoint_part const& part)
{
    auto* set = find_or_add(part);
    if (set == nullptr || set->parts[part.part]) {
        return std::nullopt;
    }
    set->parts[part.part] = part.payload;
    if (--set->missing > 0) {
        return std::nullopt;
    }
    std::string payload;
    for (auto const& piece : set->parts) {
        payload += *piece;
    }
    incomplete_.erase(incomplete_.begin() + (set - incomplete_.data()));
    if (sha256_hex(payload) != part.payload_digest) {
        return std::nullopt;
    }
    auto value = read_checkpoint(payload);
    if (failed(value) || value_of(value).version.offset != part.prefix) {
        return std::nullopt;
    }
    return std::move(value_of(value));
}

checkpoint_assembler::incomplete*
checkpoint_assembler::find_or_add(checkpoint_part const& part)
{
    auto const same = [&part](incomplete const& set) {
        return set.prefix == part.prefix &&
               set.payload_digest == part.payload_digest;
    };
    auto const found = std::ranges::find_if(incomplete_, same);
    if (found != incomplete_.end()) {
        return found->parts.size() == part.parts ? &*found : nullptr;
    }
    if (incomplete_.size() == most_incomplete) {
        incomplete_.erase(incomplete_.begin());
    }
    incomplete_.push_back({.prefix = part.prefix,
                           .payload_digest = part.payload_digest,
                           .parts = {part.parts, std::nullopt},
                           .missing = part.parts});
    return &incomplete_.back();
}

} // namespace medlarstall::catalogue
