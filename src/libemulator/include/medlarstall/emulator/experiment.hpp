#ifndef MEDLARSTALL_EMULATOR_EXPERIMENT_HPP
#define MEDLARSTALL_EMULATOR_EXPERIMENT_HPP

#include <medlarstall/routes/configuration.hpp>
#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::emulator {

using seconds = std::chrono::duration<double>;

/// Numbers from a log-normal distribution.
struct spread_number
{
    double mean = 0;
    double spread = 0; ///< Of the logarithm; 0: always the mean.
    double most = 0;   ///< Larger ones are cut; 0: none is.
};

/// Speed and room of a backend server with a model.
struct model_speed
{
    std::uint32_t slots = 64;         ///< Requests in a batch.
    std::uint32_t queue = 192;        ///< More are turned away.
    double step_ms = 5;               ///< Time of a step of an empty batch.
    double step_ms_per_slot = 0.1;    ///< For each request that runs.
    double step_ms_per_context_k = 0; ///< For 1,000 tokens in its memory.
    double prompt_tokens_per_ms = 40;
    double attention_ms_per_million = 0; ///< Prompt tokens times context.
    std::uint32_t chunk_tokens = 2048;   ///< Of prompts in one step.
    std::uint32_t tokens_per_event = 1;
    std::uint64_t memory_tokens = 400000;
    double bytes_per_token = 0; ///< To copy memory; 0: cannot be copied.
    double link_mbps = 0;       ///< To copy memory.
};

/// Room of a backend server without a model.
struct plain_speed
{
    std::uint32_t slots = 6;
    std::uint32_t queue = 24; ///< More are turned away.
};

/// Backend servers that are slow for a moment, each by chance.
struct noise_settings
{
    double share = 0;  ///< Of the moments.
    double factor = 1; ///< Of the time that work takes.
    std::chrono::milliseconds every{600};
};

/// A group of equal backend servers.
struct service_settings
{
    std::string name;
    std::uint32_t servers = 1;
    std::optional<model_speed> model;
    plain_speed plain;
    noise_settings noise;
};

/// A part of prompts that several requests share.
struct shared_part
{
    spread_number tokens;
    std::uint32_t different = 1; ///< Parts to draw from.
    double skew = 0;             ///< 0: all are drawn alike.
};

/// Requests of one kind.
struct class_settings
{
    std::string name;
    std::string service;
    double per_second = 1;
    routes::route_kind kind = routes::route_kind::repeatable;
    bool resumable = false;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t attempts = 1;
    std::uint32_t caller_retries = 1; ///< After a refusal.
    std::chrono::milliseconds objective{1000};
    std::chrono::milliseconds pause_objective{0};
    std::chrono::milliseconds time_limit{10000};
    double worth = 1;
    double late_worth = 0;
    spread_number work_ms;       ///< Of a service without a model.
    spread_number prompt_tokens; ///< Of the request's own part.
    spread_number output_tokens;
    double output_guess_spread = 0.5; ///< Of what callers say about it.
    std::vector<shared_part> shared;
};

/// What may happen in an experiment.
enum class trouble_kind
{
    burst,            ///< More requests of a class, or of all.
    hot_part,         ///< A share of a class has the same shared part.
    hot_organisation, ///< One organisation sends more.
    crash,            ///< A share of a service's backend servers goes down.
    slow,             ///< A share of a service's backend servers is slow.
    restart           ///< All daemons stop and start with empty memory.
};

/// One trouble. Plain data.
struct trouble
{
    trouble_kind kind = trouble_kind::burst;
    seconds at{0};
    seconds length{1};
    double strength = 2; ///< Factor of the load, or of the time of a step.
    double share = 0.3;
    std::string class_name;                 ///< Empty: all.
    std::string service;                    ///< Empty: the first.
    std::chrono::milliseconds unnoticed{0}; ///< Before connections are lost.
};

/// One experiment. Plain data.
struct experiment
{
    std::string name;
    seconds length{30};
    seconds warm_up{3}; ///< Not counted.
    std::uint32_t daemons = 5;
    std::uint32_t organisations = 12;
    std::uint32_t large = 2;  ///< Organisations with a large share.
    double large_share = 0.5; ///< Of the load, of all large ones together.
    double wave = 0;          ///< The load swings by this part.
    seconds wave_period{13};
    double wave_phase = 0; ///< Part of a period that is over at the start.
    std::chrono::milliseconds hop{2}; ///< One way, daemon to backend server.
    std::chrono::milliseconds news_interval{200}; ///< Between daemons.
    std::vector<service_settings> services;
    std::vector<class_settings> classes;
    std::vector<trouble> troubles;
};

/// Reads an installation, with its usual load, and checks every field.
/// \param text JSON text
/// \return an experiment without troubles, or an error with the field at fault
[[nodiscard]] result<experiment> parse_installation(std::string_view text);

/// Reads what happens at an installation and checks every field.
/// \param text JSON text
/// \param at the installation
/// \return the whole experiment, or an error with the field at fault
[[nodiscard]] result<experiment> parse_load(std::string_view text,
                                            experiment at);

/// \param from an experiment
/// \return its services and classes as a configuration with one route a class
[[nodiscard]] routes::configuration configuration_of(experiment const& from);

} // namespace medlarstall::emulator

#endif
