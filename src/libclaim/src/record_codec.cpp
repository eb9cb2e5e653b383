#include <medlarstall/claim/record_codec.hpp>

#include <medlarstall/support/hex.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace medlarstall::claim {

namespace {

using nlohmann::json;

std::string to_hex_text(call_digest const& digest)
{
    std::string text;
    for (auto const byte : digest.bytes) {
        append_hex(text, byte);
    }
    return text;
}

bool is_utf8(std::string const& text)
{
    try {
        static_cast<void>(json(text).dump());
        return true;
    } catch (json::type_error const&) {
        return false;
    }
}

/// Reads the fields of a JSON object and keeps the first error. A field that
/// cannot be read yields an empty or default value.
class field_reader
{
public:
    explicit field_reader(json const& object) : object_{object} {}

    std::string text(char const* name)
    {
        auto const found = object_.find(name);
        if (found == object_.end() || !found->is_string()) {
            fail(name, "must be a string");
            return {};
        }
        return found->get<std::string>();
    }

    std::string text_or_empty(char const* name)
    {
        return object_.contains(name) ? text(name) : std::string{};
    }

    uuid id(char const* name)
    {
        auto const parsed = parse_uuid(text(name));
        if (medlarstall::failed(parsed)) {
            fail(name, error_of(parsed).message);
            return {};
        }
        return value_of(parsed);
    }

    call_digest digest(char const* name)
    {
        call_digest value;
        auto const bytes = from_hex(text(name));
        if (!bytes.has_value() || bytes->size() != value.bytes.size()) {
            fail(name, "must be 32 hexadecimal digits");
            return value;
        }
        std::ranges::copy(*bytes, value.bytes.begin());
        return value;
    }

    std::string hex(char const* name)
    {
        auto bytes = from_hex(text(name));
        if (!bytes.has_value()) {
            fail(name, "must be pairs of hexadecimal digits");
        }
        return std::move(bytes).value_or(std::string{});
    }

    int number_or_zero(char const* name)
    {
        auto const found = object_.find(name);
        if (found == object_.end()) {
            return 0;
        }
        if (!found->is_number_integer()) {
            fail(name, "must be a whole number");
            return 0;
        }
        return found->get<int>();
    }

    bool boolean_or(char const* name, bool fallback)
    {
        auto const found = object_.find(name);
        if (found == object_.end()) {
            return fallback;
        }
        if (!found->is_boolean()) {
            fail(name, "must be true or false");
            return fallback;
        }
        return found->get<bool>();
    }

    [[nodiscard]] bool has(char const* name) const
    {
        return object_.contains(name);
    }

    void fail(char const* name, std::string message)
    {
        if (!failure_.has_value()) {
            failure_ = error{name, std::move(message)};
        }
    }

    result<record> finish(record value)
    {
        if (failure_.has_value()) {
            return *failure_;
        }
        return value;
    }

private:
    json const& object_;
    std::optional<error> failure_;
};

result<record> parse_outcome(field_reader& fields)
{
    outcome value;
    value.known = fields.boolean_or("known", true);
    value.status = fields.number_or_zero("status");
    value.content_type = fields.text_or_empty("content_type");
    value.body_kept = fields.boolean_or("whole", true);
    value.body = fields.has("body_hex") ? fields.hex("body_hex")
                                        : fields.text_or_empty("body");
    outcome_record parsed{
        .key = fields.id("key"),
        .attempt = fields.id("attempt"),
        .result = std::make_shared<outcome const>(std::move(value))};
    return fields.finish(std::move(parsed));
}

json to_json(mark_record const&)
{
    return {{"kind", "mark"}};
}

json to_json(claim_record const& value)
{
    return {{"kind", "claim"},
            {"key", to_string(value.key)},
            {"digest", to_hex_text(value.digest)},
            {"attempt", to_string(value.attempt)},
            {"writer", value.writer}};
}

json to_json(release_record const& value)
{
    return {{"kind", "release"},
            {"key", to_string(value.key)},
            {"attempt", to_string(value.attempt)}};
}

json to_json(outcome_record const& value)
{
    json object = {{"kind", "outcome"},
                   {"key", to_string(value.key)},
                   {"attempt", to_string(value.attempt)}};
    auto const& stored = *value.result;
    if (!stored.known) {
        object["known"] = false;
        return object;
    }
    object["status"] = stored.status;
    object["content_type"] = stored.content_type;
    if (is_utf8(stored.body)) {
        object["body"] = stored.body;
    } else {
        object["body_hex"] = to_hex(stored.body);
    }
    if (!stored.body_kept) {
        object["whole"] = false;
    }
    return object;
}

} // namespace

nlohmann::json to_json(record const& value)
{
    return std::visit([](auto const& kind) { return to_json(kind); }, value);
}

result<record> parse_record(nlohmann::json const& json)
{
    if (!json.is_object()) {
        return error{"record", "must be an object"};
    }
    field_reader fields{json};
    auto const kind = fields.text("kind");
    if (kind == "mark") {
        return fields.finish(mark_record{});
    }
    if (kind == "claim") {
        return fields.finish(claim_record{.key = fields.id("key"),
                                          .digest = fields.digest("digest"),
                                          .attempt = fields.id("attempt"),
                                          .writer = fields.text("writer")});
    }
    if (kind == "release") {
        return fields.finish(release_record{.key = fields.id("key"),
                                            .attempt = fields.id("attempt")});
    }
    if (kind == "outcome") {
        return parse_outcome(fields);
    }
    return error{"kind",
                 "is '" + kind + "'; must be mark, claim, release or outcome"};
}

record parse_record_or_mark(nlohmann::json const& json)
{
    auto parsed = parse_record(json);
    return failed(parsed) ? record{mark_record{}} : std::move(value_of(parsed));
}

} // namespace medlarstall::claim
