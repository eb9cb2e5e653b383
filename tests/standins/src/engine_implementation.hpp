#ifndef MEDLARSTALL_STANDINS_ENGINE_IMPLEMENTATION_HPP
#define MEDLARSTALL_STANDINS_ENGINE_IMPLEMENTATION_HPP

#include "cache_event_log.hpp"
#include "load_history.hpp"
#include "run_history.hpp"
#include "stream_reader.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <nlohmann/json_fwd.hpp>

#include <set>
#include <unordered_map>

namespace medlarstall::standins {

/// The parts of an engine stand-in: engine_requests.cpp answers requests,
/// engine_standin.cpp runs the model and applies faults.
struct engine_standin::implementation
    : std::enable_shared_from_this<implementation>
{
    implementation(asio::io_context& io, engine_settings from)
        : context{io}, settings{std::move(from)}, model{settings.speed},
          timer{io}, restart_timer{io}
    {
        loaded.insert(settings.models.begin(), settings.models.end());
    }

    void handle(http_exchange_ptr const& exchange);
    void complete(http_exchange_ptr const& exchange);
    void run(http_exchange_ptr const& exchange, nlohmann::json const& request,
             std::string attempt);
    void stream_request(http_exchange_ptr const& exchange);
    void resume(http_exchange_ptr const& exchange,
                engine_stream_ptr const& stream);
    void end_stream(http_exchange& exchange, engine_stream_ptr const& stream);
    void continue_stream(http_exchange_ptr const& exchange,
                         engine_stream_ptr const& stream);
    void import_state(http_exchange& exchange, std::string const& attempt);
    void report_load(http_exchange& exchange) const;
    void report_cache(http_exchange_ptr const& exchange, time_point until);
    void take_order(http_exchange& exchange);
    void load_model(std::string const& name);
    void switch_request(http_exchange& exchange);
    bool refuses_model(http_exchange& exchange, std::string const& name) const;

    void advance();
    void arm();
    void serve_readers(engine_stream& stream);
    void sample();
    void publish_cache_changes(std::string const& name);
    void crash();
    void apply(engine_switches const& changed);

    asio::io_context& context;
    engine_settings settings;
    engine_model model;
    asio::steady_timer timer;
    asio::steady_timer restart_timer;
    bool armed = false;
    time_point armed_for;
    bool crash_due = false;
    std::unique_ptr<http_host> host;
    std::shared_ptr<engine_switches> const switches =
        std::make_shared<engine_switches>();
    std::set<std::string> loaded;
    std::uint64_t highest_fencing = 0;
    std::uint64_t made_up_attempts = 0;
    std::uint64_t crashes = 0;
    std::vector<engine_order> orders;
    std::unordered_map<engine_stream const*, std::shared_ptr<stream_reader>>
        readers;
    std::unordered_map<engine_stream const*, http_exchange_ptr> whole_readers;
    run_history runs;
    load_history loads;
    cache_event_log cache_events;
};

} // namespace medlarstall::standins

#endif
