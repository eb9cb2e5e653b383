#include <medlarstall/catalogue/catalogue_reader.hpp>

#include <medlarstall/catalogue/entry_reader.hpp>
#include <medlarstall/catalogue/limits.hpp>
#include <medlarstall/catalogue/validation.hpp>
#include <medlarstall/support/json_text.hpp>
#include <medlarstall/support/object_reader.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::catalogue {

namespace {

using nlohmann::json;

template<class Entry>
std::optional<error> read_table(entry_kind kind, json const& object,
                                entry_table<Entry>& table)
{
    auto const path = "$." + std::string{table_name(kind)};
    if (!object.is_object() || object.size() > max_entries) {
        return error{path, "must be an object of at most " +
                               std::to_string(max_entries) + " entries"};
    }
    for (auto const& [name, value] : object.items()) {
        auto const entry_path = path + "." + name.substr(0, 128);
        auto read = entry_reader{}.read(kind, name, value, entry_path);
        if (failed(read)) {
            return error_of(read);
        }
        table[name] = {std::get<Entry>(std::move(value_of(read))), 1, {}};
    }
    return std::nullopt;
}

} // namespace

result<catalogue> catalogue_reader::read(std::string_view text) const
{
    auto const document = parse_json(text);
    if (failed(document)) {
        return error_of(document);
    }
    return read_json(value_of(document));
}

result<catalogue> catalogue_reader::read_json(json const& document) const
{
    std::optional<error> failure;
    object_reader reader{document, "$", failure};
    catalogue entries;
    visit_tables(entries, [&](entry_kind kind, auto& table) {
        auto const* object = reader.find_field(table_name(kind));
        if (object != nullptr && !failure) {
            failure = read_table(kind, *object, table);
        }
    });
    reader.reject_unknown_fields();
    if (failure) {
        return *failure;
    }
    auto const valid = validate(entries);
    if (failed(valid)) {
        return error_of(valid);
    }
    return entries;
}

} // namespace medlarstall::catalogue
