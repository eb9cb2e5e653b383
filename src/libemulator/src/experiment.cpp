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

constexpr std::size_t most_items = 64;
constexpr double most_seconds = 3600;
constexpr double most_factor = 1000;
constexpr double most_number = 1e9;
constexpr unsigned most_count = 100000;
constexpr unsigned most_organisations = 4000;
constexpr milliseconds longest{3600000};

template<class T, std::size_t Size>
using named = std::array<std::pair<char const*, T>, Size>;

constexpr named<routes::route_kind, 3> kinds{
    {{"repeatable", routes::route_kind::repeatable},
     {"once", routes::route_kind::once},
     {"stream", routes::route_kind::stream}}};

constexpr named<trouble_kind, 6> trouble_kinds{
    {{"burst", trouble_kind::burst},
     {"hot_part", trouble_kind::hot_part},
     {"hot_organisation", trouble_kind::hot_organisation},
     {"crash", trouble_kind::crash},
     {"slow", trouble_kind::slow},
     {"restart", trouble_kind::restart}}};

template<class T, std::size_t Size>
void read_word(object_reader& reader, std::string_view key,
               named<T, Size> const& words, T& target)
{
    std::string word;
    reader.read(key, word, text_form::name);
    if (word.empty()) {
        return;
    }
    std::string allowed;
    for (auto const& [name, value] : words) {
        if (word == name) {
            target = value;
            return;
        }
        allowed += (allowed.empty() ? "" : ", ") + std::string{name};
    }
    reader.fail(reader.path_of(key),
                "'" + word + "' must be one of " + allowed);
}

void read_seconds(object_reader& reader, std::string_view key, seconds& target)
{
    auto value = target.count();
    reader.read(key, value, {0, most_seconds});
    target = seconds{value};
}

/// A number, or an object with mean, spread and most.
void read_spread(object_reader& reader, std::string_view key,
                 std::optional<error>& failure, spread_number& target)
{
    auto const* const value = reader.field(key);
    if (value == nullptr || value->is_number()) {
        reader.read(key, target.mean, {0, most_number});
        return;
    }
    object_reader inner{*value, reader.path_of(key), failure};
    constexpr double most_spread = 3;
    inner.require("mean");
    inner.read("mean", target.mean, {0, most_number});
    inner.read("spread", target.spread, {0, most_spread});
    inner.read("most", target.most, {0, most_number});
    inner.finish();
}

model_speed read_model(nlohmann::json const& value, std::string path,
                       std::optional<error>& failure)
{
    model_speed made;
    object_reader reader{value, std::move(path), failure};
    reader.read("slots", made.slots, {1, most_count});
    reader.read("queue", made.queue, {0, most_count});
    reader.read("step_ms", made.step_ms, {0.01, most_factor});
    reader.read("step_ms_per_slot", made.step_ms_per_slot, {0, most_factor});
    reader.read("step_ms_per_context_k", made.step_ms_per_context_k,
                {0, most_factor});
    reader.read("prompt_tokens_per_ms", made.prompt_tokens_per_ms,
                {0.01, most_number});
    reader.read("attention_ms_per_million", made.attention_ms_per_million,
                {0, most_factor});
    reader.read("chunk_tokens", made.chunk_tokens, {1, most_count});
    reader.read("tokens_per_event", made.tokens_per_event, {1, most_count});
    reader.read("memory_tokens", made.memory_tokens);
    reader.read("bytes_per_token", made.bytes_per_token, {0, most_number});
    reader.read("link_mbps", made.link_mbps, {0, most_number});
    reader.finish();
    return made;
}

noise_settings read_noise(nlohmann::json const& value, std::string path,
                          std::optional<error>& failure)
{
    noise_settings made;
    object_reader reader{value, std::move(path), failure};
    reader.read("share", made.share, {0, 1});
    reader.read("factor", made.factor, {0.01, most_factor});
    reader.read("every_ms", made.every, {1ms, longest});
    reader.finish();
    return made;
}

service_settings read_service(nlohmann::json const& value,
                              std::string const& path,
                              std::optional<error>& failure)
{
    service_settings made;
    object_reader reader{value, path, failure};
    reader.require("name");
    reader.read("name", made.name, text_form::name);
    reader.read("servers", made.servers, {1, most_count});
    reader.read("slots", made.plain.slots, {1, most_count});
    reader.read("queue", made.plain.queue, {0, most_count});
    if (auto const* const model = reader.field("model")) {
        made.model = read_model(*model, reader.path_of("model"), failure);
    }
    if (auto const* const noise = reader.field("noise")) {
        made.noise = read_noise(*noise, reader.path_of("noise"), failure);
    }
    reader.finish();
    return made;
}

shared_part read_shared(nlohmann::json const& value, std::string path,
                        std::optional<error>& failure)
{
    shared_part made;
    object_reader reader{value, std::move(path), failure};
    constexpr unsigned most_different = 4000;
    constexpr double most_skew = 5;
    reader.require("tokens");
    read_spread(reader, "tokens", failure, made.tokens);
    reader.read("different", made.different, {1, most_different});
    reader.read("skew", made.skew, {0, most_skew});
    reader.finish();
    return made;
}

class_settings read_class(nlohmann::json const& value, std::string path,
                          std::optional<error>& failure)
{
    class_settings made;
    object_reader reader{value, std::move(path), failure};
    constexpr unsigned most_priority = 9;
    constexpr unsigned most_attempts = 10;
    reader.require("name");
    reader.require("service");
    reader.read("name", made.name, text_form::name);
    reader.read("service", made.service, text_form::name);
    reader.read("per_second", made.per_second, {0.001, most_number});
    read_word(reader, "kind", kinds, made.kind);
    reader.read("resumable", made.resumable);
    reader.read("priority", made.priority, {0, most_priority});
    reader.read("attempts", made.attempts, {1, most_attempts});
    reader.read("caller_retries", made.caller_retries, {0, most_attempts});
    reader.read("objective_ms", made.objective, {1ms, longest});
    reader.read("pause_objective_ms", made.pause_objective, {0ms, longest});
    reader.read("time_limit_ms", made.time_limit, {1ms, longest});
    reader.read("worth", made.worth, {0.001, most_factor});
    reader.read("late_worth", made.late_worth, {0, most_factor});
    read_spread(reader, "work_ms", failure, made.work_ms);
    read_spread(reader, "prompt_tokens", failure, made.prompt_tokens);
    read_spread(reader, "output_tokens", failure, made.output_tokens);
    reader.read("output_guess_spread", made.output_guess_spread, {0, 3});
    reader.each("shared", most_items, [&](auto const& item, auto item_path) {
        made.shared.push_back(read_shared(item, std::move(item_path), failure));
    });
    reader.finish();
    return made;
}

trouble read_trouble(nlohmann::json const& value, std::string path,
                     std::optional<error>& failure)
{
    trouble made;
    object_reader reader{value, std::move(path), failure};
    reader.require("kind");
    read_word(reader, "kind", trouble_kinds, made.kind);
    read_seconds(reader, "at_s", made.at);
    read_seconds(reader, "length_s", made.length);
    reader.read("strength", made.strength, {0.01, most_factor});
    reader.read("share", made.share, {0, 1});
    reader.read("class", made.class_name, text_form::name);
    reader.read("service", made.service, text_form::name);
    reader.read("unnoticed_ms", made.unnoticed, {0ms, longest});
    reader.finish();
    return made;
}

template<class Items>
bool has_name(Items const& items, std::string const& name)
{
    return std::ranges::find(items, name, [](auto const& item) {
               return item.name;
           }) != items.end();
}

/// Checks what several fields must agree on.
void check(experiment const& made, std::optional<error>& failure)
{
    auto const fail = [&failure](std::string field, std::string message) {
        if (!failure) {
            failure = error{std::move(field), std::move(message)};
        }
    };
    if (made.services.empty() || made.classes.empty()) {
        fail(made.services.empty() ? "services" : "classes",
             "must have at least one");
    }
    if (made.large >= made.organisations) {
        fail("large", "must be fewer than organisations");
    }
    for (auto const& kind : made.classes) {
        if (!has_name(made.services, kind.service)) {
            fail("classes", "'" + kind.name + "' names the service '" +
                                kind.service + "', which is missing");
        }
    }
}

void check_troubles(experiment const& made, std::optional<error>& failure)
{
    for (auto const& one : made.troubles) {
        auto const has_class =
            one.class_name.empty() || has_name(made.classes, one.class_name);
        auto const has_service =
            one.service.empty() || has_name(made.services, one.service);
        if (!failure && !(has_class && has_service)) {
            failure = error{"troubles",
                            "'" + (has_class ? one.service : one.class_name) +
                                "' is missing"};
        }
    }
}

experiment read_all(nlohmann::json const& value, std::optional<error>& failure)
{
    experiment made;
    object_reader reader{value, "experiment", failure};
    constexpr double most_wave = 0.99;
    reader.require("name");
    reader.read("name", made.name, text_form::name);
    read_seconds(reader, "length_s", made.length);
    read_seconds(reader, "warm_up_s", made.warm_up);
    reader.read("daemons", made.daemons, {1, most_count});
    reader.read("organisations", made.organisations, {1, most_organisations});
    reader.read("large", made.large, {0, most_organisations});
    reader.read("large_share", made.large_share, {0, 1});
    reader.read("wave", made.wave, {0, most_wave});
    read_seconds(reader, "wave_period_s", made.wave_period);
    reader.read("wave_phase", made.wave_phase, {0, 1});
    reader.read("hop_ms", made.hop, {0ms, longest});
    reader.read("news_interval_ms", made.news_interval, {1ms, longest});
    reader.each("services", most_items,
                [&](auto const& item, auto const& path) {
                    made.services.push_back(read_service(item, path, failure));
                });
    reader.each("classes", most_items, [&](auto const& item, auto const& path) {
        made.classes.push_back(read_class(item, path, failure));
    });
    reader.finish();
    check(made, failure);
    return made;
}

void read_load(nlohmann::json const& value, experiment& at,
               std::optional<error>& failure)
{
    object_reader reader{value, "load", failure};
    std::string name;
    double factor = 1;
    reader.require("name");
    reader.read("name", name, text_form::name);
    reader.read("factor", factor, {0.01, most_factor});
    reader.each("troubles", most_items,
                [&](auto const& item, auto const& path) {
                    at.troubles.push_back(read_trouble(item, path, failure));
                });
    reader.finish();
    at.name += " " + name;
    for (auto& kind : at.classes) {
        kind.per_second *= factor;
    }
    check_troubles(at, failure);
}

routes::engine engine_of(model_speed const& speed)
{
    return {speed.slots, speed.memory_tokens, speed.tokens_per_event,
            speed.bytes_per_token, speed.link_mbps};
}

/// Parses a text and reads it; the first failure goes before what was read.
template<class Read>
result<experiment> parse_with(Read read, std::string_view text)
{
    auto const value = parse_json(text);
    if (failed(value)) {
        return error_of(value);
    }
    std::optional<error> failure;
    auto made = read(value_of(value), failure);
    if (failure) {
        return *failure;
    }
    return made;
}

} // namespace

result<experiment> parse_installation(std::string_view text)
{
    return parse_with(read_all, text);
}

result<experiment> parse_load(std::string_view text, experiment at)
{
    auto const read = [&at](nlohmann::json const& value,
                            std::optional<error>& failure) {
        read_load(value, at, failure);
        return std::move(at);
    };
    return parse_with(read, text);
}

routes::configuration configuration_of(experiment const& from)
{
    routes::configuration made;
    made.version = 1;
    for (auto const& settings : from.services) {
        auto& service = made.services.emplace_back();
        service.name = settings.name;
        if (settings.model) {
            service.model.emplace(engine_of(*settings.model));
        }
    }
    for (auto const& kind : from.classes) {
        routes::route route;
        route.name = kind.name;
        route.path_prefix = "/" + kind.name;
        route.kind = kind.kind;
        route.time_limit = kind.time_limit;
        route.objective = kind.objective;
        route.pause_objective = kind.pause_objective;
        route.priority = kind.priority;
        route.services = {{kind.service, 1}};
        route.attempts = kind.attempts;
        route.resumable = kind.resumable;
        made.routes.push_back(route);
    }
    return made;
}

} // namespace medlarstall::emulator
