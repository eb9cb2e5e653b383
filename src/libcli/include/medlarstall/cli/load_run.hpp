#ifndef MEDLARSTALL_CLI_LOAD_RUN_HPP
#define MEDLARSTALL_CLI_LOAD_RUN_HPP

#include <medlarstall/cli/load_plan.hpp>
#include <medlarstall/cli/load_statistics.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::cli {

/// How a load is sent.
struct load_run_settings
{
    std::vector<std::string> servers; ///< IP:PORT, used in turn.
    /// Asks GET /v1/entries for the daemons to use, as callers do, and again
    /// when its answer has expired.
    bool follow_directory = false;
    std::size_t max_open = 10'000; ///< More are counted as failed.
    std::chrono::milliseconds request_timeout{120'000};
};

/// How far a load is.
struct load_progress
{
    std::chrono::nanoseconds elapsed{0};
    std::size_t sent = 0;
    std::size_t open = 0;
    std::size_t answered = 0;
    std::size_t not_answered = 0;
};

/// Sends the requests of a plan at their times, whatever becomes of earlier
/// ones, and gathers what became of each.
class load_run
{
public:
    /// \param settings daemons and bounds
    /// \param plan requests to send
    load_run(load_run_settings settings, load_plan plan);
    ~load_run();
    load_run(load_run const&) = delete;
    load_run& operator=(load_run const&) = delete;

    /// Sends every request and waits until each has ended.
    /// \param on_progress called once a second
    void run(std::function<void(load_progress const&)> on_progress);

    [[nodiscard]] load_statistics const& statistics() const;

    /// \return time from the first to the last event
    [[nodiscard]] std::chrono::nanoseconds wall() const;

private:
    struct implementation;
    std::unique_ptr<implementation> parts_;
};

} // namespace medlarstall::cli

#endif
