#include <medlarstall/catalogue/checkpoint.hpp>

#include <medlarstall/catalogue/catalogue_reader.hpp>
#include <medlarstall/catalogue/catalogue_writer.hpp>
#include <medlarstall/catalogue/limits.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/json_text.hpp>
#include <medlarstall/support/object_reader.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::catalogue {

namespace {

using nlohmann::json;

json decided_changes_to_json(catalogue_state const& state)
{
    json items = json::array();
    for (auto const& earlier : state.decided_changes) {
        items.push_back({{"id", earlier.id},
                         {"offset", earlier.offset},
                         {"accepted", earlier.accepted},
                         {"deleted", earlier.deleted}});
    }
    return items;
}

decided_change read_decided_change(json const& item, std::string const& path,
                                   std::optional<error>& failure)
{
    object_reader reader{item, path, failure};
    decided_change earlier;
    reader.require("id");
    reader.read("id", earlier.id, text_format::free_text);
    reader.read("offset", earlier.offset);
    reader.read("accepted", earlier.accepted);
    reader.read("deleted", earlier.deleted, text_format::free_text, max_edits);
    reader.reject_unknown_fields();
    return earlier;
}

bool read_revision(json const& item, revision& at, std::string& changed_by)
{
    if (!item.is_array() || item.size() != 2 || !item[0].is_number_unsigned() ||
        !item[1].is_string()) {
        return false;
    }
    at = item[0].get<revision>();
    changed_by = item[1].get<std::string>();
    return true;
}

/// Sets the revision and the last change of each entry. The document must name
/// exactly the entries of the catalogue.
/// \return the first error, or nothing if all revisions were read
std::optional<error> read_revisions(json const& document, catalogue& entries)
{
    std::optional<error> failure;
    object_reader reader{document, "$.revisions", failure};
    visit_tables(entries, [&](entry_kind kind, auto& table) {
        auto const* object = reader.find_field(table_name(kind));
        auto const path = reader.path_of(table_name(kind));
        if (object == nullptr || !object->is_object() ||
            object->size() != table.size()) {
            reader.record_error(
                path, "must list exactly the entries of the catalogue");
            return;
        }
        for (auto& [name, entry] : table) {
            auto const found = object->find(name);
            if (found == object->end() ||
                !read_revision(*found, entry.at, entry.changed_by)) {
                reader.record_error(std::string{path}.append(".").append(name),
                                    "must be [revision, change id]");
            }
        }
    });
    reader.reject_unknown_fields();
    return failure;
}

} // namespace

std::string write_checkpoint(checkpoint const& value)
{
    catalogue_writer const writer;
    json const document{
        {"offset", value.version.offset},
        {"chain", value.version.chain_digest},
        {"history", value.chain_history},
        {"past", decided_changes_to_json(value.state)},
        {"catalogue", writer.to_json(value.state.entries)},
        {"revisions", writer.revisions_to_json(value.state.entries)}};
    return canonical_json(document);
}

result<checkpoint> read_checkpoint(std::string_view text)
{
    // A checkpoint may be up to 64 MiB long, which is more than the default
    // limit.
    auto const document = parse_json(text, {.max_bytes = 64U << 20U});
    if (failed(document)) {
        return error_of(document);
    }
    std::optional<error> failure;
    object_reader reader{value_of(document), "$", failure};
    for (auto const* key :
         {"offset", "chain", "history", "past", "catalogue", "revisions"}) {
        reader.require(key);
    }
    checkpoint value;
    std::vector<std::string> history;
    reader.read("offset", value.version.offset);
    reader.read("chain", value.version.chain_digest, text_format::sha256_hex);
    reader.read("history", history, text_format::sha256_hex, max_chain_history);
    value.chain_history.assign(history.begin(), history.end());
    reader.for_each_item("past", max_decided_changes,
                         [&](json const& item, std::string const& path) {
                             value.state.decided_changes.push_back(
                                 read_decided_change(item, path, failure));
                         });
    auto const* entries = reader.find_field("catalogue");
    auto const* revisions = reader.find_field("revisions");
    reader.reject_unknown_fields();
    if (failure) {
        return *failure;
    }
    auto catalogue = catalogue_reader{}.read_json(*entries);
    if (failed(catalogue)) {
        return error_of(catalogue);
    }
    value.state.entries = std::move(value_of(catalogue));
    failure = read_revisions(*revisions, value.state.entries);
    if (failure) {
        return *failure;
    }
    return value;
}

std::vector<checkpoint_part> split_checkpoint(checkpoint const& value,
                                              std::size_t part_bytes)
{
    auto const payload = write_checkpoint(value);
    auto const digest = sha256_hex(payload);
    auto const min_bytes = payload.size() / max_checkpoint_parts + 1;
    auto const bytes_per_part = std::max(part_bytes, min_bytes);
    auto const part_count = static_cast<unsigned>(
        (payload.size() + bytes_per_part - 1) / bytes_per_part);
    std::vector<checkpoint_part> parts;
    parts.reserve(part_count);
    for (unsigned part = 0; part < part_count; ++part) {
        parts.push_back(
            {.end_offset = value.version.offset,
             .part_index = part,
             .part_count = part_count,
             .payload_digest = digest,
             .payload = payload.substr(part * bytes_per_part, bytes_per_part)});
    }
    return parts;
}

} // namespace medlarstall::catalogue
