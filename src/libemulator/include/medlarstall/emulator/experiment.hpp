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

/// Parameters of a log-normal distribution.
struct lognormal_settings
{
    double mean = 0;
    double sigma = 0;   ///< Of the logarithm; 0: always the mean.
    double maximum = 0; ///< Larger values are clamped to it; 0: no limit.
};

/// Speed and capacity of a backend server with a model.
struct model_server_settings
{
    std::uint32_t slots = 64;           ///< Requests in a batch.
    std::uint32_t queue_capacity = 192; ///< Further requests are rejected.
    double step_ms = 5;                 ///< Duration of an empty step.
    double step_ms_per_slot = 0.1;      ///< Added for each running request.
    /// Added for 1,000 tokens of context of the running requests.
    double step_ms_per_context_k = 0;
    double prompt_tokens_per_ms = 40; ///< Speed of prefill.
    /// Added for 1,000,000 products of a prompt token and a token before it.
    double attention_ms_per_million = 0;
    std::uint32_t chunk_tokens = 2048; ///< Prompt tokens computed in a step.
    std::uint32_t tokens_per_event = 1;
    std::uint64_t memory_tokens = 400000; ///< Of prompts and answers.
    double bytes_per_token = 0; ///< Of a copied prompt; 0: no copying.
    double link_mbps = 0;       ///< Bandwidth for copied prompts.
};

/// Capacity of a backend server without a model.
struct plain_server_settings
{
    std::uint32_t slots = 6;
    std::uint32_t queue_capacity = 24; ///< Further requests are rejected.
};

/// Random, short slowdowns of single backend servers. At the start of each
/// interval every server is slow with the given probability.
struct noise_settings
{
    double slow_probability = 0;
    double slowdown = 1; ///< Multiplies the processing time.
    std::chrono::milliseconds interval{600};
};

/// A service with its identical backend servers.
struct service_settings
{
    std::string name;
    std::uint32_t servers = 1;
    std::optional<model_server_settings> model; ///< Empty: without a model.
    plain_server_settings plain;                ///< Used without a model.
    noise_settings noise;
};

/// A prompt part that several requests of a class have in common, such as a
/// system prompt.
struct shared_part_settings
{
    lognormal_settings tokens;
    std::uint32_t variants = 1; ///< Different parts to draw from.
    double skew = 0;            ///< Zipf exponent; 0: uniform.
};

/// Requests of one class.
struct class_settings
{
    std::string name;
    std::string service;
    double requests_per_second = 1;
    routes::route_kind kind = routes::route_kind::idempotent;
    bool resumable = false;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t attempts = 1;
    std::uint32_t caller_retries = 1; ///< Retries by the caller if refused.
    std::chrono::milliseconds objective{1000};    ///< To the first event.
    std::chrono::milliseconds pause_objective{0}; ///< 0: none.
    std::chrono::milliseconds time_limit{10000};
    /// Value of an answer that comes on time, for a request of mean size.
    double worth = 1;
    double late_worth = 0;            ///< Value of an answer that comes late.
    lognormal_settings work_ms;       ///< For a service without a model.
    lognormal_settings prompt_tokens; ///< Without the shared parts.
    lognormal_settings output_tokens;
    /// Sigma of the error of the output length that callers estimate.
    double output_estimate_sigma = 0.5;
    std::vector<shared_part_settings> shared_parts; ///< In prompt order.
};

/// Kinds of disturbances in an experiment.
enum class disturbance_kind
{
    burst,            ///< Higher request rate of one class or of all.
    hot_prompt_part,  ///< Some requests of a class use the same shared parts.
    hot_organisation, ///< One organisation sends more requests.
    server_crash,     ///< Some backend servers of a service go down.
    slow_servers,     ///< Some backend servers of a service are slow.
    daemon_restart    ///< All daemons restart and lose their state.
};

/// A disturbance of limited length.
struct disturbance
{
    disturbance_kind kind = disturbance_kind::burst;
    seconds start{0};
    seconds length{1};
    double strength = 2; ///< Factor of the request rate or processing time.
    double affected_share = 0.3; ///< Of the requests or backend servers.
    std::string class_name;      ///< Empty: all classes.
    std::string service;         ///< Empty: the first service.
    /// Time from a crash until daemons see that the connections are lost.
    std::chrono::milliseconds detection_delay{0};
};

/// Everything that defines an experiment: the installation, its usual load
/// and the disturbances.
struct experiment
{
    std::string name;
    seconds length{30};
    seconds warm_up{3}; ///< Requests that arrive in it are not counted.
    std::uint32_t daemon_count = 5;
    std::uint32_t organisation_count = 12;
    std::uint32_t large_organisations = 2; ///< Part of organisation_count.
    double large_share = 0.5;  ///< Of the load, for all large ones together.
    double wave_amplitude = 0; ///< Of a sine wave, relative to the mean load.
    seconds wave_period{13};
    double wave_phase = 0;                  ///< Part of a period, from 0 to 1.
    std::chrono::milliseconds hop_delay{2}; ///< One way, between processes.
    std::chrono::milliseconds peer_update_interval{200}; ///< Of each daemon.
    std::vector<service_settings> services;
    std::vector<class_settings> classes;
    std::vector<disturbance> disturbances;
};

/// Parses the description of an installation and its usual load.
/// \param text JSON text
/// \return an experiment without disturbances, or an error that names the
///         invalid field
[[nodiscard]] result<experiment> parse_installation(std::string_view text);

/// Parses a load: a factor for all request rates, and disturbances.
/// \param text JSON text
/// \param installation experiment to which the load is added
/// \return the complete experiment, or an error that names the invalid field
[[nodiscard]] result<experiment> parse_load(std::string_view text,
                                            experiment installation);

/// Makes the configuration that the daemons of an experiment use.
/// \param spec experiment with services and classes
/// \return a configuration with these services and one route for each class
[[nodiscard]] routes::configuration make_configuration(experiment const& spec);

} // namespace medlarstall::emulator

#endif
