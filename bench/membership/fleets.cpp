#include "fleet_lists.hpp"
#include "print.hpp"
#include "virtual_fleet.hpp"

#include <medlarstall/membership/ownership.hpp>
#include <medlarstall/membership/subset.hpp>
#include <medlarstall/membership/tree_exchange.hpp>
#include <medlarstall/scheduling/summary.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>

namespace medlarstall::bench {

namespace {

using namespace membership;
using namespace std::chrono_literals;

constexpr std::size_t data_centres = 8;
constexpr std::size_t organisations = 2500;
constexpr double full_fleet = 350.0;
constexpr double requests_a_second = 6800.0; ///< Of the full fleet.
constexpr auto warm_up = 10s;
constexpr auto measured = 100s;
constexpr auto between_changes = 50s; ///< 1,700 changes a day.
constexpr auto window_length = 60s;

/// Bytes around a message: HTTP/2 frame and length, TCP and IP with options.
constexpr double frame_bytes = 13.0 + 52.0;

struct traffic
{
    double sent = 0;
    double received = 0;
    double messages = 0;
};

/// Mean and greatest bytes a second of any daemon, both directions added.
std::pair<double, double> rates(std::vector<traffic> const& all)
{
    double sum = 0;
    double most = 0;
    for (auto const& one : all) {
        auto const bytes = one.sent + one.received;
        sum += bytes;
        most = std::max(most, bytes);
    }
    auto const seconds = std::chrono::duration<double>{measured}.count();
    return {sum / static_cast<double>(all.size()) / seconds, most / seconds};
}

void count(std::vector<traffic>& all, std::size_t from, std::size_t to,
           std::size_t bytes)
{
    auto const size = static_cast<double>(bytes) + frame_bytes;
    all[from].sent += size;
    all[from].messages += 1;
    all[to].received += size;
}

std::size_t number_of(std::string const& id)
{
    return std::stoul(id.substr(6)) - 1000;
}

/// Heartbeats of a fleet in which one daemon is replaced now and then.
void measure_heartbeats(std::size_t size, std::string const& where,
                        series& bytes, series& processor)
{
    virtual_fleet fleet{size, data_centres};
    std::vector<traffic> all(size);
    bool counting = false;
    fleet.on_send = [&](std::size_t from, outgoing_heartbeat const& one) {
        if (counting) {
            count(all, from, number_of(one.to),
                  nlohmann::json::to_cbor(to_json(one.message)).size());
        }
    };
    fleet.run(warm_up);
    counting = true;
    auto const start = processor_seconds();
    std::uint64_t offset = 1;
    for (auto time = 0s; time < measured; time += between_changes / 2) {
        for (auto& view : fleet.views) {
            view->set_local_state({++offset, "0123456789abcdef"});
        }
        // 230 replacements a day are one in 6 minutes; this is one in 25 s.
        auto const victim = (offset / size) % size;
        fleet.stop(victim);
        fleet.run(5s);
        fleet.start(victim);
        fleet.run(between_changes / 2 - 5s);
    }
    auto const took = processor_seconds() - start;
    auto const [mean, most] = rates(all);
    print(where, "heartbeat_mean", mean, "bytes_a_second");
    print(where, "heartbeat_most", most, "bytes_a_second");
    auto const load = took * 100.0 / static_cast<double>(size) /
                      std::chrono::duration<double>{measured}.count();
    print(where, "heartbeat_processor_with_encoding", load, "percent_of_a_core",
          "<1.3");
    bytes.emplace_back(size, most);
    processor.emplace_back(size, load);
}

void measure_detection(std::size_t size, std::string const& where)
{
    double longest = 0;
    for (std::size_t victim = 0; victim < 5; ++victim) {
        virtual_fleet fleet{size, data_centres};
        fleet.run(3s + victim * 110ms);
        fleet.stop(victim);
        auto const stopped = fleet.now;
        while (!fleet.agrees(fleet.running()) && fleet.now - stopped < 10s) {
            fleet.run(virtual_fleet::step);
        }
        std::chrono::duration<double, std::milli> const took =
            fleet.now - stopped;
        longest = std::max(longest, took.count());
    }
    print(where, "loss_noticed_by_all", longest, "ms", "<2000");
}

/// Loads, versions in force and shares along the tree.
class tree_measurement
{
public:
    explicit tree_measurement(std::size_t size)
        : size_{size}, daemons_{make_daemons(size, data_centres)}, all_(size),
          loads_(size, 5)
    {
        for (auto const& daemon : daemons_) {
            exchanges_.emplace_back(
                tree_exchange_settings{.daemon_id = daemon.id,
                                       .data_centre = daemon.data_centre},
                1);
            exchanges_.back().set_daemons(daemons_);
        }
    }

    void run()
    {
        auto const end = now_ + warm_up + measured;
        auto const counting_from = now_ + warm_up;
        double start = 0;
        for (; now_ < end; now_ += 200ms) {
            if (!counting_ && now_ >= counting_from) {
                counting_ = true;
                start = processor_seconds();
            }
            work();
            exchange();
        }
        processor_ = processor_seconds() - start;
    }

    void print_figures(std::string const& where, series& bytes)
    {
        auto const [mean, most] = rates(all_);
        print(where, "tree_mean", mean, "bytes_a_second");
        print(where, "tree_most", most, "bytes_a_second");
        print(where, "tree_processor_with_encoding",
              processor_ * 100.0 / static_cast<double>(size_) /
                  std::chrono::duration<double>{measured}.count(),
              "percent_of_a_core", "<1.3");
        print(where, "in_force_known_everywhere", slowest_version_, "ms",
              "<8000");
        print_shares(where);
        bytes.emplace_back(size_, most);
    }

private:
    [[nodiscard]] std::uint64_t window() const
    {
        return static_cast<std::uint64_t>(now_.time_since_epoch() /
                                          window_length);
    }

    /// Requests of this step, a few organisations being much larger.
    void work()
    {
        auto const requests = static_cast<std::size_t>(
            requests_a_second * 0.2 * static_cast<double>(size_) / full_fleet);
        std::exponential_distribution<double> rank{8.0};
        for (std::size_t i = 0; i < requests; ++i) {
            auto const number = static_cast<std::size_t>(
                rank(random_) * static_cast<double>(organisations));
            exchanges_[random_() % size_].record(
                {window(),
                 "organisation-" + std::to_string(number % organisations),
                 "interactive",
                 {.tokens = 300, .requests = 1}});
            recorded_[window()] += 300;
        }
        walk_loads();
        if (now_ - changed_ >= between_changes) {
            changed_ = now_;
            known_ = false;
            ++offset_;
            for (auto& one : exchanges_) {
                one.set_applied_version(offset_, "0123456789abcdef");
            }
        }
    }

    /// Loads go up or down by one about every two seconds.
    void walk_loads()
    {
        for (std::size_t i = 0; i < size_; ++i) {
            auto const move = random_() % 20;
            if (move == 0 && loads_[i] < full_load) {
                ++loads_[i];
            } else if (move == 1 && loads_[i] > 0) {
                --loads_[i];
            }
            exchanges_[i].set_load(loads_[i], false, now_);
        }
    }

    void exchange()
    {
        auto const due = std::exchange(in_flight_, {});
        for (auto const& [from, one] : due) {
            exchanges_[number_of(one.to)].on_message(daemons_[from].id,
                                                     one.message);
        }
        for (std::size_t i = 0; i < size_; ++i) {
            for (auto& one : exchanges_[i].tick(now_, window())) {
                if (counting_) {
                    count(all_, i, number_of(one.to),
                          nlohmann::json::to_cbor(to_json(one.message)).size());
                }
                in_flight_.emplace_back(i, std::move(one));
            }
        }
        if (!known_ && everybody_knows()) {
            known_ = true;
            std::chrono::duration<double, std::milli> const took =
                now_ - changed_;
            slowest_version_ = std::max(slowest_version_, took.count());
        }
    }

    [[nodiscard]] bool everybody_knows() const
    {
        return std::ranges::all_of(exchanges_, [this](auto const& one) {
            auto const centres = one.in_force();
            unsigned daemons = 0;
            for (auto const& centre : centres) {
                daemons +=
                    centre.min_offset == offset_ ? centre.daemon_count : 0;
            }
            return daemons == size_;
        });
    }

    /// How much of a past window each daemon can show, in all and by name.
    void print_shares(std::string const& where)
    {
        auto const past = window() - 2;
        double total = 1.0;
        double named = 1.0;
        for (auto const& one : exchanges_) {
            double all = 0;
            double with_name = 0;
            for (auto const& row : one.shares().rows(past)) {
                auto const tokens = static_cast<double>(row.counts.tokens);
                all += tokens;
                with_name += row.organisation.empty() ? 0 : tokens;
            }
            auto const expected = static_cast<double>(recorded_[past]);
            total = std::min(total, all / expected);
            named = std::min(named, with_name / expected);
        }
        print(where, "least_part_of_shares_known", total, "part", ">0.99");
        print(where, "least_part_of_shares_with_a_name", named, "part");
    }

    std::size_t size_;
    std::vector<daemon_info> daemons_;
    std::vector<traffic> all_;
    std::vector<unsigned> loads_;
    std::vector<tree_exchange> exchanges_;
    std::vector<std::pair<std::size_t, outgoing_tree_message>> in_flight_;
    std::map<std::uint64_t, std::uint64_t> recorded_;
    std::mt19937_64 random_{20261204};
    time_point now_{1h};
    time_point changed_{1h};
    std::uint64_t offset_ = 0;
    double slowest_version_ = 0;
    double processor_ = 0;
    bool known_ = true;
    bool counting_ = false;
};

/// A summary as a compact array, with seven tiers in use.
std::size_t summary_bytes()
{
    scheduling::backend_server_summary const summary{
        .backend_server = "runner1234", .sequence = 1'000'000};
    auto array = nlohmann::json::array(
        {summary.backend_server, summary.sequence, 32, 30, 1800, 63, 20, 0});
    for (unsigned tier = 0; tier < 7; ++tier) {
        array.push_back({100 + tier, 10, 1500});
    }
    return nlohmann::json::to_cbor(array).size();
}

/// Summaries by subset: an owner sends one message to each entry daemon that
/// gets any of its backend servers.
void measure_summaries(std::size_t size, std::string const& where,
                       series& bytes)
{
    auto const daemons = make_daemons(size, data_centres);
    auto const servers = make_servers(
        std::max<std::size_t>(14, size * 930 / 350), 29, data_centres);
    auto const owners = assign_owners(daemons, servers);
    std::map<std::string, std::map<std::string, double>> sent;
    for (auto const& [entry, ids] : choose_subsets(daemons, servers)) {
        for (auto const& id : ids) {
            sent[owners.at(id)][entry] += static_cast<double>(summary_bytes());
        }
    }
    std::map<std::string, double> all;
    double slowest = 0;
    for (auto const& [owner, messages] : sent) {
        double round = 0;
        for (auto const& [entry, size_of_message] : messages) {
            round += size_of_message + frame_bytes;
        }
        auto const interval =
            std::chrono::duration<double>{
                summary_interval(static_cast<std::size_t>(round))}
                .count();
        slowest = std::max(slowest, interval);
        for (auto const& [entry, size_of_message] : messages) {
            auto const rate = (size_of_message + frame_bytes) / interval;
            all[owner] += rate;
            all[entry] += rate;
        }
    }
    double most = 0;
    for (auto const& [daemon, rate] : all) {
        most = std::max(most, rate);
    }
    print(where, "summary", static_cast<double>(summary_bytes()), "bytes");
    print(where, "longest_summary_interval", slowest, "s");
    print(where, "summaries_most", most, "bytes_a_second");
    bytes.emplace_back(size, most);
}

} // namespace

void measure_fleets()
{
    series heartbeats;
    series processor;
    series tree;
    series summaries;
    series total;
    for (std::size_t const size : {5U, 20U, 50U, 100U, 350U}) {
        auto const where = "daemons=" + std::to_string(size);
        measure_heartbeats(size, where, heartbeats, processor);
        measure_detection(size, where);
        tree_measurement exchange{size};
        exchange.run();
        exchange.print_figures(where, tree);
        measure_summaries(size, where, summaries);
        total.emplace_back(size, heartbeats.back().second + tree.back().second +
                                     summaries.back().second);
        print(where, "control_traffic_most", total.back().second,
              "bytes_a_second", "<9000");
    }
    print_slope("heartbeat_most", heartbeats, "bytes_a_second_per_daemon");
    print_slope("heartbeat_processor", processor,
                "percent_of_a_core_per_daemon");
    print_slope("tree_most", tree, "bytes_a_second_per_daemon");
    print_slope("summaries_most", summaries, "bytes_a_second_per_daemon");
    print_slope("control_traffic_most", total, "bytes_a_second_per_daemon");
}

} // namespace medlarstall::bench
