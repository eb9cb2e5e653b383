#include <medlarstall/membership/heartbeat.hpp>

#include "array_reader.hpp"

namespace medlarstall::membership {

namespace {

using nlohmann::json;

/// Upper limit for the length of a list in a message, against malformed
/// messages.
constexpr std::size_t max_list_items = 100'000;

json encode(link_report const& report)
{
    return json::array({report.reporter, report.incarnation, report.version,
                        report.broken_links, report.extra_links});
}

json encode(leaving_notice const& notice)
{
    return json::array({notice.backend_server, notice.epoch, notice.leaving});
}

json encode(quarantine_notice const& notice)
{
    return json::array({notice.id, notice.version, notice.record});
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

result<link_report> decode_link_report(json const& value)
{
    array_reader reader{value, 5};
    link_report report;
    report.reporter = reader.text();
    report.incarnation = reader.number();
    report.version = reader.number();
    report.broken_links = reader.text_list(max_list_items);
    report.extra_links = reader.text_list(max_list_items);
    if (!reader.ok()) {
        return reader.make_error("link report");
    }
    return report;
}

result<leaving_notice> decode_leaving_notice(json const& value)
{
    array_reader reader{value, 3};
    leaving_notice notice;
    notice.backend_server = reader.text();
    notice.epoch = reader.number();
    notice.leaving = reader.boolean();
    if (!reader.ok()) {
        return reader.make_error("leaving notice");
    }
    return notice;
}

result<quarantine_notice> decode_quarantine_notice(json const& value)
{
    array_reader reader{value, 3};
    quarantine_notice notice;
    notice.id = reader.text();
    notice.version = reader.number();
    notice.record = reader.next_item();
    if (!reader.ok()) {
        return reader.make_error("quarantine notice");
    }
    return notice;
}

} // namespace

json to_json(heartbeat const& message)
{
    return json::array({message.from, message.incarnation, message.sequence,
                        message.received_sequence, message.catalogue_offset,
                        message.catalogue_chain_digest, message.reports_hash,
                        message.link_needed, encode_all(message.link_reports),
                        encode_all(message.leaving_notices),
                        encode_all(message.quarantine_notices)});
}

result<heartbeat> parse_heartbeat(json const& value)
{
    array_reader reader{value, 11};
    heartbeat message;
    message.from = reader.text();
    message.incarnation = reader.number();
    message.sequence = reader.number();
    message.received_sequence = reader.number();
    message.catalogue_offset = reader.number();
    message.catalogue_chain_digest = reader.text();
    message.reports_hash = reader.number();
    message.link_needed = reader.boolean();
    message.link_reports =
        reader.list<link_report>(max_list_items, decode_link_report);
    message.leaving_notices =
        reader.list<leaving_notice>(max_list_items, decode_leaving_notice);
    message.quarantine_notices = reader.list<quarantine_notice>(
        max_list_items, decode_quarantine_notice);
    if (!reader.ok()) {
        return reader.make_error("heartbeat");
    }
    return message;
}

} // namespace medlarstall::membership
