#ifndef MEDLARSTALL_SCHEDULING_SCHEDULER_SETTINGS_HPP
#define MEDLARSTALL_SCHEDULING_SCHEDULER_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace medlarstall::scheduling {

/// How the concurrency limit of a backend server follows its latency.
struct limiter_settings
{
    /// Part of the slots in use until a load report confirms the load.
    double initial_part = 0.5;
    /// Part of the slots that is never taken away.
    double least_part = 0.125;
    /// Part of the first-token target that a backend server may use; the rest
    /// is for waiting at the owner.
    double first_token_part = 0.5;
    /// Part of the observations that may miss the target.
    double tolerated_misses = 0.05;
    /// Time between two changes of a limit.
    std::chrono::milliseconds window{200};
    /// Windows within the targets that stand in for a load report.
    unsigned windows_to_confirm = 10;
};

/// How an owner schedules. Every value has a working default.
struct scheduler_settings
{
    std::string owner; ///< Name of this daemon in summaries.
    limiter_settings limiter;
    /// Most requests of a group that wait, for each slot that it has.
    unsigned queued_per_slot = 32;
    /// Part of a group's limit that long requests may hold while others wait.
    double long_part = 0.125;
    /// A request is long above this multiple of the usual output.
    double long_factor = 4.0;
    /// A request below this number of output tokens is never long.
    std::uint32_t long_least_tokens = 256;
    /// Output tokens of a request before any has finished.
    std::uint32_t usual_output_tokens = 128;
    /// A tier that waits this long without service gets the next freed slot.
    std::chrono::milliseconds longest_gap{3500};
    /// Tokens that a request makes between two preemptions of it.
    std::uint32_t least_run_tokens = 64;
    /// Time that cancelling a victim and starting in its place may take.
    std::chrono::milliseconds preemption_time{20};
    /// Requests are refused early if the wait is this multiple of what is
    /// left until their deadline.
    double hopeless_factor = 2.0;
    std::chrono::milliseconds least_retry_after{500};
    std::chrono::milliseconds most_retry_after{30'000};
    /// Most tokens (for a weight of 1) that an organisation can be ahead of
    /// the others, so that former use never locks it out.
    double most_lead_tokens = 20'000;
    /// A load report older than this is not used.
    std::chrono::milliseconds report_lifetime{5000};
    /// Time without dispatches to a backend server that said it was full.
    std::chrono::milliseconds bounce_pause{100};
};

} // namespace medlarstall::scheduling

#endif
