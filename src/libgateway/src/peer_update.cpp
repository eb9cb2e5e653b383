#include <medlarstall/gateway/peer_update.hpp>

#include <medlarstall/support/json_text.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace medlarstall::gateway {

namespace {

using json = nlohmann::json;

std::string to_bytes(json const& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

/// Fractions are sent as integer multiples of this unit, which take fewer
/// bytes.
constexpr double fraction_unit = 0.01;

std::int64_t to_fraction_units(double fraction)
{
    return std::lround(fraction / fraction_unit);
}

json load_to_json(dispatch::server_load_entry const& note)
{
    return json::array({note.backend_server,
                        static_cast<std::int64_t>(note.load.in_flight),
                        static_cast<std::int64_t>(note.load.prefill_tokens),
                        static_cast<std::int64_t>(note.load.memory_tokens),
                        to_fraction_units(note.load.pause_sensitivity_sum),
                        to_fraction_units(note.load.long_prefill_share)});
}

dispatch::server_load_entry load_from_json(json const& value)
{
    dispatch::server_load_entry note;
    note.backend_server = value.at(0).get<std::string>();
    note.load.in_flight = value.at(1).get<double>();
    note.load.prefill_tokens = value.at(2).get<double>();
    note.load.memory_tokens = value.at(3).get<double>();
    note.load.pause_sensitivity_sum = value.at(4).get<double>() * fraction_unit;
    note.load.long_prefill_share = value.at(5).get<double>() * fraction_unit;
    return note;
}

json position_to_json(store_position const& position)
{
    return json::array({position.era, position.offset});
}

store_position position_from_json(json const& value)
{
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

/// Ages beyond it are as good as unknown, and longer ones would overflow.
constexpr std::chrono::hours max_age{1};

/// \return a length of time in milliseconds that a peer has sent
std::chrono::milliseconds age_from_json(json const& value)
{
    auto const sent = value.get<std::int64_t>();
    return std::clamp<std::chrono::milliseconds>(
        std::chrono::milliseconds{sent}, std::chrono::milliseconds{0}, max_age);
}

json leaving_to_json(dispatch::leave_notice const& note)
{
    return json::array({note.backend_server, note.started_unix_ms});
}

json rate_limit_to_json(dispatch::rate_limit_notice const& note)
{
    auto const limit =
        note.requests_per_second ? json(*note.requests_per_second) : json();
    return json::array(
        {note.backend_server, note.started_unix_ms, limit, note.age.count()});
}

dispatch::rate_limit_notice rate_limit_from_json(json const& value)
{
    dispatch::rate_limit_notice note;
    note.backend_server = value.at(0).get<std::string>();
    note.started_unix_ms = value.at(1).get<std::int64_t>();
    if (!value.at(2).is_null()) {
        note.requests_per_second = value.at(2).get<double>();
    }
    note.age = std::chrono::milliseconds{value.at(3).get<std::int64_t>()};
    return note;
}

json prompt_to_json(sent_prompt_parts const& note)
{
    auto parts = json::array();
    for (auto const& part : note.parts) {
        parts.push_back(part.id);
        parts.push_back(part.tokens);
    }
    auto value = json::array({note.backend_server, std::move(parts)});
    if (note.started_unix_ms) {
        value.push_back(*note.started_unix_ms);
    }
    return value;
}

sent_prompt_parts prompt_from_json(json const& value)
{
    sent_prompt_parts note{value.at(0).get<std::string>(), {}, std::nullopt};
    auto const& parts = value.at(1);
    for (std::size_t index = 0; index + 1 < parts.size(); index += 2) {
        note.parts.push_back({parts.at(index).get<std::uint64_t>(),
                              parts.at(index + 1).get<std::uint32_t>()});
    }
    if (value.size() > 2) { // Daemons of an older version send no more.
        note.started_unix_ms = value.at(2).get<std::int64_t>();
    }
    return note;
}

json crash_to_json(dispatch::crash_report const& note)
{
    return json::array({note.request, note.backend_server, note.crash_id,
                        note.age.count(), note.parts});
}

dispatch::crash_report crash_from_json(json const& value)
{
    dispatch::crash_report note;
    note.request = value.at(0).get<std::uint64_t>();
    note.backend_server = value.at(1).get<std::string>();
    note.crash_id = value.at(2).get<std::uint64_t>();
    if (value.size() > 4) { // Daemons of an older version send no more.
        note.age = std::chrono::milliseconds{value.at(3).get<std::uint32_t>()};
        note.parts = value.at(4).get<dispatch::part_ids>();
    }
    return note;
}

json blame_to_json(dispatch::part_blame const& note)
{
    return json::array({note.part, note.crashes, note.age.count()});
}

dispatch::part_blame blame_from_json(json const& value)
{
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::size_t>(),
            std::chrono::milliseconds{value.at(2).get<std::uint32_t>()}};
}

json sound_to_json(dispatch::sound_part const& note)
{
    return json::array(
        {note.part, note.age ? json(note.age->count()) : json()});
}

dispatch::sound_part sound_from_json(json const& value)
{
    dispatch::sound_part note{value.at(0).get<std::uint64_t>(), std::nullopt};
    if (!value.at(1).is_null()) {
        note.age = std::chrono::milliseconds{value.at(1).get<std::uint32_t>()};
    }
    return note;
}

json release_to_json(dispatch::software_release const& release)
{
    return json::array({release.service, release.version});
}

dispatch::software_release release_from_json(json const& value)
{
    return {value.at(0).get<std::string>(), value.at(1).get<std::string>()};
}

json unidentified_to_json(unidentified_stream const& stream)
{
    return json::array({stream.id, stream.service});
}

unidentified_stream unidentified_from_json(json const& value)
{
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::string>()};
}

dispatch::stream_origin_record origins_from_json(json const& value)
{
    dispatch::stream_origin_record record;
    for (auto const& item : value.at("releases")) {
        record.releases.push_back(release_from_json(item));
    }
    auto const& streams = value.at("streams");
    for (std::size_t index = 0; index + 1 < streams.size(); index += 2) {
        record.streams.push_back({streams.at(index).get<std::uint64_t>(),
                                  streams.at(index + 1).get<std::uint32_t>()});
    }
    if (auto const found = value.find("lifetime"); found != value.end()) {
        record.lifetime = std::chrono::milliseconds{found->get<std::int64_t>()};
    }
    if (auto const found = value.find("era"); found != value.end()) {
        record.era = found->get<std::uint64_t>();
    }
    record.is_whole = value.value("whole", false);
    return record;
}

json report_to_json(dispatch::server_report const& report)
{
    return json::array({report.backend_server, report.started_unix_ms,
                        static_cast<int>(report.kind), report.age.count()});
}

/// \return the report; empty if it is of a kind that is not known yet
std::optional<dispatch::server_report> report_from_json(json const& value)
{
    auto const kind = value.at(2).get<int>();
    if (kind < static_cast<int>(dispatch::report_kind::refused) ||
        kind > static_cast<int>(dispatch::report_kind::back)) {
        return std::nullopt;
    }
    return dispatch::server_report{
        value.at(0).get<std::string>(), value.at(1).get<std::int64_t>(),
        static_cast<dispatch::report_kind>(kind), age_from_json(value.at(3))};
}

json read_to_json(std::optional<announced_read> const& read)
{
    return read ? json::array(
                      {read->end.era, read->end.offset, read->age.count()})
                : json();
}

std::optional<announced_read> read_from_json(json const& value)
{
    if (value.is_null()) {
        return std::nullopt;
    }
    return announced_read{position_from_json(value),
                          age_from_json(value.at(2))};
}

json lease_to_json(duty::lease_notice const& notice)
{
    return json::array(
        {notice.token, notice.holder, notice.age.count(), notice.released});
}

std::optional<duty::lease_notice> lease_from_json(json const& value)
{
    if (value.is_null()) {
        return std::nullopt;
    }
    return duty::lease_notice{
        value.at(0).get<duty::fencing_token>(), value.at(1).get<std::string>(),
        age_from_json(value.at(2)), value.at(3).get<bool>()};
}

/// The organisations are listed once, and each row has a count for each.
json usage_to_json(duty::usage_note const& note)
{
    std::set<std::string> names;
    for (auto const& row : note.rows) {
        for (auto const& [organisation, count] : row.counts) {
            names.insert(organisation);
        }
    }
    auto rows = json::array();
    for (auto const& row : note.rows) {
        auto cells = json::array({row.window});
        for (auto const& name : names) {
            auto const found = row.counts.find(name);
            cells.push_back(found == row.counts.end() ? 0 : found->second);
        }
        rows.push_back(std::move(cells));
    }
    return {{"c", note.closed_before}, {"o", names}, {"r", std::move(rows)}};
}

duty::usage_note usage_from_json(json const& value)
{
    duty::usage_note note;
    note.closed_before = value.at("c").get<std::uint64_t>();
    auto const names = value.at("o").get<std::vector<std::string>>();
    for (auto const& cells : value.at("r")) {
        duty::usage_row row{cells.at(0).get<std::uint64_t>(), {}};
        auto const count = std::min(names.size(), cells.size() - 1);
        for (std::size_t at = 0; at < count; ++at) {
            auto const number = cells.at(at + 1).get<std::uint64_t>();
            if (number > 0) {
                row.counts[names[at]] = number;
            }
        }
        note.rows.push_back(std::move(row));
    }
    return note;
}

/// Reads what a daemon that counts requests adds to its updates.
void read_usage(json const& value, peer_update& update)
{
    if (auto const wall = value.value("wc", json()); !wall.is_null()) {
        update.wall_clock = duty::wall_time{
            std::chrono::milliseconds{wall.get<std::int64_t>()}};
    }
    if (auto const usage = value.value("us", json()); !usage.is_null()) {
        update.usage = usage_from_json(usage);
    }
}

template<class Item, class Convert>
json list_to_json(std::vector<Item> const& items, Convert convert)
{
    auto list = json::array();
    for (auto const& item : items) {
        list.push_back(convert(item));
    }
    return list;
}

/// \return the capacity, or 0 if it is missing or no positive number
double capacity_from_json(json const& value)
{
    constexpr double max_capacity = 1e6; // Far beyond any instance.
    auto const capacity = value.is_number() ? value.get<double>() : 0.0;
    return capacity > 0 ? std::min(capacity, max_capacity) : 0.0;
}

peer_update update_from_json(json const& value)
{
    peer_update update;
    update.daemon = value.at("d").get<std::string>();
    update.incarnation = value.at("i").get<std::uint64_t>();
    update.sequence = value.at("n").get<std::uint64_t>();
    update.entry_address = value.at("a").get<std::string>();
    update.ready = value.at("r").get<bool>();
    update.reads_store = value.at("s").get<bool>();
    update.configuration_version = value.at("v").get<std::uint64_t>();
    update.configuration = position_from_json(value.at("c"));
    update.servers = position_from_json(value.at("b"));
    update.significant_servers = position_from_json(value.at("m"));
    update.members = position_from_json(value.at("e"));
    update.servers_read = read_from_json(value.value("y", json()));
    update.configuration_read = read_from_json(value.value("j", json()));
    if (auto const steady = value.value("o", json()); !steady.is_null()) {
        update.store_steady_for = age_from_json(steady);
    }
    for (auto const& item : value.at("g")) {
        update.leaving.push_back(
            {item.at(0).get<std::string>(), item.at(1).get<std::int64_t>()});
    }
    // Daemons of an older version send none.
    for (auto const& item : value.value("q", json::array())) {
        update.rate_limits.push_back(rate_limit_from_json(item));
    }
    for (auto const& item : value.at("l")) {
        update.loads.push_back(load_from_json(item));
    }
    for (auto const& item : value.at("p")) {
        update.prompts.push_back(prompt_from_json(item));
    }
    for (auto const& item : value.at("x")) {
        update.crashes.push_back(crash_from_json(item));
    }
    for (auto const& item : value.value("f", json::array())) {
        update.blamed_parts.push_back(blame_from_json(item));
    }
    for (auto const& item : value.value("k", json::array())) {
        update.sound_parts.push_back(sound_from_json(item));
    }
    update.reached_services = value.value("h", std::vector<std::string>{});
    for (auto const& item : value.value("rs", json::array())) {
        if (auto const report = report_from_json(item)) {
            update.server_reports.push_back(*report);
        }
    }
    for (auto const& item : value.value("u", json::array())) {
        update.releases.push_back(release_from_json(item));
    }
    for (auto const& item : value.value("w", json::array())) {
        update.unidentified_streams.push_back(unidentified_from_json(item));
    }
    update.open_streams = value.value("z", std::vector<std::uint64_t>{});
    update.lease = lease_from_json(value.value("le", json()));
    update.entry_capacity = capacity_from_json(value.value("ca", json()));
    read_usage(value, update);
    return update;
}

record_page page_from_json(json const& value)
{
    record_page page;
    page.next_offset = value.at("next").get<std::uint64_t>();
    page.is_snapshot = value.at("whole").get<bool>();
    page.era = value.at("era").get<std::uint64_t>();
    for (auto const& item : value.at("records")) {
        record decoded{item.at(0).get<std::string>(), std::nullopt,
                       item.at(2).get<std::uint64_t>()};
        if (!item.at(1).is_null()) {
            decoded.value = item.at(1).get<std::string>();
        }
        if (item.size() > 4) { // Daemons of an older version send no more.
            decoded.read = record_read{item.at(3).get<std::string>(),
                                       age_from_json(item.at(4))};
        }
        page.records.push_back(std::move(decoded));
    }
    return page;
}

/// Parses CBOR and converts it with a function that may throw on missing or
/// mistyped fields.
template<class Value, class Convert>
result<Value> decode(std::string_view bytes, char const* what, Convert convert)
{
    auto const value = parse_cbor(bytes);
    if (failed(value)) {
        return error{what, "is not CBOR: " + error_of(value).message};
    }
    try {
        return convert(value_of(value));
    } catch (json::exception const& failure) {
        return error{what, failure.what()};
    }
}

} // namespace

std::string encode(peer_update const& update)
{
    json value(
        {{"d", update.daemon},
         {"i", update.incarnation},
         {"n", update.sequence},
         {"a", update.entry_address},
         {"r", update.ready},
         {"s", update.reads_store},
         {"v", update.configuration_version},
         {"c", position_to_json(update.configuration)},
         {"b", position_to_json(update.servers)},
         {"m", position_to_json(update.significant_servers)},
         {"e", position_to_json(update.members)},
         {"y", read_to_json(update.servers_read)},
         {"j", read_to_json(update.configuration_read)},
         {"o", update.store_steady_for ? json(update.store_steady_for->count())
                                       : json()},
         {"g", list_to_json(update.leaving, leaving_to_json)},
         {"q", list_to_json(update.rate_limits, rate_limit_to_json)},
         {"l", list_to_json(update.loads, load_to_json)},
         {"p", list_to_json(update.prompts, prompt_to_json)},
         {"x", list_to_json(update.crashes, crash_to_json)},
         {"f", list_to_json(update.blamed_parts, blame_to_json)},
         {"k", list_to_json(update.sound_parts, sound_to_json)},
         {"h", update.reached_services},
         {"z", update.open_streams},
         {"ca", std::lround(update.entry_capacity)},
         {"u", list_to_json(update.releases, release_to_json)},
         {"w",
          list_to_json(update.unidentified_streams, unidentified_to_json)}});
    if (update.lease) {
        value["le"] = lease_to_json(*update.lease);
    }
    if (update.wall_clock) {
        value["wc"] = update.wall_clock->time_since_epoch().count();
    }
    if (update.usage) {
        value["us"] = usage_to_json(*update.usage);
    }
    if (!update.server_reports.empty()) {
        value["rs"] = list_to_json(update.server_reports, report_to_json);
    }
    return to_bytes(value);
}

result<peer_update> decode_peer_update(std::string_view bytes)
{
    return decode<peer_update>(bytes, "news", update_from_json);
}

// Updates are CBOR maps, so that an array is told from one by its first byte.
std::string encode_collected_usage(std::string const& collected)
{
    return to_bytes(json::array({"us", collected}));
}

std::optional<std::string> decode_collected_usage(std::string_view bytes)
{
    constexpr char array_of_two = '\x82';
    if (bytes.empty() || bytes.front() != array_of_two) {
        return std::nullopt;
    }
    auto const read =
        decode<std::string>(bytes, "collected usage", [](json const& value) {
            return value.at(0) == "us" ? value.at(1).get<std::string>()
                                       : std::string{};
        });
    return failed(read) ? std::nullopt : std::optional{value_of(read)};
}

std::string encode(std::vector<dispatch::server_prompt_parts> const& kept)
{
    return to_bytes(list_to_json(kept, prompt_to_json));
}

result<std::vector<dispatch::server_prompt_parts>>
decode_kept_parts(std::string_view bytes)
{
    using list = std::vector<dispatch::server_prompt_parts>;
    return decode<list>(bytes, "kept parts", [](json const& value) {
        list decoded;
        for (auto const& item : value) {
            decoded.push_back(prompt_from_json(item));
        }
        return decoded;
    });
}

std::string encode(dispatch::stream_origin_record const& record)
{
    auto streams = json::array();
    for (auto const& stream : record.streams) {
        streams.push_back(stream.id);
        streams.push_back(stream.release);
    }
    json encoded = {
        {"releases", list_to_json(record.releases, release_to_json)},
        {"streams", std::move(streams)}};
    if (record.lifetime) {
        encoded["lifetime"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                *record.lifetime)
                .count();
    }
    if (record.era) {
        encoded["era"] = *record.era;
        encoded["whole"] = record.is_whole;
    }
    return to_bytes(encoded);
}

result<dispatch::stream_origin_record>
decode_stream_origins(std::string_view bytes)
{
    return decode<dispatch::stream_origin_record>(bytes, "stream origins",
                                                  origins_from_json);
}

std::string encode(record_page const& page)
{
    auto const record_to_json = [](record const& item) {
        auto const value = item.value ? json(*item.value) : json();
        auto encoded = json::array({item.key, value, item.offset});
        if (item.read) {
            encoded.push_back(item.read->reader);
            encoded.push_back(item.read->age.count());
        }
        return encoded;
    };
    return to_bytes({{"next", page.next_offset},
                     {"whole", page.is_snapshot},
                     {"era", page.era},
                     {"records", list_to_json(page.records, record_to_json)}});
}

result<record_page> decode_record_page(std::string_view bytes)
{
    return decode<record_page>(bytes, "records", page_from_json);
}

} // namespace medlarstall::gateway
