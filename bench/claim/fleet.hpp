#ifndef MEDLARSTALL_BENCH_CLAIM_FLEET_HPP
#define MEDLARSTALL_BENCH_CLAIM_FLEET_HPP

#include <medlarstall/claim/claim_engine.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace medlarstall::claim {

/// Delays and limits of a measured fleet. Plain data.
struct fleet_settings
{
    std::size_t daemons = 5;
    std::size_t streams = 8;
    bool forwards = true; ///< Records go to the preferred writer.
    double calls_per_second = 1'000;
    double appends_per_second = 300; ///< Cap of the log.
    std::chrono::microseconds to_log{1'500};
    std::chrono::microseconds to_peer{1'500};
    std::chrono::microseconds append_time{1'000};
    std::chrono::milliseconds run_time{20};
    std::chrono::seconds length{10};
    std::uint64_t seed = 1;
};

/// What a fleet did in the measured time. Plain data.
struct fleet_figures
{
    std::size_t calls = 0;
    std::size_t dispatched = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t appends = 0; ///< That took effect.
    std::size_t refused = 0; ///< Above the cap.
    std::size_t records = 0;
    std::vector<double> added_ms; ///< From call to dispatch.
    std::chrono::duration<double> processor{};
};

/// Claim engines and the log between them in virtual time.
class fleet
{
public:
    explicit fleet(fleet_settings const& settings);

    /// Runs open-loop calls for the length that was set.
    /// \return what happened
    fleet_figures run();

private:
    using task = std::function<void()>;
    struct timed_task
    {
        time_point time;
        std::uint64_t order;
        task work;
        bool operator<(timed_task const& other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };
    struct log_stream
    {
        std::vector<log_entry> entries;
        std::map<std::size_t, std::uint64_t> readers; ///< Waiting, by daemon.
    };

    void at(time_point time, task work);
    void after(duration span, task work) { at(now_ + span, std::move(work)); }
    [[nodiscard]] event_time now() const;
    void call_next();
    void feed(std::size_t daemon, actions const& todo);
    void perform(std::size_t daemon, append_action const& todo);
    void perform(std::size_t daemon, forward_action const& todo);
    void perform(std::size_t daemon, read_action const& todo);
    void perform(std::size_t daemon, dispatch_action const& todo);
    void perform(std::size_t daemon, answer_action const& todo);
    void append(std::size_t daemon, append_action const& todo);
    void serve(std::size_t daemon, std::size_t stream, std::uint64_t from);
    void schedule_tick(std::size_t daemon);
    [[nodiscard]] bool admit_append();

    fleet_settings settings_;
    std::mt19937_64 random_;
    std::deque<claim_engine> engines_;
    std::vector<time_point> ticks_;
    std::vector<log_stream> log_;
    std::priority_queue<timed_task> tasks_;
    std::map<call_id, time_point> started_;
    std::uint64_t order_ = 0;
    call_id last_call_ = 0;
    double tokens_ = 0;
    time_point refilled_;
    time_point now_{std::chrono::hours{1}};
    time_point end_;
    fleet_figures figures_;
};

} // namespace medlarstall::claim

#endif
