#include <medlarstall/claim/record.hpp>

#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/hex.hpp>

#include <algorithm>

namespace medlarstall::claim {

namespace {

// Approximate encoded sizes; that of an outcome is without its body and content
// type.
constexpr std::size_t claim_record_bytes = 220;
constexpr std::size_t release_record_bytes = 120;
constexpr std::size_t outcome_record_bytes = 200;
constexpr std::size_t mark_record_bytes = 16;

/// Appends a field with its length before it, so that two different lists of
/// fields never yield the same text.
void append_field(std::string& to, std::string_view field)
{
    to += std::to_string(field.size());
    to += ':';
    to += field;
}

} // namespace

call_digest compute_call_digest(std::string_view organisation,
                                std::string_view operation,
                                std::string_view body)
{
    std::string text;
    text.reserve(organisation.size() + operation.size() + body.size() + 32);
    append_field(text, organisation);
    append_field(text, operation);
    append_field(text, body);
    auto const bytes = from_hex(sha256_hex(text)).value();
    call_digest digest;
    std::copy_n(bytes.begin(), digest.bytes.size(), digest.bytes.begin());
    return digest;
}

std::size_t encoded_size(record const& value)
{
    if (auto const* finished = std::get_if<outcome_record>(&value)) {
        return outcome_record_bytes + finished->result->body.size() +
               finished->result->content_type.size();
    }
    if (std::holds_alternative<claim_record>(value)) {
        return claim_record_bytes;
    }
    return std::holds_alternative<release_record>(value) ? release_record_bytes
                                                         : mark_record_bytes;
}

uuid attempt_of(record const& value)
{
    return std::visit(
        [](auto const& kind) {
            if constexpr (requires { kind.attempt; }) {
                return kind.attempt;
            } else {
                return uuid{};
            }
        },
        value);
}

} // namespace medlarstall::claim
