#ifndef MEDLARSTALL_ROUTING_HEALTH_MONITOR_HPP
#define MEDLARSTALL_ROUTING_HEALTH_MONITOR_HPP

#include <medlarstall/routing/health_state.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::routing {

/// When a backend server is demoted, ejected and taken back.
struct health_settings
{
    std::chrono::milliseconds bucket{250}; ///< Two of them are compared.
    std::uint32_t least_samples = 4;       ///< Of one server in the buckets.
    std::size_t least_siblings = 2;        ///< With enough samples.
    double demote_ratio = 2.0;             ///< To the siblings' median.
    double return_ratio = 1.4;
    double largest_part = 0.4;  ///< Of a group that may be out at once.
    std::uint32_t failures = 3; ///< In a row, until ejection.
    std::chrono::milliseconds quiet_return{1000}; ///< Without samples.
    std::chrono::milliseconds first_ejection{1000};
    std::chrono::milliseconds longest_ejection{30'000};
    std::chrono::milliseconds probe_timeout{3000};
    std::chrono::milliseconds prefill_base{40}; ///< Of a first token.
    double prefill_tokens_per_ms = 4.0;
};

/// What went wrong at a backend server.
enum class failure_kind
{
    error,      ///< It answered with a server error.
    timeout,    ///< It made no progress.
    unreachable ///< It crashed or refused connections; ejects at once.
};

/// A change of the health of a backend server. Plain data.
struct health_change
{
    std::string backend_server;
    health_state from = health_state::healthy;
    health_state to = health_state::healthy;
    double slowdown = 1.0; ///< Latency as a multiple of its siblings'.
};

/// Compares the backend servers of each group with their siblings by
/// first-token and between-token times and by failures. Pure; owned by an
/// entry daemon, which records what it sees on the streams that it relays and
/// passes changes on to its router.
class health_monitor
{
public:
    /// \param settings thresholds and times
    explicit health_monitor(health_settings settings = {});

    /// Adds a backend server or moves it to another group.
    /// \param backend_server its id
    /// \param group its group
    void add(std::string_view backend_server, std::string_view group);

    /// Drops a backend server that is gone.
    /// \param backend_server its id
    void forget(std::string_view backend_server);

    /// Records the time from the dispatch to a backend server to the first
    /// token.
    /// \param backend_server its id
    /// \param time measured time without the wait in any queue
    /// \param uncached_tokens tokens of the prompt that were not in its cache
    /// \param now current time
    void record_first_token(std::string_view backend_server,
                            std::chrono::microseconds time,
                            std::uint32_t uncached_tokens, time_point now);

    /// Records the time between two tokens of a stream, or the time since the
    /// last token of a stream that shows none.
    /// \param backend_server its id
    /// \param time measured time
    /// \param now current time
    void record_token_gap(std::string_view backend_server,
                          std::chrono::microseconds time, time_point now);

    /// Records a request that ended well.
    /// \param backend_server its id
    void record_success(std::string_view backend_server);

    /// Records a failure that the backend server is to blame for.
    /// \param backend_server its id
    /// \param kind what went wrong
    void record_failure(std::string_view backend_server, failure_kind kind);

    /// Compares all backend servers. Call it at least once a bucket.
    /// \param now current time
    /// \return the changes since the last call
    [[nodiscard]] std::vector<health_change> evaluate(time_point now);

    /// \param backend_server id
    /// \return its health; healthy if it is unknown
    [[nodiscard]] health_state state_of(std::string_view backend_server) const;

private:
    /// Mean of the samples of the current and the last bucket.
    struct meter
    {
        double sum = 0;
        double last_sum = 0;
        std::uint32_t count = 0;
        std::uint32_t last_count = 0;
        time_point begin;

        void roll(time_point now, std::chrono::milliseconds bucket);
        void add(double sample);
        [[nodiscard]] std::uint32_t samples() const;
        [[nodiscard]] double mean() const;
    };

    struct server
    {
        std::string group;
        health_state state = health_state::healthy;
        meter first_token;
        meter between_tokens;
        double slowdown = 1.0;
        std::uint32_t failures = 0; ///< In a row.
        bool succeeded = false;     ///< Since the probe was sent.
        std::uint32_t ejections = 0;
        time_point since; ///< Of the state.
        time_point last_sample;
        time_point last_return; ///< From the last ejection.
    };
    using server_table = std::map<std::string, server, std::less<>>;
    using group_members = std::vector<server_table::value_type*>;

    server* find(std::string_view backend_server);
    void compare(group_members const& members, meter server::* meter) const;
    void evaluate_group(group_members const& members, time_point now,
                        std::vector<health_change>& changes) const;
    std::optional<health_state> next_state(server const& server,
                                           time_point now) const;
    std::optional<health_state> next_of_demoted(server const& server,
                                                time_point now) const;
    std::optional<health_state> next_of_probing(server const& server,
                                                time_point now) const;
    std::chrono::milliseconds ejection_time(server const& server) const;
    std::size_t allowed_out(std::size_t members) const;
    void enter(server& server, health_state state, time_point now) const;

    health_settings settings_;
    server_table servers_;
};

} // namespace medlarstall::routing

#endif
