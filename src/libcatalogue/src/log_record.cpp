#include <medlarstall/catalogue/log_record.hpp>
#include <medlarstall/support/object_reader.hpp>

namespace medlarstall::catalogue {

using nlohmann::json;

json to_json(relayed_record const& record)
{
    return {{"offset", record.offset},
            {"written_ms", record.written_at.time_since_epoch().count()},
            {"digest", record.digest},
            {"value", record.value}};
}

result<relayed_record> parse_relayed_record(json const& object)
{
    std::optional<error> failure;
    object_reader reader{object, "$", failure};
    relayed_record record;
    std::uint64_t written_ms = 0;
    reader.require("offset");
    reader.require("digest");
    reader.read("offset", record.offset);
    reader.read("written_ms", written_ms);
    reader.read("digest", record.digest, text_format::sha256_hex);
    if (auto const* value = reader.find_field("value")) {
        record.value = *value;
    }
    reader.reject_unknown_fields();
    if (failure) {
        return *failure;
    }
    record.written_at = wall_time{
        std::chrono::milliseconds{static_cast<std::int64_t>(written_ms)}};
    return record;
}

} // namespace medlarstall::catalogue
