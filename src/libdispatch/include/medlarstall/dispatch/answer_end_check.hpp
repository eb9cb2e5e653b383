#ifndef MEDLARSTALL_DISPATCH_ANSWER_END_CHECK_HPP
#define MEDLARSTALL_DISPATCH_ANSWER_END_CHECK_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace medlarstall::dispatch {

/// How long the end of an answer is checked.
struct answer_end_settings
{
    /// Within this time, the kernel closes all connections of a process that
    /// has ended, and their ends arrive.
    std::chrono::milliseconds closing_time{50};
    /// Longest time from the end of an answer to the decision.
    std::chrono::milliseconds max_age{500};
};

/// What shows whether the process of a server has outlived an answer.
enum class answer_end_evidence
{
    older_connection, ///< One from before the end has stayed open.
    new_connection,   ///< One was opened after the end, and has stayed open.
    not_connected,    ///< All others have closed, and none can be opened.
    none              ///< Nothing was known in time.
};

/// \param evidence a value
/// \return name of the enumerator, as it stands in log records
[[nodiscard]] char const* name_of(answer_end_evidence evidence);

/// An answer that has ended with its connection.
struct answer_end
{
    time_point read_at; ///< When the end was read.
    /// Time at which the process of the server was certainly running.
    time_point running_at;
    /// The connection may have ended well before its end was read, so that the
    /// server may have started again meanwhile.
    bool is_late = false;
};

/// Whether an answer that ended with its connection is complete.
struct answer_end_decision
{
    std::uint64_t end = 0; ///< Number of the end.
    bool complete = false;
    answer_end_evidence evidence = answer_end_evidence::none;
    duration age{0}; ///< Time since the end.
    /// Age of the connection that is the evidence; of the failure to open one
    /// if that is it. Empty without evidence.
    std::optional<duration> evidence_age;
    std::size_t checked_together = 0; ///< Ends at this server not decided yet.
};

/// Decides whether answers of one server with neither a length nor chunks are
/// complete when their connections end. A process that ends closes all of its
/// connections at once, and accepts no others. An answer is therefore complete
/// only if another connection to the server outlives its end. Does no I/O;
/// owned by the gateway.
class answer_end_check
{
public:
    /// \param settings times of the check
    explicit answer_end_check(answer_end_settings settings = {})
        : settings_{settings}
    {}

    /// Called when an answer has ended with its connection.
    /// \param end the end
    /// \return number of the end
    std::uint64_t add(answer_end const& end);

    /// Called when a connection for this check begins to be opened.
    void on_connecting() { connecting_ = true; }

    /// Called when the connection for this check is established.
    /// \param now current time
    void on_connected(time_point now);

    /// Called when the connection for this check could not be established.
    /// \param now current time
    void on_not_connected(time_point now);

    /// Called when the connection for this check has closed.
    void on_closed();

    /// Takes the ends that can be decided now.
    /// \param oldest_other when the oldest other connection to the server that
    ///     is still open was established; empty if there is none
    /// \param now current time
    /// \return the decisions, in the order of the ends
    [[nodiscard]] std::vector<answer_end_decision>
    take_decided(std::optional<time_point> oldest_other, time_point now);

    /// \param oldest_other as for take_decided()
    /// \return true if a connection must be opened for the ends that are left
    [[nodiscard]] bool
    needs_connection(std::optional<time_point> oldest_other) const;

    /// \return true if no end is left to decide
    [[nodiscard]] bool empty() const { return ends_.empty(); }

private:
    std::optional<answer_end_decision>
    decide(answer_end const& end, std::optional<time_point> oldest_other,
           time_point now) const;

    answer_end_settings settings_;
    std::map<std::uint64_t, answer_end> ends_;
    std::uint64_t last_number_ = 0;
    bool connecting_ = false;
    /// When the connection for this check was established, while it is open.
    std::optional<time_point> connected_at_;
    /// Until when no connection is known to have been possible.
    std::optional<time_point> failed_at_;
};

} // namespace medlarstall::dispatch

#endif
