#include <medlarstall/duty/usage_state.hpp>

#include <medlarstall/support/json_text.hpp>

#include <nlohmann/json.hpp>

#include <vector>

namespace medlarstall::duty {

namespace {

using json = nlohmann::json;

/// Maps values to their indexes in a list that is written once.
template<class Value>
using index_map = std::map<Value, std::size_t>;

template<class Value>
json keys_of(index_map<Value>& indexes)
{
    auto list = json::array();
    for (auto& [value, index] : indexes) {
        index = list.size();
        list.push_back(value);
    }
    return list;
}

void add_names(index_map<std::string>& names, organisation_counts const& counts)
{
    for (auto const& [organisation, count] : counts) {
        names.emplace(organisation, 0);
    }
}

/// \return the window and its counts, as an index and a count in turn
json fixed_to_json(std::uint64_t window, organisation_counts const& counts,
                   index_map<std::string> const& names)
{
    auto row = json::array({window});
    for (auto const& [organisation, count] : counts) {
        row.push_back(names.at(organisation));
        row.push_back(count);
    }
    return row;
}

/// \return the window and the counts of each counter and organisation, in the
///     order of the lists, so that they need no keys
json open_to_json(std::uint64_t window,
                  usage_ledger::window_counts const& counts,
                  index_map<counter_id> const& counters,
                  index_map<std::string> const& names)
{
    std::vector<std::uint64_t> cells(counters.size() * names.size());
    for (auto const& [counter, row] : counts) {
        for (auto const& [organisation, count] : row) {
            cells.at(counters.at(counter) * names.size() +
                     names.at(organisation)) = count;
        }
    }
    auto list = json::array({window});
    for (auto const count : cells) {
        list.push_back(count);
    }
    return list;
}

organisation_counts fixed_from_json(json const& row,
                                    std::vector<std::string> const& names)
{
    organisation_counts counts;
    for (std::size_t at = 1; at + 1 < row.size(); at += 2) {
        auto const index = row.at(at).get<std::size_t>();
        if (index < names.size()) {
            counts[names.at(index)] = row.at(at + 1).get<std::uint64_t>();
        }
    }
    return counts;
}

usage_ledger::window_counts
open_from_json(json const& row, std::vector<counter_id> const& counters,
               std::vector<std::string> const& names)
{
    usage_ledger::window_counts counts;
    for (std::size_t at = 1; at < row.size(); ++at) {
        auto const cell = at - 1;
        auto const count = row.at(at).get<std::uint64_t>();
        if (count > 0 && cell < counters.size() * names.size()) {
            counts[counters.at(cell / names.size())]
                  [names.at(cell % names.size())] = count;
        }
    }
    return counts;
}

usage_state state_from_json(json const& value)
{
    usage_state state;
    state.closed_before = value.at("c").get<std::uint64_t>();
    auto const names = value.at("o").get<std::vector<std::string>>();
    auto const counters = value.at("i").get<std::vector<counter_id>>();
    for (auto const& row : value.at("f")) {
        state.fixed[row.at(0).get<std::uint64_t>()] =
            fixed_from_json(row, names);
    }
    for (auto const& row : value.at("r")) {
        state.open[row.at(0).get<std::uint64_t>()] =
            open_from_json(row, counters, names);
    }
    return state;
}

} // namespace

std::string encode(usage_state const& state)
{
    index_map<std::string> names;
    index_map<counter_id> counters;
    for (auto const& [window, counts] : state.fixed) {
        add_names(names, counts);
    }
    for (auto const& [window, rows] : state.open) {
        for (auto const& [counter, counts] : rows) {
            counters.emplace(counter, 0);
            add_names(names, counts);
        }
    }
    json value{{"c", state.closed_before},
               {"o", keys_of(names)},
               {"i", keys_of(counters)},
               {"f", json::array()},
               {"r", json::array()}};
    for (auto const& [window, counts] : state.fixed) {
        value["f"].push_back(fixed_to_json(window, counts, names));
    }
    for (auto const& [window, rows] : state.open) {
        value["r"].push_back(open_to_json(window, rows, counters, names));
    }
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

result<usage_state> decode_usage_state(std::string_view bytes)
{
    auto const value = parse_cbor(bytes);
    if (failed(value)) {
        return error{"usage state", "is not CBOR: " + error_of(value).message};
    }
    try {
        return state_from_json(value_of(value));
    } catch (json::exception const& failure) {
        return error{"usage state", failure.what()};
    }
}

} // namespace medlarstall::duty
