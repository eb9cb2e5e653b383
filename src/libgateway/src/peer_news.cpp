#include <medlarstall/gateway/peer_news.hpp>

#include <medlarstall/support/json_text.hpp>

#include <nlohmann/json.hpp>

#include <cmath>

namespace medlarstall::gateway {

namespace {

using json = nlohmann::json;

std::string to_text(json const& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

/// Fractions are sent as whole numbers of this part, which take fewer bytes.
constexpr double fraction_unit = 0.01;

std::int64_t in_units(double fraction)
{
    return std::lround(fraction / fraction_unit);
}

json write_load(dispatch::load_note const& note)
{
    return json::array(
        {note.backend_server, static_cast<std::int64_t>(note.load.in_flight),
         static_cast<std::int64_t>(note.load.prefill_tokens),
         static_cast<std::int64_t>(note.load.memory_tokens),
         in_units(note.load.sensitive), in_units(note.load.reading_share)});
}

dispatch::load_note read_load(json const& value)
{
    dispatch::load_note note;
    note.backend_server = value.at(0).get<std::string>();
    note.load.in_flight = value.at(1).get<double>();
    note.load.prefill_tokens = value.at(2).get<double>();
    note.load.memory_tokens = value.at(3).get<double>();
    note.load.sensitive = value.at(4).get<double>() * fraction_unit;
    note.load.reading_share = value.at(5).get<double>() * fraction_unit;
    return note;
}

json write_position(store_position const& at)
{
    return json::array({at.era, at.offset});
}

store_position read_position(json const& value)
{
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

json write_leaving(dispatch::leaving_note const& note)
{
    return json::array({note.backend_server, note.started_unix_ms});
}

json write_prompt(prompt_note const& note)
{
    auto parts = json::array();
    for (auto const& part : note.parts) {
        parts.push_back(part.id);
        parts.push_back(part.tokens);
    }
    return json::array({note.backend_server, std::move(parts)});
}

prompt_note read_prompt(json const& value)
{
    prompt_note note{value.at(0).get<std::string>(), {}};
    auto const& parts = value.at(1);
    for (std::size_t at = 0; at + 1 < parts.size(); at += 2) {
        note.parts.push_back({parts.at(at).get<std::uint64_t>(),
                              parts.at(at + 1).get<std::uint32_t>()});
    }
    return note;
}

template<class Item, class Write>
json write_all(std::vector<Item> const& items, Write write)
{
    auto list = json::array();
    for (auto const& item : items) {
        list.push_back(write(item));
    }
    return list;
}

peer_news read_news(json const& value)
{
    peer_news news;
    news.daemon = value.at("d").get<std::string>();
    news.incarnation = value.at("i").get<std::uint64_t>();
    news.sequence = value.at("n").get<std::uint64_t>();
    news.entry_address = value.at("a").get<std::string>();
    news.ready = value.at("r").get<bool>();
    news.store_reachable = value.at("s").get<bool>();
    news.configuration_version = value.at("v").get<std::uint64_t>();
    news.configuration = read_position(value.at("c"));
    news.servers = read_position(value.at("b"));
    news.servers_changed = read_position(value.at("m"));
    news.members = read_position(value.at("e"));
    for (auto const& item : value.at("g")) {
        news.leaving.push_back(
            {item.at(0).get<std::string>(), item.at(1).get<std::int64_t>()});
    }
    for (auto const& item : value.at("l")) {
        news.loads.push_back(read_load(item));
    }
    for (auto const& item : value.at("p")) {
        news.prompts.push_back(read_prompt(item));
    }
    for (auto const& item : value.at("x")) {
        news.crashes.push_back({item.at(0).get<std::uint64_t>(),
                                item.at(1).get<std::string>(),
                                item.at(2).get<std::uint64_t>()});
    }
    return news;
}

record_page read_page(json const& value)
{
    record_page page;
    page.next_offset = value.at("next").get<std::uint64_t>();
    page.whole = value.at("whole").get<bool>();
    page.era = value.at("era").get<std::uint64_t>();
    for (auto const& item : value.at("records")) {
        record read{item.at(0).get<std::string>(), std::nullopt,
                    item.at(2).get<std::uint64_t>()};
        if (!item.at(1).is_null()) {
            read.value = item.at(1).get<std::string>();
        }
        page.records.push_back(std::move(read));
    }
    return page;
}

/// Decodes with a reader that may throw on missing or mistyped fields.
template<class Value, class Read>
result<Value> decode(std::string_view bytes, char const* what, Read read)
{
    auto const value = parse_cbor(bytes);
    if (failed(value)) {
        return error{what, "is not CBOR: " + error_of(value).message};
    }
    try {
        return read(value_of(value));
    } catch (json::exception const& failure) {
        return error{what, failure.what()};
    }
}

} // namespace

std::string encode(peer_news const& news)
{
    auto const crash = [](dispatch::crash_note const& note) {
        return json::array({note.request, note.backend_server, note.crash});
    };
    return to_text({{"d", news.daemon},
                    {"i", news.incarnation},
                    {"n", news.sequence},
                    {"a", news.entry_address},
                    {"r", news.ready},
                    {"s", news.store_reachable},
                    {"v", news.configuration_version},
                    {"c", write_position(news.configuration)},
                    {"b", write_position(news.servers)},
                    {"m", write_position(news.servers_changed)},
                    {"e", write_position(news.members)},
                    {"g", write_all(news.leaving, write_leaving)},
                    {"l", write_all(news.loads, write_load)},
                    {"p", write_all(news.prompts, write_prompt)},
                    {"x", write_all(news.crashes, crash)}});
}

result<peer_news> decode_news(std::string_view bytes)
{
    return decode<peer_news>(bytes, "news", read_news);
}

std::string encode(std::vector<dispatch::kept_parts> const& kept)
{
    return to_text(write_all(kept, write_prompt));
}

result<std::vector<dispatch::kept_parts>>
decode_kept_parts(std::string_view bytes)
{
    using list = std::vector<dispatch::kept_parts>;
    return decode<list>(bytes, "kept parts", [](json const& value) {
        list read;
        for (auto const& item : value) {
            read.push_back(read_prompt(item));
        }
        return read;
    });
}

std::string encode(record_page const& page)
{
    auto const item = [](record const& entry) {
        auto const value = entry.value ? json(*entry.value) : json();
        return json::array({entry.key, value, entry.offset});
    };
    return to_text({{"next", page.next_offset},
                    {"whole", page.whole},
                    {"era", page.era},
                    {"records", write_all(page.records, item)}});
}

result<record_page> decode_page(std::string_view bytes)
{
    return decode<record_page>(bytes, "records", read_page);
}

} // namespace medlarstall::gateway
