#ifndef MEDLARSTALL_GATEWAY_PROCESS_QUERIES_HPP
#define MEDLARSTALL_GATEWAY_PROCESS_QUERIES_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall::gateway {

/// How a backend server has answered the question when its process started.
enum class query_outcome
{
    stated,    ///< It has stated the time.
    refused,   ///< No connection could be established.
    unstated,  ///< It has answered without the time.
    unanswered ///< It was not asked, or has not answered.
};

/// \param outcome outcome to name
/// \return its name in log lines
[[nodiscard]] char const* name_of(query_outcome outcome);

/// Decides when a backend server is asked which of its processes answers. One
/// answer serves all requests that wait for it. Performs no I/O; owned by the
/// gateway.
class process_queries
{
public:
    /// Begins a query, unless one is in progress or one has ended just now, or
    /// the backend server is known not to state it.
    /// \param id id of the backend server
    /// \param now current time
    /// \return true if the caller must send the query
    [[nodiscard]] bool try_begin(std::string const& id, time_point now);

    /// Notes the end of a query.
    /// \param id id of the backend server
    /// \param outcome how it has ended
    /// \param now current time
    void on_ended(std::string_view id, query_outcome outcome, time_point now);

    /// \param id id of a backend server
    /// \param since time of the question
    /// \return true if a query that began later has been answered with the
    ///     time, or its connection was refused
    [[nodiscard]] bool ended_since(std::string_view id, time_point since) const;

    /// \param id id of a backend server
    /// \param since time of the question
    /// \return true if the connection of a query that began later was refused
    [[nodiscard]] bool refused_since(std::string_view id,
                                     time_point since) const;

    /// \param id id of a backend server
    /// \return true if it has not stated the time when it was last asked
    [[nodiscard]] bool is_unstated(std::string_view id) const;

    /// Forgets backend servers that were last asked long ago.
    /// \param now current time
    void expire(time_point now);

private:
    struct query
    {
        time_point began_at;
        bool in_progress = true;
        std::optional<query_outcome> outcome; ///< Of the last one that ended.
        time_point ended_began_at;            ///< Beginning of that query.
        std::optional<time_point> not_before;
    };

    std::map<std::string, query, std::less<>> queries_;
};

} // namespace medlarstall::gateway

#endif
