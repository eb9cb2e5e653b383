#include <medlarstall/catalogue/record_codec.hpp>

#include <medlarstall/catalogue/catalogue_writer.hpp>
#include <medlarstall/catalogue/entry_reader.hpp>
#include <medlarstall/catalogue/limits.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/json_text.hpp>
#include <medlarstall/support/object_reader.hpp>
#include <medlarstall/support/uuid.hpp>

#include <utility>

namespace medlarstall::catalogue {

namespace {

using nlohmann::json;

// Values of the kind field of a record.
constexpr char change_kind[] = "change";
constexpr char checkpoint_kind[] = "checkpoint";

/// \return SHA-256, in hex, of the record without its digest field
std::string digest_of(json record)
{
    record.erase("digest");
    return sha256_hex(canonical_json(record));
}

void read_put(object_reader& reader, edit& parsed,
              std::optional<error>& failure)
{
    auto const* object = reader.find_field("put");
    if (object == nullptr || failure) {
        return;
    }
    auto entry = entry_reader{}.read(parsed.kind, parsed.name, *object,
                                     reader.path_of("put"));
    if (failed(entry)) {
        failure = error_of(entry);
        return;
    }
    parsed.put = std::move(value_of(entry));
}

edit read_edit(json const& object, std::string const& path,
               std::optional<error>& failure)
{
    object_reader reader{object, path, failure};
    edit parsed;
    std::string table;
    bool remove = false;
    reader.require("table");
    reader.require("name");
    reader.require("expected");
    reader.read("table", table, text_format::free_text);
    reader.read("name", parsed.name, text_format::name);
    reader.read("expected", parsed.expected);
    reader.read("delete", remove);
    auto const kind = parse_entry_kind(table);
    if (failed(kind)) {
        reader.record_error(reader.path_of("table"), error_of(kind).message);
        return parsed;
    }
    parsed.kind = value_of(kind);
    read_put(reader, parsed, failure);
    if (remove == parsed.put.has_value()) {
        reader.record_error(path, "must have either put or \"delete\": true");
    }
    reader.reject_unknown_fields();
    return parsed;
}

void check_unique_entries(change const& value, std::string const& path,
                          std::optional<error>& failure)
{
    std::set<std::pair<entry_kind, std::string>> seen;
    for (auto const& item : value.edits) {
        if (!seen.emplace(item.kind, item.name).second && !failure) {
            failure = error{path, "'" + item.name +
                                      "'; an entry must not appear twice"};
        }
    }
}

void read_anchor(object_reader& parent, change& value,
                 std::optional<error>& failure)
{
    auto const* object = parent.find_field("anchor");
    if (object == nullptr) {
        return;
    }
    object_reader reader{*object, parent.path_of("anchor"), failure};
    catalogue_version anchor;
    reader.require("offset");
    reader.require("chain");
    reader.read("offset", anchor.offset);
    reader.read("chain", anchor.chain_digest, text_format::sha256_hex);
    reader.reject_unknown_fields();
    value.anchor = std::move(anchor);
}

change read_change_fields(object_reader& reader, std::optional<error>& failure)
{
    change value;
    reader.require("id");
    reader.require("edits");
    reader.read("id", value.id, text_format::free_text);
    reader.read("author", value.author, text_format::path_segment);
    reader.read("author_key_digest", value.author_key_digest,
                text_format::sha256_hex);
    auto const id = parse_uuid(value.id);
    if (failed(id)) {
        reader.record_error(reader.path_of("id"), error_of(id).message);
    } else {
        value.id = to_string(value_of(id));
    }
    read_anchor(reader, value, failure);
    reader.for_each_item(
        "edits", max_edits, [&](json const& item, std::string const& path) {
            value.edits.push_back(read_edit(item, path, failure));
        });
    check_unique_entries(value, reader.path_of("edits"), failure);
    return value;
}

checkpoint_part read_part_fields(object_reader& reader)
{
    checkpoint_part value;
    for (auto const* key :
         {"prefix", "part", "parts", "payload_digest", "payload"}) {
        reader.require(key);
    }
    reader.read("prefix", value.end_offset);
    reader.read("parts", value.part_count,
                range<unsigned>{1, max_checkpoint_parts});
    reader.read("part", value.part_index,
                range<unsigned>{0, value.part_count - 1});
    reader.read("payload_digest", value.payload_digest,
                text_format::sha256_hex);
    auto const* payload = reader.find_field("payload");
    if (payload != nullptr && payload->is_string()) {
        value.payload = payload->get<std::string>();
    } else {
        reader.record_error(reader.path_of("payload"), "must be a string");
    }
    return value;
}

json write_edit(edit const& item)
{
    json object{{"table", table_name(item.kind)},
                {"name", item.name},
                {"expected", item.expected}};
    if (item.put) {
        object["put"] = catalogue_writer{}.to_json(*item.put);
    } else {
        object["delete"] = true;
    }
    return object;
}

json write_part(checkpoint_part const& value)
{
    return {{"prefix", value.end_offset},
            {"part", value.part_index},
            {"parts", value.part_count},
            {"payload_digest", value.payload_digest},
            {"payload", value.payload}};
}

} // namespace

result<record_body> record_reader::read(json const& record) const
{
    std::optional<error> failure;
    object_reader reader{record, "$", failure};
    std::string kind;
    std::string digest;
    reader.require("kind");
    reader.require("digest");
    reader.read("kind", kind, text_format::free_text);
    reader.read("digest", digest, text_format::sha256_hex);
    if (failure) {
        return *failure;
    }
    if (digest != digest_of(record)) {
        return error{"$.digest", "does not match the record"};
    }
    record_body body;
    if (kind == change_kind) {
        body = read_change_fields(reader, failure);
    } else if (kind == checkpoint_kind) {
        body = read_part_fields(reader);
    } else {
        return error{"$.kind", "'" + kind + "'; must be change or checkpoint"};
    }
    reader.reject_unknown_fields();
    if (failure) {
        return *failure;
    }
    return body;
}

result<change> record_reader::read_change(json const& object) const
{
    std::optional<error> failure;
    object_reader reader{object, "$", failure};
    auto value = read_change_fields(reader, failure);
    reader.reject_unknown_fields();
    if (failure) {
        return *failure;
    }
    return value;
}

json record_writer::write(record_body const& body) const
{
    auto const* value = std::get_if<change>(&body);
    auto record = value != nullptr
                      ? write_change(*value)
                      : write_part(std::get<checkpoint_part>(body));
    record["kind"] = value != nullptr ? change_kind : checkpoint_kind;
    record["digest"] = digest_of(record);
    return record;
}

json record_writer::write_change(change const& value) const
{
    json object{{"id", value.id}, {"edits", json::array()}};
    for (auto const& item : value.edits) {
        object["edits"].push_back(write_edit(item));
    }
    if (!value.author.empty()) {
        object["author"] = value.author;
    }
    if (!value.author_key_digest.empty()) {
        object["author_key_digest"] = value.author_key_digest;
    }
    if (value.anchor) {
        object["anchor"] = {{"offset", value.anchor->offset},
                            {"chain", value.anchor->chain_digest}};
    }
    return object;
}

} // namespace medlarstall::catalogue
