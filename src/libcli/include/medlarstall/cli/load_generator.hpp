#ifndef MEDLARSTALL_CLI_LOAD_GENERATOR_HPP
#define MEDLARSTALL_CLI_LOAD_GENERATOR_HPP

#include <medlarstall/cli/load_plan.hpp>
#include <medlarstall/cli/load_statistics.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::cli {

/// Where load_generator sends its requests, and its limits.
struct load_generator_settings
{
    std::vector<std::string> servers; ///< IP:PORT, used in turn.
    /// Replaces the servers by those that GET /v1/entries returns, as callers
    /// do. The list is requested again when it has expired.
    bool follow_directory = false;
    /// Maximum number of requests that are open at the same time. A request
    /// beyond it is not sent and counts as failed.
    std::size_t max_open_requests = 10'000;
    std::chrono::milliseconds request_timeout{120'000};
};

/// Progress of a load test.
struct load_progress
{
    std::chrono::nanoseconds elapsed{0};
    std::size_t sent = 0; ///< Includes requests that were not sent.
    std::size_t open = 0; ///< Requests without a final result.
    std::size_t answered = 0;
    std::size_t not_answered = 0;
};

/// Open-loop load generator: sends every request of a plan at its planned time,
/// even if earlier requests have not finished, and records the result of each.
class load_generator
{
public:
    /// \param settings daemons and limits
    /// \param plan requests to send
    load_generator(load_generator_settings settings, load_plan plan);
    ~load_generator();
    load_generator(load_generator const&) = delete;
    load_generator& operator=(load_generator const&) = delete;

    /// Sends every request and blocks until all of them have ended.
    /// \param on_progress called once a second with the current progress
    void run(std::function<void(load_progress const&)> on_progress);

    [[nodiscard]] load_statistics const& statistics() const;

    /// Returns how long the test took.
    /// \return time from the start of run() to the end of the last request
    [[nodiscard]] std::chrono::nanoseconds elapsed() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace medlarstall::cli

#endif
