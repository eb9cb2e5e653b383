#include <medlarstall/standins/engine_standin.hpp>
#include <medlarstall/standins/platform_standin.hpp>
#include <medlarstall/standins/service_standin.hpp>

#include <nlohmann/json.hpp>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

using namespace medlarstall::standins;

namespace {

constexpr double hundred = 100.0;

/// Settings of the program.
struct options
{
    std::string role;
    host_settings host;
    std::string switches;
    std::string name;
    unsigned slots = 0;
    unsigned between_tokens_ms = 0;
    unsigned prefill_us = 0;
    unsigned batching_percent = 0;
    bool checks_fencing = true;
    std::vector<std::string> known_models;
    std::vector<std::string> models;
};

options parse_options(int argument_count, char** arguments)
{
    TCLAP::CmdLine line{"Stand-in of an engine, a service or the platform", ' ',
                        MEDLARSTALL_VERSION};
    std::vector<std::string> roles{"engine", "service", "platform"};
    TCLAP::ValuesConstraint<std::string> allowed{roles};
    TCLAP::UnlabeledValueArg<std::string> role{
        "role", "what to stand in for", true, "", &allowed, line};
    TCLAP::ValueArg<unsigned> port{"",     "port", "0: any free one", false, 0,
                                   "PORT", line};
    TCLAP::ValueArg<std::string> address{
        "", "address", "IP number", false, "127.0.0.1", "IP", line};
    TCLAP::ValueArg<std::string> switches{
        "", "switches", "faults as a JSON object", false, "{}", "JSON", line};
    TCLAP::ValueArg<std::string> name{
        "", "name", "name of the service", false, "service", "NAME", line};
    TCLAP::ValueArg<unsigned> slots{"",  "slots", "streams at once", false, 8,
                                    "N", line};
    TCLAP::ValueArg<unsigned> between{
        "", "between-tokens-ms", "time per token", false, 20, "MS", line};
    TCLAP::ValueArg<unsigned> prefill{
        "", "prefill-us", "prefill time per token", false, 200, "US", line};
    TCLAP::ValueArg<unsigned> batching{"",
                                       "batching-percent",
                                       "slower per running stream",
                                       false,
                                       2,
                                       "PERCENT",
                                       line};
    TCLAP::SwitchArg ignores{"", "ignore-fencing",
                             "takes orders with old fencing numbers", line};
    TCLAP::MultiArg<std::string> known{
        "", "known-model", "a model that may be loaded", false, "NAME", line};
    TCLAP::MultiArg<std::string> models{"",    "model", "a loaded model",
                                        false, "NAME",  line};
    line.parse(argument_count, arguments);
    return {.role = role.getValue(),
            .host = {.address = address.getValue(),
                     .port = static_cast<std::uint16_t>(port.getValue())},
            .switches = switches.getValue(),
            .name = name.getValue(),
            .slots = slots.getValue(),
            .between_tokens_ms = between.getValue(),
            .prefill_us = prefill.getValue(),
            .batching_percent = batching.getValue(),
            .checks_fencing = !ignores.getValue(),
            .known_models = known.getValue(),
            .models = models.getValue()};
}

engine_settings read_settings(options const& from, engine_settings settings)
{
    settings.host = from.host;
    settings.speed.slots = from.slots;
    settings.speed.between_tokens =
        std::chrono::milliseconds{from.between_tokens_ms};
    settings.speed.prefill_per_token =
        std::chrono::microseconds{from.prefill_us};
    settings.speed.batching_slowdown = from.batching_percent / hundred;
    settings.checks_fencing = from.checks_fencing;
    settings.known_models = from.known_models;
    settings.models = from.models;
    return settings;
}

service_settings read_settings(options const& from, service_settings settings)
{
    settings.host = from.host;
    settings.name = from.name;
    return settings;
}

platform_settings read_settings(options const& from, platform_settings settings)
{
    settings.host = from.host;
    return settings;
}

template<class Standin, class Settings>
int serve(options const& from)
{
    asio::io_context context{1};
    Standin standin{context, read_settings(from, Settings{})};
    auto switches = standin.switches();
    auto const object = nlohmann::json::parse(from.switches, nullptr, false);
    auto const outcome = read_switches(object, switches);
    if (medlarstall::failed(outcome)) {
        auto const& failure = medlarstall::error_of(outcome);
        std::cerr << "--switches: " << failure.field << ": " << failure.message
                  << '\n';
        return 2;
    }
    standin.start();
    standin.set(switches);
    std::cout << from.role << " listens on " << from.host.address << ':'
              << standin.port() << std::endl;
    asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([&](auto const&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argument_count, char** arguments)
{
    try {
        auto const from = parse_options(argument_count, arguments);
        if (from.role == "engine") {
            return serve<engine_standin, engine_settings>(from);
        }
        if (from.role == "service") {
            return serve<service_standin, service_settings>(from);
        }
        return serve<platform_standin, platform_settings>(from);
    } catch (std::exception const& failure) {
        std::cerr << "medlarstall_standin: " << failure.what() << '\n';
        return 1;
    }
}
