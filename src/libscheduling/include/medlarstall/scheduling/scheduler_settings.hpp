#ifndef MEDLARSTALL_SCHEDULING_SCHEDULER_SETTINGS_HPP
#define MEDLARSTALL_SCHEDULING_SCHEDULER_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace medlarstall::scheduling {

/// How the concurrency limit of a backend server follows its latency.
struct limiter_settings
{
    /// Fraction of the slots that is used until a load report confirms the
    /// load.
    double initial_fraction = 0.5;
    /// Fraction of the slots below which the limit never falls.
    double min_fraction = 0.125;
    /// Fraction of the first-token target that the backend server may use. The
    /// rest is left for queueing at the owner.
    double first_token_fraction = 0.5;
    /// Fraction of the observations in a window that may miss the target.
    double tolerated_miss_fraction = 0.05;
    /// Time between two adjustments of a limit.
    std::chrono::milliseconds adjustment_window{200};
    /// Number of consecutive windows within the targets that replace a load
    /// report.
    unsigned windows_to_confirm = 10;
};

/// Settings of an owner's scheduler. Every value has a usable default.
struct scheduler_settings
{
    std::string owner; ///< Name of this daemon in summaries.
    limiter_settings limiter;
    /// Number of requests that may wait in a group, per slot of the group.
    unsigned max_queued_per_slot = 32;
    /// Fraction of a group's limit that long requests may hold while others
    /// wait.
    double long_request_fraction = 0.125;
    /// A request is long from this multiple of the typical output on.
    double long_request_factor = 4.0;
    /// A request with fewer output tokens than this is never long.
    std::uint32_t long_request_min_tokens = 256;
    /// Output tokens assumed for a request before any has finished.
    std::uint32_t initial_output_estimate = 128;
    /// A tier that has waited this long without service gets the next free
    /// slot.
    std::chrono::milliseconds max_tier_wait{3500};
    /// Tokens that a request generates before it may be preempted again.
    std::uint32_t min_tokens_between_preemptions = 64;
    /// Time allowed for cancelling a victim and starting another request in
    /// its place.
    std::chrono::milliseconds preemption_latency{20};
    /// A new request is refused at once if its expected wait exceeds the time
    /// left until its deadline by this factor.
    double early_refusal_factor = 2.0;
    std::chrono::milliseconds min_retry_after{500};
    std::chrono::milliseconds max_retry_after{30'000};
    /// Tokens (for a weight of 1) by which an organisation can be ahead of the
    /// others. The bound keeps past usage from locking it out.
    double max_lead_tokens = 20'000;
    /// A load report older than this is ignored.
    std::chrono::milliseconds load_report_lifetime{5000};
    /// Time without dispatches to a backend server that rejected a request as
    /// busy.
    std::chrono::milliseconds busy_pause{100};
};

} // namespace medlarstall::scheduling

#endif
