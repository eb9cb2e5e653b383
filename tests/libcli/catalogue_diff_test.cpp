// Differences between a catalogue file and the catalogue in force.

#include <medlarstall/catalogue/catalogue_reader.hpp>
#include <medlarstall/catalogue/catalogue_writer.hpp>
#include <medlarstall/cli/catalogue_diff.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::cli;
using catalogue::catalogue_writer;

namespace {

using tables = medlarstall::catalogue::catalogue;

/// Generates random classes and organisations. Only four names are used, so
/// that two generated catalogues usually have entries in common.
tables generate_catalogue()
{
    tables generated;
    for (auto const* name : {"a", "b", "c", "d"}) {
        if (*rc::gen::arbitrary<bool>()) {
            generated.classes[name] = {
                {.name = name, .owner = "o", .tier = *rc::gen::inRange(0U, 3U)},
                *rc::gen::inRange<std::uint64_t>(1, 9),
                ""};
        }
        if (*rc::gen::arbitrary<bool>()) {
            generated.organisations[name] = {
                {.name = name,
                 .owner = "o",
                 .share = *rc::gen::inRange(1, 3) * 1.0},
                *rc::gen::inRange<std::uint64_t>(1, 9),
                ""};
        }
    }
    return generated;
}

/// Applies an edit as the daemons do, and checks the expected revision.
void apply(tables& entries, catalogue::edit const& change)
{
    catalogue::visit_tables(entries, [&](auto kind, auto& table) {
        if (kind != change.kind) {
            return;
        }
        auto const existing = table.find(change.name);
        RC_ASSERT(change.expected ==
                  (existing == table.end() ? 0 : existing->second.at));
        if (!change.put) {
            RC_ASSERT(existing != table.end());
            table.erase(existing);
            return;
        }
        using entry = std::decay_t<decltype(table.begin()->second.value)>;
        table[change.name].value = std::get<entry>(*change.put);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(catalogue_diff_suite)

RC_BOOST_PROP(edits_turn_current_into_wanted_catalogue, ())
{
    auto current = generate_catalogue();
    auto const wanted = generate_catalogue();
    auto const edits =
        find_edits(current, wanted, absent_entry_policy::delete_entries);
    for (auto const& change : edits) {
        apply(current, change);
    }
    catalogue_writer const writer;
    RC_ASSERT(writer.to_json(current) == writer.to_json(wanted));
    RC_ASSERT(find_edits(current, wanted, absent_entry_policy::delete_entries)
                  .empty());
}

RC_BOOST_PROP(partial_file_deletes_no_entries, ())
{
    auto const current = generate_catalogue();
    for (auto const& change : find_edits(current, generate_catalogue(),
                                         absent_entry_policy::keep_entries)) {
        RC_ASSERT(change.put.has_value());
    }
}

BOOST_AUTO_TEST_CASE(renders_new_changed_and_deleted_entries)
{
    tables in_force;
    in_force.classes["a"] = {{.name = "a", .owner = "o", .tier = 1}, 4, ""};
    in_force.classes["b"] = {{.name = "b", .owner = "o"}, 1, ""};
    tables wanted;
    wanted.classes["a"] = {{.name = "a", .owner = "o", .tier = 2}, 1, ""};
    wanted.classes["c"] = {{.name = "c", .owner = "o"}, 1, ""};
    auto const edits =
        find_edits(in_force, wanted, absent_entry_policy::delete_entries);
    BOOST_TEST(render_edits(in_force, edits) ==
               "~ classes/a (revision 4)\n    tier: 1 -> 2\n+ classes/c\n"
               "- classes/b\n");
}

BOOST_AUTO_TEST_CASE(parses_catalogue_response_with_revisions)
{
    tables in_force;
    in_force.classes["a"] = {{.name = "a", .owner = "o"}, 7, "id"};
    catalogue_writer const writer;
    nlohmann::json const response{
        {"catalogue", writer.to_json(in_force)},
        {"revisions", writer.revisions_to_json(in_force)}};
    auto const parsed = parse_catalogue_response(response);
    BOOST_REQUIRE(!failed(parsed));
    BOOST_TEST(value_of(parsed).classes.at("a").at == 7U);
    BOOST_TEST(failed(parse_catalogue_response(nlohmann::json::object())));
}

BOOST_AUTO_TEST_SUITE_END()
