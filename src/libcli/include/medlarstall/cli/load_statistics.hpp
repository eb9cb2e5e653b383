#ifndef MEDLARSTALL_CLI_LOAD_STATISTICS_HPP
#define MEDLARSTALL_CLI_LOAD_STATISTICS_HPP

#include <medlarstall/cli/load_plan.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::cli {

/// How a request of a load ended.
enum class load_outcome
{
    answered, ///< Whole, with its finish mark.
    not_run,  ///< Refused, with the promise that it was not run.
    cut,      ///< The answer ended before its finish mark.
    failed    ///< Any other error, or no answer.
};

/// One request of a load once it ended. Plain data.
struct load_record
{
    std::size_t stream = 0;
    std::uint64_t number = 0;
    bool straggler = false;
    load_outcome outcome = load_outcome::failed;
    int status = 0;
    std::chrono::nanoseconds late{0}; ///< Sent after its planned time.
    std::chrono::nanoseconds first_token{0};
    std::chrono::nanoseconds total{0}; ///< Both from the planned time.
    std::uint64_t tokens = 0;
    std::string served_by;
    std::string message; ///< Of an error.
};

/// Sorted durations.
class percentiles
{
public:
    /// \param values durations in any order
    explicit percentiles(std::vector<std::chrono::nanoseconds> values);

    /// \param rank from 0 to 1
    /// \return the smallest value that at least this part does not exceed; 0
    ///     if there is none
    [[nodiscard]] std::chrono::nanoseconds at(double rank) const;

private:
    std::vector<std::chrono::nanoseconds> values_;
};

/// Figures of one stream of a load.
struct stream_figures
{
    std::string label;
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t not_run = 0;
    std::size_t cut = 0;
    std::size_t failed = 0;
    std::size_t attained = 0; ///< Answered within both latency targets.
    std::uint64_t tokens = 0;
    std::uint64_t useful_tokens = 0; ///< Of those that attained.
    percentiles first_token{{}};
    percentiles between_tokens{{}}; ///< Mean of each request.
    percentiles total{{}};

    /// \return attained of sent, from 0 to 1; 1 if none was sent
    [[nodiscard]] double attainment() const;
};

/// Sums a load up.
class load_statistics
{
public:
    /// \param streams streams of the load
    explicit load_statistics(std::vector<load_stream> streams);

    /// \param record a request that ended
    void add(load_record record);

    /// \return figures of each stream, in order, and of all together
    [[nodiscard]] std::vector<stream_figures> figures() const;

    /// \param count most records to return
    /// \return the answered requests with the longest totals, longest first
    [[nodiscard]] std::vector<load_record> slowest(std::size_t count) const;

    /// \param wall time that the load took, for rates
    /// \param slowest_count slow requests to list
    /// \return tables for people
    [[nodiscard]] std::string render(std::chrono::nanoseconds wall,
                                     std::size_t slowest_count) const;

    /// \param wall time that the load took, for rates
    /// \param slowest_count slow requests to list
    /// \return the same figures, durations in milliseconds
    [[nodiscard]] nlohmann::json to_json(std::chrono::nanoseconds wall,
                                         std::size_t slowest_count) const;

    [[nodiscard]] std::vector<load_record> const& records() const
    {
        return records_;
    }

private:
    [[nodiscard]] bool attained(load_record const& record) const;
    template<class Select>
    [[nodiscard]] stream_figures sum(std::string label, Select select) const;

    std::vector<load_stream> streams_;
    std::vector<load_record> records_;
};

} // namespace medlarstall::cli

#endif
