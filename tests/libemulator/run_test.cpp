// Whole experiments in virtual time with the product's own decisions.

#include <medlarstall/emulator/run.hpp>
#include <medlarstall/emulator/workload.hpp>

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

using namespace medlarstall;
using namespace medlarstall::emulator;

namespace {

std::filesystem::path const folder{MEDLARSTALL_SOURCE_DIR "/bench/experiment"};

std::string text_of(std::filesystem::path const& file)
{
    std::ifstream in{file};
    return {std::istreambuf_iterator<char>{in}, {}};
}

experiment load(std::string const& installation, std::string const& load)
{
    auto const place = parse_installation(
        text_of(folder / "installations" / (installation + ".json")));
    BOOST_REQUIRE(!failed(place));
    auto const made = parse_load(text_of(folder / "loads" / (load + ".json")),
                                 value_of(place));
    BOOST_REQUIRE(!failed(made));
    return value_of(made);
}

/// Mean worth over a few seeds.
double worth(experiment const& what, placement_strategy strategy)
{
    constexpr std::uint64_t seeds = 3;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        sum += run(what, strategy, seed).total.worth();
    }
    return sum / seeds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_suite)

BOOST_AUTO_TEST_CASE(every_file_of_the_repository_can_be_played)
{
    for (auto const& place :
         std::filesystem::directory_iterator{folder / "installations"}) {
        for (auto const& file :
             std::filesystem::directory_iterator{folder / "loads"}) {
            auto what =
                load(place.path().stem().string(), file.path().stem().string());
            what.length = seconds{3};
            auto const figures = run(what, placement_strategy::product, 1);
            BOOST_TEST(figures.total.asked > 0U, what.name);
            BOOST_TEST(figures.sends > 0U, what.name);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_same_seed_gives_the_same_figures)
{
    auto const what = load("coteau", "bursts-by-turns");
    auto const first = run(what, placement_strategy::product, 4);
    auto const second = run(what, placement_strategy::product, 4);
    BOOST_TEST(first.total.earned == second.total.earned);
    BOOST_TEST(first.read_tokens == second.read_tokens);
    auto const other = run(what, placement_strategy::product, 5);
    BOOST_TEST(first.read_tokens != other.read_tokens);
}

BOOST_AUTO_TEST_CASE(arrivals_come_in_order_and_at_the_rate_asked_for)
{
    auto what = load("coteau", "calm");
    what.length = seconds{300};
    what.wave = 0;
    auto const arrivals = make_arrivals(what, 1);
    double expected = 0;
    for (auto const& kind : what.classes) {
        expected += kind.per_second * what.length.count();
    }
    BOOST_TEST(static_cast<double>(arrivals.size()) == expected,
               boost::test_tools::tolerance(0.05));
    BOOST_TEST(std::ranges::is_sorted(arrivals, {}, &arrival::at));
}

BOOST_AUTO_TEST_CASE(each_request_has_one_end)
{
    auto const what = load("moruga", "third-dark");
    auto const figures = run(what, placement_strategy::product, 2);
    auto const& total = figures.total;
    BOOST_TEST(total.on_time + total.late + total.refused + total.broken ==
               total.asked);
    std::uint64_t asked = 0;
    for (auto const& group : figures.by_class) {
        asked += group.asked;
    }
    BOOST_TEST(asked == total.asked);
}

BOOST_AUTO_TEST_CASE(the_product_places_better_than_the_simpler_ways)
{
    // The worst load that the users' days have shown: bursts of long prompts
    // from the first second, with nothing kept anywhere.
    for (auto const* const place : {"coteau", "moruga"}) {
        auto const what = load(place, "bursts-by-turns");
        auto const product = worth(what, placement_strategy::product);
        BOOST_TEST(product > 0.85);
        BOOST_TEST(product >
                   worth(what, placement_strategy::least_loaded) + 0.1);
        BOOST_TEST(product > worth(what, placement_strategy::affinity) + 0.1);
    }
}

BOOST_AUTO_TEST_CASE(no_organisation_pays_for_another_that_gets_hot)
{
    for (auto const* const place : {"coteau", "moruga"}) {
        auto const figures = run(load(place, "hot-organisation"),
                                 placement_strategy::product, 1);
        BOOST_TEST(figures.worst_organisation > 0.85);
    }
}

BOOST_AUTO_TEST_CASE(a_large_fleet_serves_nearly_as_well_as_a_small_one)
{
    // 100 daemons and 180 backend servers in cells, from a cold start.
    auto small = load("coteau", "calm");
    auto const large = load("coteau-large", "calm");
    small.length = large.length;
    auto const served =
        run(large, placement_strategy::product, 1).total.worth();
    BOOST_TEST(served > 0.9);
    BOOST_TEST(served > worth(small, placement_strategy::product) - 0.05);
}

BOOST_AUTO_TEST_CASE(a_third_of_the_servers_dark_costs_a_moment_only)
{
    auto const figures =
        run(load("coteau", "third-dark"), placement_strategy::product, 1);
    BOOST_TEST(figures.total.worth() > 0.9);
    constexpr std::size_t back = 20; // Second after the servers came back.
    for (auto at = back; at < figures.by_second.size(); ++at) {
        auto const& second = figures.by_second[at];
        BOOST_TEST(second.earned > 0.7 * second.owed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
