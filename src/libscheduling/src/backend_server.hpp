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

/// What the owner keeps of one backend server: what runs there, how many may,
/// and what others than this owner run there. Owned by its group.
class backend_server
{
public:
    /// \param settings how to schedule
    /// \param description what is known of it
    /// \param slots most requests that it can run
    backend_server(scheduler_settings const& settings,
                   backend_server_description description, unsigned slots);

    /// \param description replaces the former one; ends leaving
    void describe(backend_server_description description);

    /// \return what is known of it
    [[nodiscard]] backend_server_description const& description() const
    {
        return description_;
    }

    /// \param slots most requests that it can run
    void set_slots(unsigned slots);

    /// \return most requests that it can run
    [[nodiscard]] unsigned slots() const { return slots_; }

    /// Sends no new work from now on.
    void leave() { leaving_ = true; }

    /// \return true if it gets no new work
    [[nodiscard]] bool leaving() const { return leaving_; }

    /// Marks it to be forgotten once nothing runs there.
    void remove();

    /// \return true if it is to be forgotten
    [[nodiscard]] bool removed() const { return removed_; }

    /// \return true if it can be forgotten now
    [[nodiscard]] bool removable() const { return removed_ && running_ == 0; }

    /// \param model name of a model
    /// \return true if it can run requests for the model
    [[nodiscard]] bool serves(std::string_view model) const;

    /// \param now current time
    /// \return requests that may run here at once, for this owner
    [[nodiscard]] unsigned limit(time_point now) const;

    /// \param now current time
    /// \return true if a request may be dispatched here
    [[nodiscard]] bool has_slot(time_point now) const;

    /// \param now current time
    /// \return part of its limit that is in use
    [[nodiscard]] double utilisation(time_point now) const;

    /// \return true if it can take part in dispatches at all
    /// \param now current time
    [[nodiscard]] bool accepts(time_point now) const
    {
        return !leaving_ && now >= paused_until_;
    }

    /// \return end of the pause after a bounce
    [[nodiscard]] time_point paused_until() const { return paused_until_; }

    /// Counts a request that starts here.
    /// \param record the request
    /// \param now current time
    void start(request_record const& record, time_point now);

    /// Counts a request that left its slot here.
    /// \param record the request
    /// \param now current time
    void stop(request_record const& record, time_point now);

    /// Notes a first token.
    /// \param latency since the dispatch
    /// \param now current time
    void observe_first_token(duration latency, time_point now);

    /// Notes a time between tokens.
    /// \param latency for each token
    /// \param now current time
    void observe_between_tokens(duration latency, time_point now);

    /// Notes that it refused a request as full.
    /// \param now current time
    void observe_bounce(time_point now);

    /// \param now current time
    /// \return when the last report is no longer used, if it matters
    [[nodiscard]] std::optional<time_point> report_expiry(time_point now) const;

    /// Notes a load report: what runs here beside this owner's own work.
    /// \param report figures and their age
    /// \param now current time
    void observe_report(load_report const& report, time_point now);

    /// \return requests of this owner that hold a slot
    [[nodiscard]] unsigned running() const { return running_; }

    /// \return true if a request suspected of crashing runs here
    [[nodiscard]] bool runs_isolated() const { return isolated_ > 0; }

    /// Fills in what this backend server knows of itself.
    /// \param now current time
    /// \param summary receives the figures
    void summarise(time_point now, backend_server_summary& summary) const;

private:
    /// How many requests ran from a time on.
    struct running_since
    {
        time_point at;
        unsigned running = 0;
    };

    /// Latency targets of a class that runs here.
    struct present_targets
    {
        catalogue::latency_targets targets;
        unsigned running = 0;
    };

    static constexpr std::size_t history_size = 256;

    void note_running(time_point now);
    [[nodiscard]] unsigned running_then(time_point then) const;
    [[nodiscard]] unsigned foreign(time_point now) const;
    [[nodiscard]] catalogue::latency_targets tightest() const;

    backend_server_description description_;
    concurrency_limiter limiter_;
    duration report_lifetime_;
    duration bounce_pause_;
    unsigned slots_;
    bool leaving_ = false;
    bool removed_ = false;
    time_point paused_until_;
    unsigned running_ = 0;
    unsigned isolated_ = 0;
    std::array<std::uint32_t, max_tiers> running_by_tier_{};
    std::vector<present_targets> present_;
    latency_window first_tokens_;
    latency_window between_tokens_;
    std::optional<unsigned> former_foreign_; ///< By the report before.
    unsigned foreign_ = 0;                   ///< By the last two reports.
    time_point reported_at_;
    std::array<running_since, history_size> history_{};
    std::size_t history_count_ = 0;
    std::size_t history_next_ = 0;
};

} // namespace medlarstall::scheduling

#endif
