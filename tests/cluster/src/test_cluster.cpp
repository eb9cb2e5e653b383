#include <medlarstall/tests/test_cluster.hpp>

#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/uuid.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <random>

namespace medlarstall::tests {

namespace {

using nlohmann::json;

constexpr std::array data_centres{"regina-a", "saskatoon-b", "brandon-c",
                                  "lethbridge-d"};

/// Shuts the connections that a port has accepted, as the system does for a
/// process that ended. Those that open requests still hold would stay.
void shut_connections(std::uint16_t port)
{
    constexpr int most_descriptors = 4'096;
    for (int descriptor = 3; descriptor < most_descriptors; ++descriptor) {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        auto* const any = reinterpret_cast<sockaddr*>(&address);
        if (getsockname(descriptor, any, &size) == 0 &&
            address.sin_family == AF_INET && ntohs(address.sin_port) == port) {
            shutdown(descriptor, SHUT_RDWR);
        }
    }
}

json entry(json fields)
{
    fields["owner"] = "consortium";
    return fields;
}

} // namespace

test_cluster::test_cluster(cluster_settings settings)
    : settings_{settings}, platform_{io_}, caller_{io_}
{
    platform_.start();
    for (std::size_t i = 0; i < settings_.engines; ++i) {
        standins::engine_settings made;
        made.speed.between_tokens = settings_.between_tokens;
        made.speed.slots = settings_.slots;
        made.models = {"drafts"};
        engines_.push_back(
            std::make_unique<standins::engine_standin>(io_, std::move(made)));
        engines_.back()->start();
        register_backend_server("writer-" + std::to_string(i), "stall-writers",
                                engines_.back()->port(), i);
    }
    for (std::size_t i = 0; i < settings_.services; ++i) {
        services_.push_back(std::make_unique<standins::service_standin>(io_));
        services_.back()->start();
        register_backend_server("desk-" + std::to_string(i), "shop-desk",
                                services_.back()->port(), i);
    }
    for (std::size_t i = 0; i < settings_.daemons; ++i) {
        add_daemon();
    }
}

test_cluster::~test_cluster()
{
    daemons_.clear();
}

void test_cluster::register_backend_server(std::string const& id,
                                           std::string const& group,
                                           std::uint16_t port,
                                           std::size_t number)
{
    platform_.put_instance(
        id, {{"id", id},
             {"kind", "backend_server"},
             {"group", group},
             {"address", "127.0.0.1"},
             {"port", port},
             {"data_centre", data_centres[number % data_centres.size()]},
             {"state", "live"}});
}

std::size_t test_cluster::add_daemon()
{
    auto const number = daemons_.size();
    daemon::daemon_settings made;
    made.id = "daemon-" + std::to_string(number);
    made.data_centre = data_centres[number % data_centres.size()];
    made.peer_secret = "secret";
    made.platform_addresses = {"127.0.0.1:" + std::to_string(platform_.port())};
    made.bootstrap_key_digest = sha256_hex(operator_key);
    made.directory_ttl = settings_.directory_ttl;
    made.drain_margin = std::chrono::milliseconds{100};
    made.seed = 1'000 + number;
    made.claim_stream_count = claim_streams;
    contexts_.push_back(std::make_unique<daemon_context>());
    daemons_.push_back(std::make_unique<daemon::daemon>(contexts_.back()->io,
                                                        std::move(made)));
    auto const started = daemons_.back()->start();
    ports_.push_back(failed(started) ? 0 : value_of(started).port);
    return number;
}

void test_cluster::crash_daemon(std::size_t number)
{
    daemons_.at(number).reset();
    contexts_.at(number).reset();
    shut_connections(ports_.at(number));
}

void test_cluster::pause_daemon(std::size_t number, bool paused)
{
    if (auto const& context = contexts_.at(number)) {
        context->paused = paused;
    }
}

void test_cluster::run_for(std::chrono::milliseconds span)
{
    static_cast<void>(run_until([] { return false; }, span));
}

void test_cluster::run_some()
{
    constexpr std::chrono::microseconds idle_wait{200};
    auto work = io_.poll();
    for (auto const& one : contexts_) {
        if (one && !one->paused) {
            one->io.restart();
            work += one->io.poll();
        }
    }
    if (work == 0) {
        io_.run_one_for(idle_wait);
    }
}

json test_cluster::catalogue() const
{
    json classes{
        {"field", entry({{"tier", 0}, {"deadline_ms", 20'000}})},
        {"draft", entry({{"tier", 1}, {"deadline_ms", 20'000}})},
        {"notes",
         entry({{"tier", 2}, {"deadline_ms", 20'000}, {"floor", 0.05}})}};
    json organisations;
    for (auto const* name : {"coteau", "moruga"}) {
        organisations[name] =
            entry({{"share", 1},
                   {"classes", {"field", "draft", "notes"}},
                   {"key_digests", {sha256_hex(std::string{name} + "-key")}}});
    }
    return {{"classes", classes},
            {"organisations", organisations},
            {"groups",
             {{"stall-writers",
               entry({{"kind", "engine"}, {"slots", settings_.slots}})},
              {"shop-desk", entry({{"kind", "service"}, {"slots", 64}})}}},
            {"models", {{"drafts", entry({{"group", "stall-writers"}})}}},
            {"services",
             {{"shop-desk", entry({{"group", "shop-desk"},
                                   {"repeatable", false},
                                   {"deadline_ms", 4'000},
                                   {"operations",
                                    {{{"method", "*"},
                                      {"path_prefix", "/lookup"},
                                      {"repeatable", true}}}}})}}},
            {"operator_keys",
             {{"chair", entry({{"key_digest", sha256_hex(operator_key)},
                               {"consortium", true}})}}}};
}

json test_cluster::edits_of(json const& file)
{
    auto edits = json::array();
    for (auto const& [table, entries] : file.items()) {
        for (auto const& [name, value] : entries.items()) {
            edits.push_back({{"table", table},
                             {"name", name},
                             {"expected", 0},
                             {"put", value}});
        }
    }
    return edits;
}

std::string test_cluster::new_key()
{
    static std::mt19937_64 random{20261204};
    auto const now = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    return to_string(make_uuid_v7(now, random(), random()));
}

answer_pointer test_cluster::publish(std::uint16_t port, json const& change)
{
    return caller_.post(port, operator_key, "/admin/v1/catalogue", change);
}

bool test_cluster::start()
{
    auto const published =
        publish(port(0), {{"id", new_key()}, {"edits", edits_of(catalogue())}});
    if (!run_until([&] { return published->ended(); }) ||
        published->status != 200) {
        return false;
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (!routes(i)) {
            return false;
        }
    }
    return true;
}

bool test_cluster::routes(std::size_t number)
{
    constexpr int attempts = 40;
    for (int i = 0; i < attempts; ++i) {
        auto const got = caller_.get(port(number), operator_key,
                                     "/admin/v1/backend-servers");
        if (!run_until([&] { return got->ended(); })) {
            return false;
        }
        auto const list =
            got->json().is_object()
                ? got->json().value("backend_servers", json::array())
                : json::array();
        std::size_t owned = 0;
        for (auto const& one : list) {
            owned += one.value("owner", "").empty() ? 0 : 1;
        }
        if (owned >= engines_.size() + services_.size()) {
            return true;
        }
        run_for(std::chrono::milliseconds{100});
    }
    return false;
}

} // namespace medlarstall::tests
