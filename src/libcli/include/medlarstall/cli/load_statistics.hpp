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

/// How a request of a load test ended.
enum class load_outcome
{
    answered,  ///< The response is complete, up to its finish reason.
    not_run,   ///< Rejected, and the response states that it was not run.
    truncated, ///< The response ended before its finish reason.
    failed     ///< Any other error, or no response.
};

/// The result of one request of a load test.
struct load_record
{
    std::size_t stream_index = 0;
    std::uint64_t sequence_number = 0;
    bool is_straggler = false;
    load_outcome outcome = load_outcome::failed;
    int status = 0; ///< HTTP status code; 0 if there is no response.
    /// Delay between the planned and the actual start.
    std::chrono::nanoseconds send_delay{0};
    /// Time from the planned start to the first token.
    std::chrono::nanoseconds time_to_first_token{0};
    /// Time from the planned start to the end of the response.
    std::chrono::nanoseconds total_latency{0};
    std::uint64_t output_tokens = 0;
    std::string served_by;     ///< Daemon and backend server.
    std::string error_message; ///< Empty if there is no error.
};

/// Computes percentiles of durations by the nearest-rank method.
class percentiles
{
public:
    /// \param values durations in any order; they are sorted
    explicit percentiles(std::vector<std::chrono::nanoseconds> values);

    /// Returns one percentile.
    /// \param rank fraction from 0 to 1, for example 0.95
    /// \return the smallest value for which at least this fraction of the
    ///     values is not larger; 0 if there are no values
    [[nodiscard]] std::chrono::nanoseconds at(double rank) const;

private:
    std::vector<std::chrono::nanoseconds> values_;
};

/// Statistics of one stream of a load test, or of all streams together.
struct stream_summary
{
    std::string label;    ///< Name of the stream, or "all".
    std::size_t sent = 0; ///< Requests; includes those never sent.
    std::size_t answered = 0;
    std::size_t not_run = 0;
    std::size_t truncated = 0;
    std::size_t failed = 0;
    std::size_t attained = 0; ///< Answered within both latency targets.
    std::uint64_t output_tokens = 0;
    std::uint64_t useful_tokens = 0; ///< Of requests within the targets.
    percentiles time_to_first_token{{}};
    /// The value of a request is the mean time between two of its tokens.
    percentiles inter_token_latency{{}};
    percentiles total_latency{{}};

    /// Returns the service-level attainment.
    /// \return fraction of the requests that were answered within both latency
    ///     targets, from 0 to 1; 1 if there were no requests
    [[nodiscard]] double attainment() const;
};

/// Collects the results of a load test and computes its statistics.
class load_statistics
{
public:
    /// \param streams streams of the load test, with their latency targets
    explicit load_statistics(std::vector<load_stream> streams);

    /// \param record result of a request; its stream index must be valid
    void add(load_record record);

    /// \return statistics of each stream, in order, then of all together
    [[nodiscard]] std::vector<stream_summary> summaries() const;

    /// Returns the slowest requests.
    /// \param count maximum number of records to return
    /// \return answered requests by descending total latency
    [[nodiscard]] std::vector<load_record> slowest(std::size_t count) const;

    /// Formats the statistics as human-readable tables.
    /// \param elapsed duration of the load test, for the token rates
    /// \param slowest_count number of slowest requests to list
    /// \return the tables, followed by each error message with its count
    [[nodiscard]] std::string render(std::chrono::nanoseconds elapsed,
                                     std::size_t slowest_count) const;

    /// Returns the statistics as JSON.
    /// \param elapsed duration of the load test
    /// \param slowest_count number of slowest requests to list
    /// \return an object with the members seconds, streams and slowest;
    ///     latencies are in milliseconds
    [[nodiscard]] nlohmann::json to_json(std::chrono::nanoseconds elapsed,
                                         std::size_t slowest_count) const;

    [[nodiscard]] std::vector<load_record> const& records() const
    {
        return records_;
    }

private:
    /// Tests whether a request was answered within both latency targets.
    [[nodiscard]] bool meets_targets(load_record const& record) const;
    /// Computes the statistics of the records for which \p select returns true.
    template<class Select>
    [[nodiscard]] stream_summary summarize(std::string label,
                                           Select select) const;

    std::vector<load_stream> streams_;
    std::vector<load_record> records_;
};

} // namespace medlarstall::cli

#endif
