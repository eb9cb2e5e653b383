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

/// When a second attempt is started beside the first.
struct hedge_settings
{
    attempt_budget_settings budget{0.05, 0.0, 10.0, 2.0};
    double quantile = 0.95;         ///< Of recent first-token times.
    std::size_t least_samples = 32; ///< Before any hedge.
    std::chrono::milliseconds least_delay{100};
};

/// Decides on hedges: a second attempt at another backend server when the
/// first token of repeatable work is later than usual. Pure; owned by an entry
/// daemon, which cancels the loser as soon as either attempt shows a token.
class hedge_policy
{
public:
    /// \param settings budget and delays
    explicit hedge_policy(hedge_settings settings = {});

    /// Notes a new request.
    void note_request();

    /// Records a first-token time of any backend server of a group.
    /// \param group group of the backend server
    /// \param tier tier of the request
    /// \param time from the dispatch by the entry daemon to the first token
    void record_first_token(std::string_view group, unsigned tier,
                            std::chrono::microseconds time);

    /// Tells when to ask should_hedge().
    /// \param request request that was sent
    /// \return time after its dispatch, or nothing if it is never hedged
    [[nodiscard]] std::optional<std::chrono::microseconds>
    delay(scheduling::request const& request) const;

    /// Decides whether to start the second attempt and draws on the budget.
    /// \param request request without a first token
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
    /// Recent first-token times of one group and tier.
    struct recent_times
    {
        static constexpr std::size_t capacity = 256;
        static constexpr std::size_t refresh = 16;

        std::array<std::chrono::microseconds, capacity> times{};
        std::size_t count = 0; ///< Ever recorded.
        std::chrono::microseconds at_quantile{0};
    };

    void refresh(recent_times& recent) const;

    hedge_settings settings_;
    attempt_budget budget_;
    std::map<std::pair<std::string, unsigned>, recent_times> recent_;
};

} // namespace medlarstall::routing

#endif
