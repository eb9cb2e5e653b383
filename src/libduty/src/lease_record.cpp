#include <medlarstall/duty/lease_record.hpp>

#include <medlarstall/support/json_text.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace medlarstall::duty {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

/// Longer times are of no use, and would overflow.
constexpr std::int64_t max_held_ms = 1000LL * 3600 * 24 * 365;
/// A higher token could not be increased any more.
constexpr fencing_token max_token = std::numeric_limits<std::int64_t>::max();

json bytes_to_json(std::string const& bytes)
{
    return json::binary({bytes.begin(), bytes.end()});
}

std::string bytes_from_json(json const& value)
{
    auto const& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

duty_states states_from_json(json const& value)
{
    duty_states states;
    for (auto const& [name, state] : value.items()) {
        states[name] = bytes_from_json(state);
    }
    return states;
}

lease_record record_from_json(json const& value)
{
    lease_record record;
    record.token = value.at("t").get<fencing_token>();
    record.holder = value.at("h").get<std::string>();
    // A record of another version may lack the fields below.
    record.incarnation = value.value("i", std::uint64_t{0});
    record.write = value.value("w", std::uint64_t{0});
    record.previous_holder = value.value("p", std::string{});
    record.held = milliseconds{std::clamp<std::int64_t>(
        value.value("d", std::int64_t{0}), 0, max_held_ms)};
    record.released = value.value("r", false);
    record.era = value.value("e", std::uint64_t{0});
    // Older versions do not write this field. Their first write repeats the
    // states of the record before, and later ones hold their own.
    auto const has_own_states = record.held > milliseconds{0};
    record.states_era =
        value.value("se", has_own_states ? record.era : std::uint64_t{0});
    record.states = states_from_json(value.value("s", json::object()));
    return record;
}

} // namespace

std::string encode(lease_record const& record)
{
    auto states = json::object();
    for (auto const& [name, state] : record.states) {
        states[name] = bytes_to_json(state);
    }
    json const value{{"t", record.token},           {"h", record.holder},
                     {"i", record.incarnation},     {"w", record.write},
                     {"p", record.previous_holder}, {"d", record.held.count()},
                     {"r", record.released},        {"e", record.era},
                     {"se", record.states_era},     {"s", std::move(states)}};
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

result<lease_record> decode_lease_record(std::string_view bytes)
{
    auto const value = parse_cbor(bytes);
    if (failed(value)) {
        return error{"lease", "is not CBOR: " + error_of(value).message};
    }
    try {
        auto record = record_from_json(value_of(value));
        if (record.holder.empty() || record.token > max_token) {
            return error{"lease", "has no holder or an invalid token"};
        }
        return record;
    } catch (json::exception const& failure) {
        return error{"lease", failure.what()};
    }
}

} // namespace medlarstall::duty
