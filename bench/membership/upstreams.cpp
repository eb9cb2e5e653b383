#include "fleet_lists.hpp"
#include "print.hpp"

#include <medlarstall/membership/aggregation_tree.hpp>
#include <medlarstall/membership/neighbour_graph.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <tuple>

namespace medlarstall::bench {

namespace {

using namespace membership;

constexpr std::size_t count = 350;
constexpr std::size_t data_centres = 8;
constexpr double record_bytes = 600.0;
constexpr double header_bytes = 100.0; ///< Of a message, TCP and IP included.
constexpr double near_ms = 1.5;        ///< One way, in a region.
constexpr double far_ms = 35.0;        ///< One way, between regions.
constexpr double work_ms = 1.0;        ///< At each daemon.
constexpr double poll_ms = 5000.0;     ///< Between readings of the log.
constexpr unsigned trials = 200;

/// Who passes records on to whom, and how many pieces make a record.
struct scheme
{
    char const* name;
    std::vector<std::vector<std::size_t>> next; ///< By daemon.
    unsigned pieces_needed = 1;
};

struct outcome
{
    std::vector<double> times; ///< Of daemons that a push reached, in ms.
    std::size_t missed = 0;    ///< Running daemons that no push reached.
    double bytes = 0.0;        ///< Sent by all.
};

double latency(std::size_t from, std::size_t to)
{
    bool const near = from % data_centres / 4 == to % data_centres / 4;
    return (near ? near_ms : far_ms) + work_ms;
}

/// Sends one record from daemon \p origin; messages are lost and daemons are
/// down, unknown to the others, by chance.
outcome spread(scheme const& way, std::size_t origin, double loss, double down,
               std::mt19937_64& random)
{
    std::bernoulli_distribution lost{loss};
    std::bernoulli_distribution stopped{down};
    std::vector<bool> is_down(count);
    for (std::size_t i = 0; i < count; ++i) {
        is_down[i] = i != origin && stopped(random);
    }
    std::vector<double> reached(count, std::numeric_limits<double>::infinity());
    std::vector<std::set<std::size_t>> pieces(count);
    using arrival = std::tuple<double, std::size_t, std::size_t>;
    std::priority_queue<arrival, std::vector<arrival>, std::greater<>> open;
    outcome result;
    auto const send = [&](std::size_t from, double at) {
        reached[from] = at;
        for (auto const to : way.next[from]) {
            result.bytes += record_bytes / way.pieces_needed + header_bytes;
            if (!lost(random)) {
                open.emplace(at + latency(from, to), from, to);
            }
        }
    };
    send(origin, 0.0);
    while (!open.empty()) {
        auto const [at, from, to] = open.top();
        open.pop();
        if (is_down[to] || reached[to] <= at) {
            continue;
        }
        pieces[to].insert(from);
        // The origin hands out the whole record.
        if (from == origin || pieces[to].size() >= way.pieces_needed) {
            send(to, at);
        }
    }
    for (std::size_t i = 0; i < count; ++i) {
        if (!is_down[i] && reached[i] < 1e9) {
            result.times.push_back(reached[i]);
        } else if (!is_down[i]) {
            ++result.missed;
        }
    }
    return result;
}

std::size_t number_of(std::string const& id)
{
    return std::stoul(id.substr(6)) - 1000;
}

scheme tree(std::vector<daemon_info> const& daemons)
{
    scheme way{"one_upstream_tree", {}, 1};
    for (auto const& daemon : daemons) {
        auto& next = way.next.emplace_back();
        for (auto const& id : place_in_tree(daemons, daemon.id).links()) {
            next.push_back(number_of(id));
        }
    }
    return way;
}

scheme rings(std::vector<daemon_info> const& daemons, std::size_t number,
             char const* name)
{
    std::vector<std::string> ids;
    ids.reserve(daemons.size());
    for (auto const& daemon : daemons) {
        ids.push_back(daemon.id);
    }
    neighbour_graph const graph{ids, number};
    scheme way{name, {}, 1};
    for (auto const& id : ids) {
        auto& next = way.next.emplace_back();
        for (auto const& neighbour : graph.neighbours(id)) {
            next.push_back(number_of(neighbour));
        }
    }
    return way;
}

/// Each daemon has so many upstream peers among those before it, spread so
/// that depths stay low; the first ones are fed by daemon 0 itself.
scheme layered(unsigned upstreams, unsigned pieces, char const* name)
{
    scheme way{name, std::vector<std::vector<std::size_t>>(count), pieces};
    std::mt19937_64 random{7};
    auto const first = std::size_t{upstreams} * 2;
    std::vector<std::size_t> order(count - 1);
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i + 1;
    }
    std::shuffle(order.begin(), order.end(), random);
    for (std::size_t i = 0; i < order.size(); ++i) {
        if (i < first) {
            way.next[0].push_back(order[i]);
            continue;
        }
        std::set<std::size_t> chosen;
        while (chosen.size() < upstreams) {
            // Peers at about a fourth of the depth have about four to feed.
            auto const low = i / 6;
            chosen.insert(low + random() % std::max<std::size_t>(upstreams + 2,
                                                                 i / 4 - low));
        }
        for (auto const place : chosen) {
            way.next[order[std::min(place, i - 1)]].push_back(order[i]);
        }
    }
    return way;
}

void measure(scheme const& way, double loss, double down)
{
    std::mt19937_64 random{20261204};
    std::uniform_real_distribution<double> phase{0.0, poll_ms};
    std::vector<double> times;
    double missed = 0;
    double bytes = 0;
    for (unsigned trial = 0; trial < trials; ++trial) {
        auto const result = spread(way, 0, loss, down, random);
        times.insert(times.end(), result.times.begin(), result.times.end());
        for (std::size_t i = 0; i < result.missed; ++i) {
            times.push_back(phase(random)); // They find it in the log.
        }
        missed += static_cast<double>(result.missed);
        bytes += result.bytes;
    }
    std::ranges::sort(times);
    auto const part = [&times](double of) {
        return times[static_cast<std::size_t>(
            of * static_cast<double>(times.size() - 1))];
    };
    char where[128];
    std::snprintf(where, sizeof where, "upstreams=%s loss=%.2f down=%.2f",
                  way.name, loss, down);
    print(where, "missed_by_push",
          100.0 * missed / static_cast<double>(times.size()), "percent");
    print(where, "p50", part(0.5), "ms");
    print(where, "p99", part(0.99), "ms", "<8000");
    print(where, "most", times.back(), "ms", "<8000");
    print(where, "sent_for_a_change",
          bytes / trials / static_cast<double>(count), "bytes_a_daemon");
}

} // namespace

void measure_upstreams()
{
    auto const daemons = make_daemons(count, data_centres);
    std::vector<scheme> const ways{tree(daemons),
                                   layered(1, 1, "one_upstream"),
                                   layered(2, 1, "two_upstreams"),
                                   layered(3, 1, "three_upstreams"),
                                   layered(3, 2, "three_upstreams_two_pieces"),
                                   rings(daemons, 2, "flood_two_rings"),
                                   rings(daemons, 3, "flood_three_rings")};
    for (auto const& [loss, down] : {std::pair{0.0, 0.0},
                                     {0.01, 0.0},
                                     {0.0, 0.02},
                                     {0.05, 0.05},
                                     {0.1, 0.125}}) {
        for (auto const& way : ways) {
            measure(way, loss, down);
        }
    }
}

} // namespace medlarstall::bench
