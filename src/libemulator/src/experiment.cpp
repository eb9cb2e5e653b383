#include <medlarstall/emulator/experiment.hpp>

#include <medlarstall/support/json_text.hpp>
#include <medlarstall/support/object_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace medlarstall::emulator {

namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr std::size_t max_items = 64;
constexpr double max_seconds = 3600;
constexpr double max_factor = 1000;
constexpr double max_number = 1e9;
constexpr unsigned max_count = 100000;
constexpr unsigned max_organisations = 4000;
constexpr milliseconds max_duration{3600000};

template<class T, std::size_t Size>
using enumerator_names = std::array<std::pair<char const*, T>, Size>;

constexpr enumerator_names<routes::route_kind, 3> route_kinds{
    {{"repeatable", routes::route_kind::idempotent},
     {"once", routes::route_kind::at_most_once},
     {"stream", routes::route_kind::stream}}};

constexpr enumerator_names<disturbance_kind, 6> disturbance_kinds{
    {{"burst", disturbance_kind::burst},
     {"hot_part", disturbance_kind::hot_prompt_part},
     {"hot_organisation", disturbance_kind::hot_organisation},
     {"crash", disturbance_kind::server_crash},
     {"slow", disturbance_kind::slow_servers},
     {"restart", disturbance_kind::daemon_restart}}};

template<class T, std::size_t Size>
void read_enumerator(object_reader& reader, std::string_view key,
                     enumerator_names<T, Size> const& names, T& target)
{
    std::string text;
    reader.read(key, text, text_format::name);
    if (text.empty()) {
        return;
    }
    std::string allowed;
    for (auto const& [name, value] : names) {
        if (text == name) {
            target = value;
            return;
        }
        allowed += (allowed.empty() ? "" : ", ") + std::string{name};
    }
    reader.record_error(reader.path_of(key),
                        "'" + text + "' must be one of " + allowed);
}

void read_seconds(object_reader& reader, std::string_view key, seconds& target)
{
    auto value = target.count();
    reader.read(key, value, {0, max_seconds});
    target = seconds{value};
}

/// Reads a number, which becomes the mean, or an object with the fields mean,
/// spread (the sigma) and most (the maximum).
void read_lognormal(object_reader& reader, std::string_view key,
                    std::optional<error>& failure, lognormal_settings& target)
{
    auto const* const value = reader.find_field(key);
    if (value == nullptr || value->is_number()) {
        reader.read(key, target.mean, {0, max_number});
        return;
    }
    object_reader inner{*value, reader.path_of(key), failure};
    constexpr double max_sigma = 3;
    inner.require("mean");
    inner.read("mean", target.mean, {0, max_number});
    inner.read("spread", target.sigma, {0, max_sigma});
    inner.read("most", target.maximum, {0, max_number});
    inner.reject_unknown_fields();
}

model_server_settings read_model(nlohmann::json const& value, std::string path,
                                 std::optional<error>& failure)
{
    model_server_settings parsed;
    object_reader reader{value, std::move(path), failure};
    reader.read("slots", parsed.slots, {1, max_count});
    reader.read("queue", parsed.queue_capacity, {0, max_count});
    reader.read("step_ms", parsed.step_ms, {0.01, max_factor});
    reader.read("step_ms_per_slot", parsed.step_ms_per_slot, {0, max_factor});
    reader.read("step_ms_per_context_k", parsed.step_ms_per_context_k,
                {0, max_factor});
    reader.read("prompt_tokens_per_ms", parsed.prompt_tokens_per_ms,
                {0.01, max_number});
    reader.read("attention_ms_per_million", parsed.attention_ms_per_million,
                {0, max_factor});
    reader.read("chunk_tokens", parsed.chunk_tokens, {1, max_count});
    reader.read("tokens_per_event", parsed.tokens_per_event, {1, max_count});
    reader.read("memory_tokens", parsed.memory_tokens);
    reader.read("bytes_per_token", parsed.bytes_per_token, {0, max_number});
    reader.read("link_mbps", parsed.link_mbps, {0, max_number});
    reader.reject_unknown_fields();
    return parsed;
}

noise_settings read_noise(nlohmann::json const& value, std::string path,
                          std::optional<error>& failure)
{
    noise_settings parsed;
    object_reader reader{value, std::move(path), failure};
    reader.read("share", parsed.slow_probability, {0, 1});
    reader.read("factor", parsed.slowdown, {0.01, max_factor});
    reader.read("every_ms", parsed.interval, {1ms, max_duration});
    reader.reject_unknown_fields();
    return parsed;
}

service_settings read_service(nlohmann::json const& value,
                              std::string const& path,
                              std::optional<error>& failure)
{
    service_settings parsed;
    object_reader reader{value, path, failure};
    reader.require("name");
    reader.read("name", parsed.name, text_format::name);
    reader.read("servers", parsed.servers, {1, max_count});
    reader.read("slots", parsed.plain.slots, {1, max_count});
    reader.read("queue", parsed.plain.queue_capacity, {0, max_count});
    if (auto const* const model = reader.find_field("model")) {
        parsed.model = read_model(*model, reader.path_of("model"), failure);
    }
    if (auto const* const noise = reader.find_field("noise")) {
        parsed.noise = read_noise(*noise, reader.path_of("noise"), failure);
    }
    reader.reject_unknown_fields();
    return parsed;
}

shared_part_settings read_shared_part(nlohmann::json const& value,
                                      std::string path,
                                      std::optional<error>& failure)
{
    shared_part_settings parsed;
    object_reader reader{value, std::move(path), failure};
    constexpr unsigned max_variants = 4000;
    constexpr double max_skew = 5;
    reader.require("tokens");
    read_lognormal(reader, "tokens", failure, parsed.tokens);
    reader.read("different", parsed.variants, {1, max_variants});
    reader.read("skew", parsed.skew, {0, max_skew});
    reader.reject_unknown_fields();
    return parsed;
}

class_settings read_class(nlohmann::json const& value, std::string path,
                          std::optional<error>& failure)
{
    class_settings parsed;
    object_reader reader{value, std::move(path), failure};
    constexpr unsigned max_priority = 9;
    constexpr unsigned max_attempts = 10;
    reader.require("name");
    reader.require("service");
    reader.read("name", parsed.name, text_format::name);
    reader.read("service", parsed.service, text_format::name);
    reader.read("per_second", parsed.requests_per_second, {0.001, max_number});
    read_enumerator(reader, "kind", route_kinds, parsed.kind);
    reader.read("resumable", parsed.resumable);
    reader.read("priority", parsed.priority, {0, max_priority});
    reader.read("attempts", parsed.attempts, {1, max_attempts});
    reader.read("caller_retries", parsed.caller_retries, {0, max_attempts});
    reader.read("objective_ms", parsed.objective, {1ms, max_duration});
    reader.read("pause_objective_ms", parsed.pause_objective,
                {0ms, max_duration});
    reader.read("time_limit_ms", parsed.time_limit, {1ms, max_duration});
    reader.read("worth", parsed.worth, {0.001, max_factor});
    reader.read("late_worth", parsed.late_worth, {0, max_factor});
    read_lognormal(reader, "work_ms", failure, parsed.work_ms);
    read_lognormal(reader, "prompt_tokens", failure, parsed.prompt_tokens);
    read_lognormal(reader, "output_tokens", failure, parsed.output_tokens);
    reader.read("output_guess_spread", parsed.output_estimate_sigma, {0, 3});
    reader.for_each_item(
        "shared", max_items, [&](auto const& item, auto item_path) {
            parsed.shared_parts.push_back(
                read_shared_part(item, std::move(item_path), failure));
        });
    reader.reject_unknown_fields();
    return parsed;
}

disturbance read_disturbance(nlohmann::json const& value, std::string path,
                             std::optional<error>& failure)
{
    disturbance parsed;
    object_reader reader{value, std::move(path), failure};
    reader.require("kind");
    read_enumerator(reader, "kind", disturbance_kinds, parsed.kind);
    read_seconds(reader, "at_s", parsed.start);
    read_seconds(reader, "length_s", parsed.length);
    reader.read("strength", parsed.strength, {0.01, max_factor});
    reader.read("share", parsed.affected_share, {0, 1});
    reader.read("class", parsed.class_name, text_format::name);
    reader.read("service", parsed.service, text_format::name);
    reader.read("unnoticed_ms", parsed.detection_delay, {0ms, max_duration});
    reader.reject_unknown_fields();
    return parsed;
}

template<class Items>
bool has_name(Items const& items, std::string const& name)
{
    return std::ranges::find(items, name, [](auto const& item) {
               return item.name;
           }) != items.end();
}

/// Checks the conditions that involve several fields of an installation.
void check_consistency(experiment const& parsed, std::optional<error>& failure)
{
    auto const fail = [&failure](std::string field, std::string message) {
        if (!failure) {
            failure = error{std::move(field), std::move(message)};
        }
    };
    if (parsed.services.empty() || parsed.classes.empty()) {
        fail(parsed.services.empty() ? "services" : "classes",
             "must have at least one entry");
    }
    if (parsed.large_organisations >= parsed.organisation_count) {
        fail("large", "must be fewer than organisations");
    }
    for (auto const& request_class : parsed.classes) {
        if (!has_name(parsed.services, request_class.service)) {
            fail("classes",
                 "'" + request_class.name + "' refers to the service '" +
                     request_class.service + "', which is not defined");
        }
    }
}

void check_disturbances(experiment const& parsed, std::optional<error>& failure)
{
    for (auto const& each : parsed.disturbances) {
        auto const has_class = each.class_name.empty() ||
                               has_name(parsed.classes, each.class_name);
        auto const has_service =
            each.service.empty() || has_name(parsed.services, each.service);
        if (!failure && !(has_class && has_service)) {
            failure = error{"troubles",
                            "'" + (has_class ? each.service : each.class_name) +
                                "' is not defined"};
        }
    }
}

experiment read_installation(nlohmann::json const& value,
                             std::optional<error>& failure)
{
    experiment parsed;
    object_reader reader{value, "experiment", failure};
    constexpr double max_wave_amplitude = 0.99;
    reader.require("name");
    reader.read("name", parsed.name, text_format::name);
    read_seconds(reader, "length_s", parsed.length);
    read_seconds(reader, "warm_up_s", parsed.warm_up);
    reader.read("daemons", parsed.daemon_count, {1, max_count});
    reader.read("organisations", parsed.organisation_count,
                {1, max_organisations});
    reader.read("large", parsed.large_organisations, {0, max_organisations});
    reader.read("large_share", parsed.large_share, {0, 1});
    reader.read("wave", parsed.wave_amplitude, {0, max_wave_amplitude});
    read_seconds(reader, "wave_period_s", parsed.wave_period);
    reader.read("wave_phase", parsed.wave_phase, {0, 1});
    reader.read("hop_ms", parsed.hop_delay, {0ms, max_duration});
    reader.read("news_interval_ms", parsed.peer_update_interval,
                {1ms, max_duration});
    reader.for_each_item(
        "services", max_items, [&](auto const& item, auto const& path) {
            parsed.services.push_back(read_service(item, path, failure));
        });
    reader.for_each_item(
        "classes", max_items, [&](auto const& item, auto const& path) {
            parsed.classes.push_back(read_class(item, path, failure));
        });
    reader.reject_unknown_fields();
    check_consistency(parsed, failure);
    return parsed;
}

void read_load(nlohmann::json const& value, experiment& parsed,
               std::optional<error>& failure)
{
    object_reader reader{value, "load", failure};
    std::string name;
    double factor = 1;
    reader.require("name");
    reader.read("name", name, text_format::name);
    reader.read("factor", factor, {0.01, max_factor});
    reader.for_each_item("troubles", max_items,
                         [&](auto const& item, auto const& path) {
                             parsed.disturbances.push_back(
                                 read_disturbance(item, path, failure));
                         });
    reader.reject_unknown_fields();
    parsed.name += " " + name;
    for (auto& request_class : parsed.classes) {
        request_class.requests_per_second *= factor;
    }
    check_disturbances(parsed, failure);
}

routes::engine make_engine(model_server_settings const& settings)
{
    return {settings.slots, settings.memory_tokens, settings.tokens_per_event,
            settings.bytes_per_token, settings.link_mbps};
}

/// Parses JSON text and passes it to a reader. If the reader has reported a
/// failure, that failure is returned instead of the experiment.
template<class Read>
result<experiment> parse_with(Read read, std::string_view text)
{
    auto const value = parse_json(text);
    if (failed(value)) {
        return error_of(value);
    }
    std::optional<error> failure;
    auto parsed = read(value_of(value), failure);
    if (failure) {
        return *failure;
    }
    return parsed;
}

} // namespace

result<experiment> parse_installation(std::string_view text)
{
    return parse_with(read_installation, text);
}

result<experiment> parse_load(std::string_view text, experiment installation)
{
    auto const read = [&installation](nlohmann::json const& value,
                                      std::optional<error>& failure) {
        read_load(value, installation, failure);
        return std::move(installation);
    };
    return parse_with(read, text);
}

routes::configuration make_configuration(experiment const& spec)
{
    routes::configuration configuration;
    configuration.version = 1;
    for (auto const& settings : spec.services) {
        auto& service = configuration.services.emplace_back();
        service.name = settings.name;
        if (settings.model) {
            service.model.emplace(make_engine(*settings.model));
        }
    }
    for (auto const& request_class : spec.classes) {
        routes::route route;
        route.name = request_class.name;
        route.path_prefix = "/" + request_class.name;
        route.kind = request_class.kind;
        route.time_limit = request_class.time_limit;
        route.objective = request_class.objective;
        route.pause_objective = request_class.pause_objective;
        route.priority = request_class.priority;
        route.services = {{request_class.service, 1}};
        route.max_attempts = request_class.attempts;
        route.resumable = request_class.resumable;
        configuration.routes.push_back(route);
    }
    return configuration;
}

} // namespace medlarstall::emulator
