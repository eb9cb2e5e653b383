#ifndef MEDLARSTALL_DISPATCH_PLACEMENT_HPP
#define MEDLARSTALL_DISPATCH_PLACEMENT_HPP

// What the dispatcher is asked, what it answers, and what it is told.

#include <medlarstall/dispatch/placement_cost.hpp>
#include <medlarstall/dispatch/prompt.hpp>
#include <medlarstall/dispatch/server_health.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::dispatch {

/// A request for which a backend server is to be chosen.
struct placement_request
{
    std::string service; ///< Name of the service.
    /// Empty for a service without a model.
    std::optional<prompt> model_prompt;
    /// How likely prefill of other prompts makes a pause between two events of
    /// its answer too long, 0 to 1, as given by pause_sensitivity().
    double pause_sensitivity = 0;
    std::uint32_t urgency_rank = 0; ///< Rank; 0 is the most urgent.
    /// The rank divided by the number of ranks.
    double urgency_share = 0;
    /// Hash of the request that breaks ties.
    std::uint64_t tie_break_hash = 0;
    /// Backend servers already tried.
    std::vector<std::string> excluded_servers;
    /// Version of the software that must run it; empty if any may.
    std::optional<std::string> software_version;
};

/// The backend server chosen for a request, and the values that led to it.
struct placement
{
    std::string backend_server;   ///< Id of the chosen backend server.
    std::string address;          ///< Its address, in the form IP:PORT.
    std::string software_version; ///< As stated by its entry in the list.
    /// Start of its process, as stated by its entry in the list.
    std::int64_t started_unix_ms = 0;
    /// Number of backend servers compared.
    std::size_t candidate_count = 0;
    /// Number of backend servers left out to keep to their rate limits.
    std::size_t withheld_count = 0;
    cost_ms cost = 0; ///< Cost by which it was chosen.
    /// Expected time to the first event; corrected by the slowness of the
    /// backend server, but not by estimate_factor.
    cost_ms expected_first_event = 0;
    double estimate_factor = 1; ///< Calibration of estimates of the service.
    /// Requests in flight at all candidates, divided by their slots.
    double load_per_slot = 0;
    std::uint32_t cached_tokens = 0; ///< Prompt tokens in its cache.
    std::uint32_t copied_tokens = 0; ///< Prompt tokens that it should copy.
    /// Address to copy from; empty if nothing is copied.
    std::string copy_source_address;
    double in_flight = 0;      ///< Requests in flight there, as far as known.
    health state = health::up; ///< Its health when it was chosen.
    std::chrono::milliseconds entry_age{0}; ///< Age of its entry in the list.
};

/// The load that a request in flight adds to its backend server. Kept with the
/// request and passed back when the request progresses or ends.
struct load_reservation
{
    std::string backend_server;
    std::string service;
    /// Number that this daemon gave to the run of the backend server.
    std::uint64_t incarnation = 0;
    double prefill_tokens = 0;
    double memory_tokens = 0;
    double pause_sensitivity = 0;
    /// As in placement: corrected by slowness, but not by estimate_factor.
    cost_ms expected_first_event = 0;
    time_point sent_at;
    /// Whether the first event of a stream, or the head of another answer, has
    /// arrived.
    bool answer_started = false;
    bool answer_ended = false; ///< It counts as load no longer.
};

/// How a request that was sent to a backend server ended there.
enum class send_outcome
{
    succeeded,
    failed,   ///< Connection lost, answer malformed, or an error status.
    rejected, ///< The backend server stated that it has not run the request.
    cancelled ///< The caller disconnected or the time limit passed.
};

/// Load of one backend server, as daemons report it to each other.
struct server_load_entry
{
    std::string backend_server;
    server_load load;
};

/// Prompt parts and the backend server that has them in its cache, as far as a
/// daemon knows.
struct server_prompt_parts
{
    std::string backend_server;
    std::vector<prompt_part> parts;
    /// Start of the run that has them, as stated by its entry in the list;
    /// empty if not known.
    std::optional<std::int64_t> started_unix_ms = std::nullopt;
};

/// Tells that a backend server has announced in an answer that it leaves. Holds
/// for that run only; draining is stated in the list entry instead.
struct leave_notice
{
    std::string backend_server;
    /// As stated by its entry in the list.
    std::int64_t started_unix_ms = 0;
};

/// When the caller of a request that exceeds the rate limits of a service
/// should come back, and the values that led to it.
struct limited_return
{
    duration delay{0};
    std::size_t limited_servers = 0; ///< Backend servers with a rate limit.
    double requests_per_second = 0;  ///< Sum of their limits.
    std::size_t sharers = 0; ///< Daemons that share the limit of one of them.
    duration age{0}; ///< Time since the oldest of the limits was observed.
};

/// Load figures that a backend server sends with its answers.
struct server_load_report
{
    std::uint32_t running = 0; ///< Requests that run.
    std::uint32_t waiting = 0; ///< Requests in its queue.
    std::uint32_t slots = 0;   ///< Requests that it can run at the same time.
    /// Time that work takes; 100 is normal.
    std::uint32_t relative_duration_percent = 100;
};

} // namespace medlarstall::dispatch

#endif
