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

/// Some classes and organisations under few names, so that two draws overlap.
tables draw_catalogue()
{
    tables drawn;
    for (auto const* name : {"a", "b", "c", "d"}) {
        if (*rc::gen::arbitrary<bool>()) {
            drawn.classes[name] = {
                {.name = name, .owner = "o", .tier = *rc::gen::inRange(0U, 3U)},
                *rc::gen::inRange<std::uint64_t>(1, 9),
                ""};
        }
        if (*rc::gen::arbitrary<bool>()) {
            drawn.organisations[name] = {
                {.name = name,
                 .owner = "o",
                 .share = *rc::gen::inRange(1, 3) * 1.0},
                *rc::gen::inRange<std::uint64_t>(1, 9),
                ""};
        }
    }
    return drawn;
}

void apply(tables& entries, catalogue::edit const& item)
{
    catalogue::visit_tables(entries, [&](auto kind, auto& table) {
        if (kind != item.kind) {
            return;
        }
        auto const known = table.find(item.name);
        RC_ASSERT(item.expected ==
                  (known == table.end() ? 0 : known->second.at));
        if (!item.put) {
            RC_ASSERT(known != table.end());
            table.erase(known);
            return;
        }
        using entry = std::decay_t<decltype(table.begin()->second.value)>;
        table[item.name].value = std::get<entry>(*item.put);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(catalogue_diff_suite)

RC_BOOST_PROP(edits_lead_to_the_wanted_catalogue, ())
{
    auto current = draw_catalogue();
    auto const wanted = draw_catalogue();
    auto const edits = find_edits(current, wanted, absent_entries::are_deleted);
    for (auto const& item : edits) {
        apply(current, item);
    }
    catalogue_writer const writer;
    RC_ASSERT(writer.to_json(current) == writer.to_json(wanted));
    RC_ASSERT(find_edits(current, wanted, absent_entries::are_deleted).empty());
}

RC_BOOST_PROP(a_partial_file_deletes_nothing, ())
{
    auto const current = draw_catalogue();
    for (auto const& item :
         find_edits(current, draw_catalogue(), absent_entries::are_kept)) {
        RC_ASSERT(item.put.has_value());
    }
}

BOOST_AUTO_TEST_CASE(renders_each_kind_of_edit)
{
    tables in_force;
    in_force.classes["a"] = {{.name = "a", .owner = "o", .tier = 1}, 4, ""};
    in_force.classes["b"] = {{.name = "b", .owner = "o"}, 1, ""};
    tables wanted;
    wanted.classes["a"] = {{.name = "a", .owner = "o", .tier = 2}, 1, ""};
    wanted.classes["c"] = {{.name = "c", .owner = "o"}, 1, ""};
    auto const edits =
        find_edits(in_force, wanted, absent_entries::are_deleted);
    BOOST_TEST(render_edits(in_force, edits) ==
               "~ classes/a (revision 4)\n    tier: 1 -> 2\n+ classes/c\n"
               "- classes/b\n");
}

BOOST_AUTO_TEST_CASE(reads_what_a_daemon_answers)
{
    tables in_force;
    in_force.classes["a"] = {{.name = "a", .owner = "o"}, 7, "id"};
    catalogue_writer const writer;
    nlohmann::json const answer{{"catalogue", writer.to_json(in_force)},
                                {"revisions", writer.revisions(in_force)}};
    auto const read = read_in_force(answer);
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST(value_of(read).classes.at("a").at == 7U);
    BOOST_TEST(failed(read_in_force(nlohmann::json::object())));
}

BOOST_AUTO_TEST_SUITE_END()
