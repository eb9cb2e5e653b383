#include <medlarstall/membership/heartbeat.hpp>

#include "array_reader.hpp"

namespace medlarstall::membership {

namespace {

using nlohmann::json;

constexpr std::size_t most_items = 100'000;

json write(link_report const& report)
{
    return json::array({report.reporter, report.incarnation, report.version,
                        report.broken, report.extra});
}

json write(leaving_notice const& notice)
{
    return json::array({notice.backend_server, notice.epoch, notice.leaving});
}

json write(quarantine_notice const& notice)
{
    return json::array({notice.id, notice.version, notice.record});
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

result<link_report> read_report(json const& value)
{
    array_reader reader{value, 5};
    link_report report;
    report.reporter = reader.text();
    report.incarnation = reader.number();
    report.version = reader.number();
    report.broken = reader.texts(most_items);
    report.extra = reader.texts(most_items);
    if (!reader.sound()) {
        return reader.failure("link report");
    }
    return report;
}

result<leaving_notice> read_notice(json const& value)
{
    array_reader reader{value, 3};
    leaving_notice notice;
    notice.backend_server = reader.text();
    notice.epoch = reader.number();
    notice.leaving = reader.boolean();
    if (!reader.sound()) {
        return reader.failure("leaving notice");
    }
    return notice;
}

result<quarantine_notice> read_quarantine(json const& value)
{
    array_reader reader{value, 3};
    quarantine_notice notice;
    notice.id = reader.text();
    notice.version = reader.number();
    notice.record = reader.item();
    if (!reader.sound()) {
        return reader.failure("quarantine notice");
    }
    return notice;
}

} // namespace

json to_json(heartbeat const& message)
{
    return json::array(
        {message.from, message.incarnation, message.sequence, message.heard,
         message.catalogue_offset, message.catalogue_chain,
         message.reports_hash, message.wanted, write_all(message.reports),
         write_all(message.leaving), write_all(message.quarantine)});
}

result<heartbeat> parse_heartbeat(json const& value)
{
    array_reader reader{value, 11};
    heartbeat message;
    message.from = reader.text();
    message.incarnation = reader.number();
    message.sequence = reader.number();
    message.heard = reader.number();
    message.catalogue_offset = reader.number();
    message.catalogue_chain = reader.text();
    message.reports_hash = reader.number();
    message.wanted = reader.boolean();
    message.reports = reader.list<link_report>(most_items, read_report);
    message.leaving = reader.list<leaving_notice>(most_items, read_notice);
    message.quarantine =
        reader.list<quarantine_notice>(most_items, read_quarantine);
    if (!reader.sound()) {
        return reader.failure("heartbeat");
    }
    return message;
}

} // namespace medlarstall::membership
