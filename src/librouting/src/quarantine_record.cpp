#include <medlarstall/routing/quarantine_record.hpp>

#include <medlarstall/support/digest.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace medlarstall::routing {

namespace {

using nlohmann::json;

constexpr std::size_t max_array_size = 4096;

json write_record(crash_report const& report)
{
    return {{"kind", "crash"},
            {"crash", report.id},
            {"backend_server", report.backend_server},
            {"running", report.running},
            {"suspected", report.suspected},
            {"age_ms", report.age.count()}};
}

json write_record(clearance const& cleared)
{
    return {{"kind", "clearance"},
            {"fingerprint", cleared.fingerprint},
            {"crashes", cleared.crash_ids},
            {"age_ms", cleared.age.count()}};
}

error field_error(char const* field, char const* allowed)
{
    return error{field, std::string{"must be "} + allowed};
}

bool is_unsigned_integer(json const& value)
{
    return value.is_number_unsigned() ||
           (value.is_number_integer() && value.get<std::int64_t>() >= 0);
}

std::optional<std::uint64_t> read_number(json const& object, char const* field)
{
    auto const found = object.find(field);
    if (found == object.end() || !is_unsigned_integer(*found)) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

std::optional<std::vector<std::uint64_t>> read_numbers(json const& object,
                                                       char const* field)
{
    auto const found = object.find(field);
    if (found == object.end() || !found->is_array() ||
        found->size() > max_array_size) {
        return std::nullopt;
    }
    std::vector<std::uint64_t> numbers;
    for (auto const& value : *found) {
        if (!is_unsigned_integer(value)) {
            return std::nullopt;
        }
        numbers.push_back(value.get<std::uint64_t>());
    }
    return numbers;
}

result<quarantine_record> read_crash(json const& object,
                                     std::chrono::milliseconds age)
{
    auto const crash = read_number(object, "crash");
    if (!crash) {
        return field_error("crash", "an unsigned integer");
    }
    auto const server = object.find("backend_server");
    if (server == object.end() || !server->is_string()) {
        return field_error("backend_server", "a string");
    }
    auto running = read_numbers(object, "running");
    if (!running) {
        return field_error("running", "at most 4096 unsigned integers");
    }
    auto suspected = read_numbers(object, "suspected");
    if (!suspected) {
        return field_error("suspected", "at most 4096 unsigned integers");
    }
    return quarantine_record{crash_report{*crash, server->get<std::string>(),
                                          std::move(*running),
                                          std::move(*suspected), age}};
}

result<quarantine_record> read_clearance(json const& object,
                                         std::chrono::milliseconds age)
{
    auto const fingerprint = read_number(object, "fingerprint");
    if (!fingerprint) {
        return field_error("fingerprint", "an unsigned integer");
    }
    auto crashes = read_numbers(object, "crashes");
    if (!crashes) {
        return field_error("crashes", "at most 4096 unsigned integers");
    }
    return quarantine_record{clearance{*fingerprint, std::move(*crashes), age}};
}

} // namespace

request_fingerprint fingerprint_of(std::string_view organisation,
                                   std::string_view body)
{
    return hash64(body, hash64(organisation));
}

json to_json(quarantine_record const& record)
{
    return std::visit([](auto const& value) { return write_record(value); },
                      record);
}

result<quarantine_record> parse_quarantine_record(json const& object)
{
    if (!object.is_object()) {
        return field_error("record", "an object");
    }
    auto const age = read_number(object, "age_ms");
    constexpr std::uint64_t longest_ms = 1'000'000'000;
    if (!age || *age > longest_ms) {
        return field_error("age_ms", "an integer from 0 to 1000000000");
    }
    auto const kind = object.find("kind");
    if (kind != object.end() && *kind == "crash") {
        return read_crash(object, std::chrono::milliseconds{*age});
    }
    if (kind != object.end() && *kind == "clearance") {
        return read_clearance(object, std::chrono::milliseconds{*age});
    }
    return field_error("kind", "\"crash\" or \"clearance\"");
}

} // namespace medlarstall::routing
