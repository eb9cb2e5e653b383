// Runs an experiment in virtual time with the decisions of the product, and
// prints its metrics for one or more placement strategies.

#include "tables.hpp"

#include <medlarstall/emulator/run_experiment.hpp>
#include <medlarstall/settings/setting_set.hpp>

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

using namespace medlarstall;

namespace {

constexpr int exit_usage_error = 2;

/// Command line options.
struct experiment_options
{
    std::string installation;
    std::string load;
    std::vector<std::string> strategies;
    std::uint64_t seed = 1;
    std::string seconds_csv;
};

int report_error(std::string const& subject, std::string const& message)
{
    std::cerr << subject << ": " << message << '\n';
    return exit_usage_error;
}

result<std::string> read_file(std::string const& file)
{
    std::ifstream in{file};
    if (!in) {
        return error{file, "cannot be read"};
    }
    return std::string{std::istreambuf_iterator<char>{in}, {}};
}

result<emulator::experiment> load_experiment(experiment_options const& options)
{
    auto const installation_text = read_file(options.installation);
    if (failed(installation_text)) {
        return error_of(installation_text);
    }
    auto installation =
        emulator::parse_installation(value_of(installation_text));
    if (failed(installation) || options.load.empty()) {
        return installation;
    }
    auto const load_text = read_file(options.load);
    if (failed(load_text)) {
        return error_of(load_text);
    }
    return emulator::parse_load(value_of(load_text), value_of(installation));
}

int run_all(emulator::experiment const& spec, experiment_options const& options)
{
    std::vector<emulator::run_metrics> runs;
    for (auto const& name : options.strategies) {
        auto const strategy = emulator::strategy_from_name(name);
        if (!strategy) {
            return report_error("--placement",
                                "'" + name + "' is not a placement strategy");
        }
        runs.push_back(emulator::run_experiment(spec, *strategy, options.seed));
    }
    std::cout << spec.name << ", seed " << options.seed << '\n';
    bench::print_tables(std::cout, runs);
    if (!options.seconds_csv.empty()) {
        std::ofstream out{options.seconds_csv};
        bench::write_seconds_csv(out, runs);
        if (!out) {
            return report_error(options.seconds_csv, "cannot be written");
        }
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    experiment_options options;
    for (auto const strategy : emulator::all_strategies()) {
        options.strategies.emplace_back(name_of(strategy));
    }
    settings::setting_set settings{"experiment",
                                   "Runs an experiment in virtual time",
                                   MEDLARSTALL_VERSION};
    settings.add_positional("installation",
                            "JSON file of the installation to emulate", true,
                            options.installation);
    settings.add_text(
        "load", "JSON file with rate factor and disturbances; none by default",
        options.load);
    settings.add_list(
        "placement",
        "placement strategy to run; may be repeated; all by default",
        options.strategies);
    constexpr std::uint64_t max_seed = 1U << 30U;
    settings.add_number("seed", "seed of the random number generators", 0,
                        max_seed, options.seed);
    settings.add_text("seconds",
                      "CSV file to write with the worth share of each second",
                      options.seconds_csv);
    // Safe here: the process has one thread and never changes its environment.
    auto const variables = [](char const* name) -> char const* {
        return std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    };
    auto const parsed = settings.read({argv, argv + argc}, variables);
    if (failed(parsed)) {
        return report_error(error_of(parsed).field, error_of(parsed).message);
    }
    if (value_of(parsed) == settings::startup_action::stop) {
        return EXIT_SUCCESS;
    }
    auto const spec = load_experiment(options);
    if (failed(spec)) {
        return report_error(error_of(spec).field, error_of(spec).message);
    }
    return run_all(value_of(spec), options);
}
