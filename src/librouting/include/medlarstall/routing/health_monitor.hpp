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

/// When a backend server is demoted, ejected and returned to healthy.
struct health_settings
{
    /// Length of a bucket of samples. The current and the previous bucket are
    /// compared.
    std::chrono::milliseconds bucket_duration{250};
    /// Samples that a backend server needs in the two buckets together to be
    /// compared.
    std::uint32_t min_samples = 4;
    /// Siblings with min_samples that a comparison needs.
    std::size_t min_siblings = 2;
    /// Slowdown against the siblings' median from which it is demoted.
    double demote_ratio = 2.0;
    /// Slowdown below which a demoted backend server becomes healthy.
    double recovery_ratio = 1.4;
    /// Largest fraction of a group that may be unhealthy at once.
    double max_unhealthy_fraction = 0.4;
    /// Consecutive failures that cause an ejection.
    std::uint32_t ejection_failures = 3;
    /// Time without samples after which a demoted backend server becomes
    /// healthy.
    std::chrono::milliseconds idle_recovery_time{1000};
    /// Duration of the first ejection; it doubles with each further one.
    std::chrono::milliseconds initial_ejection_time{1000};
    std::chrono::milliseconds max_ejection_time{30'000};
    /// Time without a result after which another probe is sent.
    std::chrono::milliseconds probe_timeout{3000};
    /// Expected first-token time of a prompt without uncached tokens.
    std::chrono::milliseconds base_first_token_time{40};
    /// Prefill speed used for the expected first-token time.
    double prefill_tokens_per_ms = 4.0;
};

/// What went wrong at a backend server.
enum class failure_kind
{
    server_error, ///< It answered with a server error.
    timeout,      ///< It made no progress in time.
    unreachable   ///< It crashed or refused connections; ejected at once.
};

/// A change of the health of a backend server. Plain data.
struct health_change
{
    std::string backend_server;
    health_state from = health_state::healthy;
    health_state to = health_state::healthy;
    double slowdown = 1.0; ///< Latency as a multiple of its siblings'.
};

/// Compares the backend servers of each group with their siblings by failures,
/// by the time to the first token and by the time between tokens. Performs no
/// I/O; owned by an entry daemon, which records the observations from the
/// streams that it relays and passes changes on to its router.
class health_monitor
{
public:
    /// \param settings thresholds and times
    explicit health_monitor(health_settings settings = {});

    /// Adds a backend server. One that moves to another group loses its
    /// history.
    /// \param backend_server id of the backend server
    /// \param group group that it is compared within
    void add(std::string_view backend_server, std::string_view group);

    /// Removes a backend server.
    /// \param backend_server id of the backend server; ignored if unknown
    void remove(std::string_view backend_server);

    /// Records the time from the dispatch to a backend server to the first
    /// token.
    /// \param backend_server id of the backend server; ignored if unknown
    /// \param time measured time without the wait in any queue
    /// \param uncached_tokens tokens of the prompt that were not in its cache
    /// \param now current time
    void record_first_token(std::string_view backend_server,
                            std::chrono::microseconds time,
                            std::uint32_t uncached_tokens, time_point now);

    /// Records the time between two tokens of a stream, or the time since the
    /// last token of a stream that has stalled.
    /// \param backend_server id of the backend server; ignored if unknown
    /// \param time measured time
    /// \param now current time
    void record_token_gap(std::string_view backend_server,
                          std::chrono::microseconds time, time_point now);

    /// Records a request that completed without a failure.
    /// \param backend_server id of the backend server; ignored if unknown
    void record_success(std::string_view backend_server);

    /// Records a failure that was caused by the backend server.
    /// \param backend_server id of the backend server; ignored if unknown
    /// \param kind what went wrong
    void record_failure(std::string_view backend_server, failure_kind kind);

    /// Compares all backend servers and updates their health. It must be called
    /// at least once in each bucket_duration.
    /// \param now current time
    /// \return the changes of health made by this call
    [[nodiscard]] std::vector<health_change> evaluate(time_point now);

    /// \param backend_server id of a backend server
    /// \return its health; healthy if it is unknown
    [[nodiscard]] health_state state_of(std::string_view backend_server) const;

private:
    /// Mean of the samples of the current and the previous bucket.
    struct recent_mean
    {
        double sum = 0;
        double previous_sum = 0;
        std::uint32_t count = 0;
        std::uint32_t previous_count = 0;
        time_point bucket_start;

        void advance(time_point now, std::chrono::milliseconds bucket);
        void add(double sample);
        [[nodiscard]] std::uint32_t sample_count() const;
        [[nodiscard]] double mean() const;
    };

    struct monitored_server
    {
        std::string group;
        health_state state = health_state::healthy;
        recent_mean first_token_time; ///< As a multiple of the expected time.
        recent_mean token_gap;        ///< In microseconds.
        double slowdown = 1.0;
        std::uint32_t consecutive_failures = 0;
        bool succeeded_since_probe = false;
        /// Ejections in a row. Counted from 1 again for an ejection at least
        /// 2 * max_ejection_time after the last recovery.
        std::uint32_t consecutive_ejections = 0;
        time_point state_since;
        time_point last_sample_at;
        time_point last_recovery_at; ///< Last change from probing to healthy.
    };
    using server_table = std::map<std::string, monitored_server, std::less<>>;
    using group_members = std::vector<server_table::value_type*>;

    monitored_server* find(std::string_view backend_server);
    void update_slowdowns(group_members const& members,
                          recent_mean monitored_server::* metric) const;
    void evaluate_group(group_members const& members, time_point now,
                        std::vector<health_change>& changes) const;
    std::optional<health_state> next_state(monitored_server const& server,
                                           time_point now) const;
    std::optional<health_state>
    next_state_if_demoted(monitored_server const& server, time_point now) const;
    std::optional<health_state>
    next_state_if_probing(monitored_server const& server, time_point now) const;
    std::chrono::milliseconds
    ejection_time(monitored_server const& server) const;
    std::size_t max_unhealthy_members(std::size_t members) const;
    void enter_state(monitored_server& server, health_state state,
                     time_point now) const;

    health_settings settings_;
    server_table servers_;
};

} // namespace medlarstall::routing

#endif
