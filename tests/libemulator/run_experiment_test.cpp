// Complete experiments in virtual time, with the decisions of the product.

#include <medlarstall/emulator/run_experiment.hpp>
#include <medlarstall/emulator/workload.hpp>

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

using namespace medlarstall;
using namespace medlarstall::emulator;

namespace {

std::filesystem::path const directory{MEDLARSTALL_SOURCE_DIR
                                      "/bench/experiment"};

std::string text_of(std::filesystem::path const& file)
{
    std::ifstream in{file};
    return {std::istreambuf_iterator<char>{in}, {}};
}

experiment load(std::string const& installation, std::string const& load)
{
    auto const base = parse_installation(
        text_of(directory / "installations" / (installation + ".json")));
    BOOST_REQUIRE(!failed(base));
    auto const parsed = parse_load(
        text_of(directory / "loads" / (load + ".json")), value_of(base));
    BOOST_REQUIRE(!failed(parsed));
    return value_of(parsed);
}

/// \return mean worth share over three seeds
double mean_worth_share(experiment const& spec, placement_strategy strategy)
{
    constexpr std::uint64_t seeds = 3;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        sum += run_experiment(spec, strategy, seed).total.worth_share();
    }
    return sum / seeds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_suite)

BOOST_AUTO_TEST_CASE(every_experiment_file_can_be_run)
{
    for (auto const& installation :
         std::filesystem::directory_iterator{directory / "installations"}) {
        for (auto const& file :
             std::filesystem::directory_iterator{directory / "loads"}) {
            auto spec = load(installation.path().stem().string(),
                             file.path().stem().string());
            spec.length = seconds{3};
            auto const metrics =
                run_experiment(spec, placement_strategy::product, 1);
            BOOST_TEST(metrics.total.requests > 0U, spec.name);
            BOOST_TEST(metrics.sends > 0U, spec.name);
        }
    }
}

BOOST_AUTO_TEST_CASE(same_seed_gives_same_metrics)
{
    auto const spec = load("coteau", "bursts-by-turns");
    auto const first = run_experiment(spec, placement_strategy::product, 4);
    auto const second = run_experiment(spec, placement_strategy::product, 4);
    BOOST_TEST(first.total.earned_worth == second.total.earned_worth);
    BOOST_TEST(first.prefilled_tokens == second.prefilled_tokens);
    auto const other = run_experiment(spec, placement_strategy::product, 5);
    BOOST_TEST(first.prefilled_tokens != other.prefilled_tokens);
}

BOOST_AUTO_TEST_CASE(arrivals_are_ordered_and_have_the_configured_rate)
{
    auto spec = load("coteau", "calm");
    spec.length = seconds{300};
    spec.wave_amplitude = 0;
    auto const arrivals = generate_arrivals(spec, 1);
    double expected = 0;
    for (auto const& request_class : spec.classes) {
        expected += request_class.requests_per_second * spec.length.count();
    }
    BOOST_TEST(static_cast<double>(arrivals.size()) == expected,
               boost::test_tools::tolerance(0.05));
    BOOST_TEST(std::ranges::is_sorted(arrivals, {}, &arrival::offset));
}

BOOST_AUTO_TEST_CASE(each_request_is_counted_once)
{
    auto const spec = load("moruga", "third-dark");
    auto const metrics = run_experiment(spec, placement_strategy::product, 2);
    auto const& total = metrics.total;
    BOOST_TEST(total.on_time + total.late + total.refused + total.failed ==
               total.requests);
    std::uint64_t sum = 0;
    for (auto const& group : metrics.by_class) {
        sum += group.requests;
    }
    BOOST_TEST(sum == total.requests);
}

BOOST_AUTO_TEST_CASE(product_placement_beats_baselines)
{
    // Bursts of long prompts start in the first second, when no server has
    // cached a prompt. This is the worst load observed at the users' sites.
    for (auto const* const installation : {"coteau", "moruga"}) {
        auto const spec = load(installation, "bursts-by-turns");
        auto const product =
            mean_worth_share(spec, placement_strategy::product);
        BOOST_TEST(product > 0.85);
        BOOST_TEST(product >
                   mean_worth_share(spec, placement_strategy::least_loaded) +
                       0.1);
        BOOST_TEST(product >
                   mean_worth_share(spec, placement_strategy::affinity) + 0.1);
    }
}

BOOST_AUTO_TEST_CASE(hot_organisation_does_not_starve_others)
{
    for (auto const* const installation : {"coteau", "moruga"}) {
        auto const metrics =
            run_experiment(load(installation, "hot-organisation"),
                           placement_strategy::product, 1);
        BOOST_TEST(metrics.worst_organisation > 0.85);
    }
}

BOOST_AUTO_TEST_CASE(large_fleet_performs_nearly_as_well_as_small_one)
{
    // 100 daemons and 180 backend servers in cells start with empty caches.
    auto small = load("coteau", "calm");
    auto const large = load("coteau-large", "calm");
    small.length = large.length;
    auto const large_share =
        run_experiment(large, placement_strategy::product, 1)
            .total.worth_share();
    BOOST_TEST(large_share > 0.9);
    BOOST_TEST(large_share >
               mean_worth_share(small, placement_strategy::product) - 0.05);
}

BOOST_AUTO_TEST_CASE(service_recovers_after_crash_of_a_third_of_servers)
{
    auto const metrics = run_experiment(load("coteau", "third-dark"),
                                        placement_strategy::product, 1);
    BOOST_TEST(metrics.total.worth_share() > 0.9);
    // In second 20 the servers are up again.
    constexpr std::size_t first_second = 20;
    for (auto at = first_second; at < metrics.by_second.size(); ++at) {
        auto const& second = metrics.by_second[at];
        BOOST_TEST(second.earned_worth > 0.7 * second.potential_worth);
    }
}

BOOST_AUTO_TEST_SUITE_END()
