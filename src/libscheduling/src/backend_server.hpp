#ifndef MEDLARSTALL_SCHEDULING_BACKEND_SERVER_HPP
#define MEDLARSTALL_SCHEDULING_BACKEND_SERVER_HPP

#include "request_record.hpp"

#include <medlarstall/scheduling/concurrency_limiter.hpp>
#include <medlarstall/scheduling/events.hpp>
#include <medlarstall/scheduling/latency_window.hpp>
#include <medlarstall/scheduling/scheduler_settings.hpp>
#include <medlarstall/scheduling/summary.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace medlarstall::scheduling {

/// The owner's state about one backend server: which requests run there, how
/// many may run at once, and how many run there for other owners. Owned by its
/// group.
class backend_server
{
public:
    /// \param settings limiter settings and time spans
    /// \param description properties of the backend server
    /// \param slots number of requests that it can run at once; 0 counts as 1
    backend_server(scheduler_settings const& settings,
                   backend_server_description description, unsigned slots);

    /// Replaces the description. The backend server gets requests again if it
    /// was leaving or removed.
    /// \param description properties of the backend server
    void set_description(backend_server_description description);

    /// \return properties of the backend server
    [[nodiscard]] backend_server_description const& description() const
    {
        return description_;
    }

    /// Changes the number of slots and the limit that depends on it.
    /// \param slots number of requests that it can run at once; 0 counts as 1
    void set_slots(unsigned slots);

    /// \return number of requests that it can run at once
    [[nodiscard]] unsigned slots() const { return slots_; }

    /// Stops dispatches to it; running requests finish.
    void mark_leaving() { leaving_ = true; }

    /// \return true if it gets no new requests
    [[nodiscard]] bool leaving() const { return leaving_; }

    /// Marks it for removal as soon as nothing runs there.
    void mark_removed();

    /// \return true if it is marked for removal
    [[nodiscard]] bool removed() const { return removed_; }

    /// \return true if it is marked for removal and nothing runs there
    [[nodiscard]] bool removable() const { return removed_ && running_ == 0; }

    /// \param model name of a model
    /// \return true if it has loaded the model, or can run any model
    [[nodiscard]] bool serves(std::string_view model) const;

    /// \param now current time
    /// \return number of requests of this owner that may run here at once
    [[nodiscard]] unsigned limit(time_point now) const;

    /// \param now current time
    /// \return true if another request may be dispatched here
    [[nodiscard]] bool has_free_slot(time_point now) const;

    /// \param now current time
    /// \return running requests of this owner divided by the limit
    [[nodiscard]] double utilisation(time_point now) const;

    /// \param now current time
    /// \return true if it is neither leaving nor paused
    [[nodiscard]] bool accepts_requests(time_point now) const
    {
        return !leaving_ && now >= paused_until_;
    }

    /// \return end of the pause after it rejected a request as busy
    [[nodiscard]] time_point paused_until() const { return paused_until_; }

    /// Counts a request that was dispatched here.
    /// \param record the dispatched request
    /// \param now current time
    void count_start(request_record const& record, time_point now);

    /// Counts a request that released its slot here.
    /// \param record the request that held the slot
    /// \param now current time
    void count_stop(request_record const& record, time_point now);

    /// Records a time to first token.
    /// \param latency time from the dispatch to the first token
    /// \param now current time
    void observe_first_token(duration latency, time_point now);

    /// Records a time between tokens.
    /// \param latency mean time per token
    /// \param now current time
    void observe_between_tokens(duration latency, time_point now);

    /// Records that it rejected a request as busy, and pauses dispatches to it.
    /// \param now current time
    void observe_busy_rejection(time_point now);

    /// \param now current time
    /// \return when the last load report expires; empty if it shows no requests
    ///     of other owners
    [[nodiscard]] std::optional<time_point>
    load_report_expiry(time_point now) const;

    /// Derives from a load report how many requests run here for other owners.
    /// \param report load figures and their age
    /// \param now current time
    void observe_load_report(load_report const& report, time_point now);

    /// \return number of requests of this owner that hold a slot
    [[nodiscard]] unsigned running() const { return running_; }

    /// \return true if a request suspected of causing crashes runs here
    [[nodiscard]] bool runs_isolated() const { return running_isolated_ > 0; }

    /// Fills in the fields of a summary that depend on this backend server
    /// only.
    /// \param now current time
    /// \param summary receives these fields
    void summarise(time_point now, backend_server_summary& summary) const;

private:
    /// Number of running requests from a point in time on.
    struct running_sample
    {
        time_point at;
        unsigned running = 0;
    };

    /// Latency targets shared by some of the running requests.
    struct active_targets
    {
        catalogue::latency_targets targets;
        unsigned running = 0;
    };

    static constexpr std::size_t history_capacity = 256;

    void record_running(time_point now);
    [[nodiscard]] unsigned running_at(time_point then) const;
    [[nodiscard]] unsigned external_load(time_point now) const;
    [[nodiscard]] catalogue::latency_targets tightest_targets() const;

    backend_server_description description_;
    concurrency_limiter limiter_;
    duration load_report_lifetime_;
    duration busy_pause_;
    unsigned slots_;
    bool leaving_ = false;
    bool removed_ = false;
    time_point paused_until_;
    unsigned running_ = 0;
    unsigned running_isolated_ = 0;
    std::array<std::uint32_t, max_tiers> running_by_tier_{};
    std::vector<active_targets> active_targets_;
    latency_window first_token_latencies_;
    latency_window between_token_latencies_;
    /// From the last report alone; compared with the next one.
    std::optional<unsigned> previous_external_load_;
    unsigned external_load_ = 0; ///< Minimum of the last two reports.
    time_point reported_at_;
    std::array<running_sample, history_capacity> history_{};
    std::size_t history_count_ = 0;
    std::size_t history_next_ = 0;
};

} // namespace medlarstall::scheduling

#endif
