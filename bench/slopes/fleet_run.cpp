#include "fleet_run.hpp"

#include <medlarstall/support/digest.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace medlarstall::bench {

namespace {

using std::chrono::milliseconds;

/// Engines that really run; the others are names in the instance list.
constexpr std::size_t live_engines = 4;

constexpr milliseconds settle_time{4'000};
constexpr milliseconds in_force_limit{20'000};

tests::cluster_settings settings_for(fleet_shape const& shape)
{
    return {.daemons = shape.daemons,
            .engines = std::min(live_engines, shape.backend_servers),
            .services = 1};
}

double resident_bytes()
{
    std::ifstream file{"/proc/self/statm"};
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double processor_ms()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    auto const ms = [](timeval const& time) {
        constexpr double ms_per_second = 1e3;
        constexpr double us_per_ms = 1e3;
        return static_cast<double>(time.tv_sec) * ms_per_second +
               static_cast<double>(time.tv_usec) / us_per_ms;
    };
    return ms(usage.ru_utime) + ms(usage.ru_stime);
}

double figure_of(std::string const& metrics, std::string const& name)
{
    auto const place = metrics.find("\n" + name + " ");
    return place == std::string::npos
               ? 0
               : std::stod(metrics.substr(place + name.size() + 2));
}

} // namespace

fleet_run::fleet_run(fleet_shape shape)
    : shape_{shape}, memory_before_{resident_bytes()},
      cluster_{settings_for(shape)}
{
    for (auto i = cluster_.engines(); i < shape_.backend_servers; ++i) {
        auto const id = "idle-" + std::to_string(i);
        cluster_.platform().put_instance(
            id, {{"id", id},
                 {"kind", "backend_server"},
                 {"group", "spare-writers"},
                 {"address", "127.0.0.1"},
                 {"port", cluster_.engine(i % cluster_.engines()).port()},
                 {"data_centre", "regina-a"},
                 {"state", "live"}});
    }
}

status fleet_run::publish_organisations()
{
    auto edits = nlohmann::json::array();
    for (std::size_t i = 2; i < shape_.organisations; ++i) {
        auto const name = "organisation-" + std::to_string(i);
        edits.push_back({{"table", "organisations"},
                         {"name", name},
                         {"expected", 0},
                         {"put",
                          {{"owner", "consortium"},
                           {"share", 1},
                           {"classes", {"field", "draft", "notes"}},
                           {"key_digests", {sha256_hex(name)}}}}});
    }
    edits.push_back({{"table", "groups"},
                     {"name", "spare-writers"},
                     {"expected", 0},
                     {"put", {{"owner", "consortium"}, {"kind", "engine"}}}});
    auto const answer = cluster_.publish(
        cluster_.port(0),
        {{"id", tests::test_cluster::new_key()}, {"edits", std::move(edits)}});
    bool const ended = cluster_.run_until([&] { return answer->ended(); });
    if (!ended || answer->status != 200) {
        return error{"organisations", answer->body};
    }
    return success();
}

fleet_run::reading fleet_run::read()
{
    reading now;
    for (std::size_t i = 0; i < cluster_.daemons(); ++i) {
        auto const answer =
            cluster_.from().get(cluster_.port(i), "coteau-key", "/metrics");
        static_cast<void>(cluster_.run_until([&] { return answer->ended(); }));
        now.bytes +=
            figure_of(answer->body, "medlarstall_peer_bytes_sent_total") +
            figure_of(answer->body, "medlarstall_peer_bytes_received_total");
    }
    now.processor_ms = processor_ms();
    now.appends = static_cast<double>(cluster_.platform().appends());
    return now;
}

void fleet_run::drive(milliseconds span)
{
    if (shape_.requests_per_second == 0) {
        cluster_.run_for(span);
        return;
    }
    auto const start = std::chrono::steady_clock::now();
    auto const gap =
        std::chrono::microseconds{1'000'000} / shape_.requests_per_second;
    std::vector<tests::answer_pointer> sent;
    std::size_t number = 0;
    for (auto at = start; at < start + span; at += gap) {
        auto const now = std::chrono::steady_clock::now();
        if (now < at) {
            cluster_.run_for(
                std::chrono::duration_cast<milliseconds>(at - now) +
                milliseconds{1});
        }
        sent.push_back(cluster_.from().chat(
            cluster_.port(number % cluster_.daemons()), "coteau-key",
            "load " + std::to_string(number) + " #tokens=10"));
        ++number;
    }
    static_cast<void>(cluster_.run_until([&] {
        return std::ranges::all_of(
            sent, [](auto const& one) { return one->ended(); });
    }));
}

bool fleet_run::all_at(std::uint64_t offset)
{
    auto const answer =
        cluster_.from().get(cluster_.port(0), "coteau-key", "/v1/in-force");
    if (!cluster_.run_until([&] { return answer->ended(); })) {
        return false;
    }
    auto const body = answer->json();
    if (!body.is_object() || body["daemons"].size() != cluster_.daemons()) {
        return false;
    }
    return std::ranges::all_of(body["daemons"], [offset](auto const& one) {
        return one["offset"].template get<std::uint64_t>() > offset;
    });
}

result<double> fleet_run::time_change()
{
    auto const answer = cluster_.publish(
        cluster_.port(cluster_.daemons() - 1),
        {{"id", tests::test_cluster::new_key()},
         {"edits",
          {{{"table", "classes"},
            {"name", "extra"},
            {"expected", 0},
            {"put", {{"owner", "consortium"}, {"tier", 3}}}}}}});
    if (!cluster_.run_until([&] { return answer->ended(); }) ||
        answer->status != 200) {
        return error{"change", answer->body};
    }
    auto const accepted = std::chrono::steady_clock::now();
    auto const offset = answer->json()["offset"].get<std::uint64_t>();
    if (!cluster_.run_until([&] { return all_at(offset); }, in_force_limit)) {
        return error{"change", "was not in force everywhere in time"};
    }
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - accepted)
        .count();
}

result<fleet_figures> fleet_run::run()
{
    if (!cluster_.start()) {
        return error{"fleet", "did not start"};
    }
    auto const published = publish_organisations();
    if (failed(published)) {
        return error_of(published);
    }
    cluster_.run_for(settle_time);
    auto const before = read();
    auto const start = std::chrono::steady_clock::now();
    drive(shape_.span);
    std::chrono::duration<double> const span =
        std::chrono::steady_clock::now() - start;
    auto const after = read();
    auto const change = time_change();
    if (failed(change)) {
        return error_of(change);
    }
    constexpr double percent = 100;
    constexpr double ms_per_second = 1e3;
    auto const daemons = static_cast<double>(shape_.daemons);
    auto const each = [&](double total) {
        return total / span.count() / daemons;
    };
    return fleet_figures{
        // A daemon counts its own links only; what one sends over them
        // another receives, so the mean is twice what the links carried.
        .control_bytes_per_second = 2 * each(after.bytes - before.bytes),
        .processor_percent = each(after.processor_ms - before.processor_ms) /
                             ms_per_second * percent,
        .memory_bytes = (resident_bytes() - memory_before_) / daemons,
        .in_force_ms = value_of(change),
        .log_appends_per_second =
            (after.appends - before.appends) / span.count()};
}

} // namespace medlarstall::bench
