#ifndef MEDLARSTALL_ROUTING_HEDGE_POLICY_HPP
#define MEDLARSTALL_ROUTING_HEDGE_POLICY_HPP

#include <medlarstall/routing/attempt_budget.hpp>
#include <medlarstall/scheduling/request.hpp>
#include <medlarstall/support/time.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace medlarstall::routing {

/// When a hedge, a second attempt in parallel to the first, is started.
struct hedge_settings
{
    attempt_budget_settings budget{0.05, 0.0, 10.0, 2.0};
    /// Quantile of recent first-token times after which a hedge is started.
    double delay_quantile = 0.95;
    /// First-token times of a group and tier needed before any hedge.
    std::size_t min_samples = 32;
    /// Lower bound of the time between the dispatch and the hedge.
    std::chrono::milliseconds min_delay{100};
};

/// Decides on hedged requests: a second attempt at another backend server is
/// started when the first token of repeatable work is later than usual.
/// Performs no I/O; owned by an entry daemon, which cancels the slower attempt
/// as soon as the other one returns a token.
class hedge_policy
{
public:
    /// \param settings budget, quantile and delays
    explicit hedge_policy(hedge_settings settings = {});

    /// Adds the share of one new request to the budget.
    void on_request();

    /// Records a first-token time of any backend server of a group.
    /// \param group group of the backend server
    /// \param tier tier of the request
    /// \param time time from the dispatch by the entry daemon to the first
    ///     token
    void record_first_token(std::string_view group, unsigned tier,
                            std::chrono::microseconds time);

    /// Returns how long to wait before should_hedge() is called.
    /// \param request request that was sent
    /// \return time after its dispatch; nothing if the request must not be
    ///     hedged or too few first-token times are known
    [[nodiscard]] std::optional<std::chrono::microseconds>
    hedge_delay(scheduling::request const& request) const;

    /// Decides whether to start the second attempt. If so, it is taken from
    /// the budget.
    /// \param request request whose first token has not arrived
    /// \param waited time since its dispatch
    /// \param expected_wait wait that the router expects at the second
    ///     backend server; a hedge that would queue is of no use
    /// \param now current time
    /// \return true if the second attempt should start
    [[nodiscard]] bool should_hedge(scheduling::request const& request,
                                    std::chrono::microseconds waited,
                                    std::chrono::microseconds expected_wait,
                                    time_point now);

private:
    /// Ring buffer of the recent first-token times of one group and tier.
    struct recent_times
    {
        static constexpr std::size_t capacity = 256;
        /// Samples between two updates of quantile_time.
        static constexpr std::size_t update_interval = 16;

        std::array<std::chrono::microseconds, capacity> times{};
        std::size_t recorded_count = 0; ///< Includes overwritten times.
        std::chrono::microseconds quantile_time{0};
    };

    void update_quantile(recent_times& recent) const;

    hedge_settings settings_;
    attempt_budget budget_;
    std::map<std::pair<std::string, unsigned>, recent_times> recent_;
};

} // namespace medlarstall::routing

#endif
