#include <medlarstall/membership/tree_message.hpp>

#include "array_reader.hpp"

#include <utility>

namespace medlarstall::membership {

namespace {

using nlohmann::json;

constexpr std::size_t most_items = 100'000;

json write(entry_load const& value)
{
    return json::array({value.daemon, value.incarnation, value.version,
                        value.load, value.draining});
}

json write(in_force_summary const& value)
{
    return json::array({value.data_centre, value.daemons, value.least_offset,
                        value.most_offset, value.chain, value.disagree,
                        value.behind});
}

json write(share_row const& value)
{
    return json::array({value.window, value.organisation, value.service_class,
                        value.counts.tokens, value.counts.requests,
                        value.counts.refused, value.counts.delayed});
}

template<class Item>
json write_all(std::vector<Item> const& items)
{
    json values = json::array();
    for (auto const& item : items) {
        values.push_back(write(item));
    }
    return values;
}

result<entry_load> read_load(json const& value)
{
    array_reader reader{value, 5};
    entry_load load;
    load.daemon = reader.text();
    load.incarnation = reader.number();
    load.version = reader.number();
    auto const level = reader.number();
    load.draining = reader.boolean();
    if (!reader.sound() || level > full_load) {
        return reader.failure("entry load");
    }
    load.load = static_cast<unsigned>(level);
    return load;
}

result<in_force_summary> read_summary(json const& value)
{
    array_reader reader{value, 7};
    in_force_summary summary;
    summary.data_centre = reader.text();
    summary.daemons = static_cast<unsigned>(reader.number());
    summary.least_offset = reader.number();
    summary.most_offset = reader.number();
    summary.chain = reader.text();
    summary.disagree = reader.boolean();
    summary.behind = reader.texts(most_items);
    if (!reader.sound()) {
        return reader.failure("in-force summary");
    }
    return summary;
}

result<share_row> read_row(json const& value)
{
    array_reader reader{value, 7};
    share_row row;
    row.window = reader.number();
    row.organisation = reader.text();
    row.service_class = reader.text();
    row.counts.tokens = reader.number();
    row.counts.requests = reader.number();
    row.counts.refused = reader.number();
    row.counts.delayed = reader.number();
    if (!reader.sound()) {
        return reader.failure("share row");
    }
    return row;
}

} // namespace

share_counts& share_counts::operator+=(share_counts const& other)
{
    tokens += other.tokens;
    requests += other.requests;
    refused += other.refused;
    delayed += other.delayed;
    return *this;
}

json to_json(tree_message const& message)
{
    return json::array(
        {message.incarnation, message.sequence, write_all(message.loads),
         message.part ? write(*message.part) : json{},
         write_all(message.in_force), write_all(message.shares)});
}

result<tree_message> parse_tree_message(json const& value)
{
    array_reader reader{value, 6};
    tree_message message;
    message.incarnation = reader.number();
    message.sequence = reader.number();
    message.loads = reader.list<entry_load>(most_items, read_load);
    auto const& part = reader.item();
    message.in_force = reader.list<in_force_summary>(most_items, read_summary);
    message.shares = reader.list<share_row>(most_items, read_row);
    if (!reader.sound()) {
        return reader.failure("tree message");
    }
    if (!part.is_null()) {
        auto summary = read_summary(part);
        if (failed(summary)) {
            return error_of(summary);
        }
        message.part = std::move(value_of(summary));
    }
    return message;
}

} // namespace medlarstall::membership
