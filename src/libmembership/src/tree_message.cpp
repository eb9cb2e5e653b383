#include <medlarstall/membership/tree_message.hpp>

#include "array_reader.hpp"

#include <utility>

namespace medlarstall::membership {

namespace {

using nlohmann::json;

/// Upper limit for the length of a list in a message, against malformed
/// messages.
constexpr std::size_t max_list_items = 100'000;

json encode(entry_load const& value)
{
    return json::array({value.daemon, value.incarnation, value.version,
                        value.load, value.draining});
}

json encode(in_force_summary const& value)
{
    return json::array({value.data_centre, value.daemon_count, value.min_offset,
                        value.max_offset, value.chain_digest,
                        value.digest_mismatch, value.daemons_behind});
}

json encode(share_row const& value)
{
    return json::array({value.window, value.organisation, value.service_class,
                        value.counts.tokens, value.counts.requests,
                        value.counts.refused, value.counts.delayed});
}

template<class Item>
json encode_all(std::vector<Item> const& items)
{
    json values = json::array();
    for (auto const& item : items) {
        values.push_back(encode(item));
    }
    return values;
}

result<entry_load> decode_load(json const& value)
{
    array_reader reader{value, 5};
    entry_load load;
    load.daemon = reader.text();
    load.incarnation = reader.number();
    load.version = reader.number();
    auto const level = reader.number();
    load.draining = reader.boolean();
    if (!reader.ok() || level > full_load) {
        return reader.make_error("entry load");
    }
    load.load = static_cast<unsigned>(level);
    return load;
}

result<in_force_summary> decode_summary(json const& value)
{
    array_reader reader{value, 7};
    in_force_summary summary;
    summary.data_centre = reader.text();
    summary.daemon_count = static_cast<unsigned>(reader.number());
    summary.min_offset = reader.number();
    summary.max_offset = reader.number();
    summary.chain_digest = reader.text();
    summary.digest_mismatch = reader.boolean();
    summary.daemons_behind = reader.text_list(max_list_items);
    if (!reader.ok()) {
        return reader.make_error("in-force summary");
    }
    return summary;
}

result<share_row> decode_row(json const& value)
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
    if (!reader.ok()) {
        return reader.make_error("share row");
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
        {message.incarnation, message.sequence, encode_all(message.loads),
         message.subtree ? encode(*message.subtree) : json{},
         encode_all(message.in_force), encode_all(message.shares)});
}

result<tree_message> parse_tree_message(json const& value)
{
    array_reader reader{value, 6};
    tree_message message;
    message.incarnation = reader.number();
    message.sequence = reader.number();
    message.loads = reader.list<entry_load>(max_list_items, decode_load);
    auto const& subtree = reader.next_item();
    message.in_force =
        reader.list<in_force_summary>(max_list_items, decode_summary);
    message.shares = reader.list<share_row>(max_list_items, decode_row);
    if (!reader.ok()) {
        return reader.make_error("tree message");
    }
    if (!subtree.is_null()) {
        auto summary = decode_summary(subtree);
        if (failed(summary)) {
            return error_of(summary);
        }
        message.subtree = std::move(value_of(summary));
    }
    return message;
}

} // namespace medlarstall::membership
