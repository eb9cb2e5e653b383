#ifndef MEDLARSTALL_ROUTING_RETRY_POLICY_HPP
#define MEDLARSTALL_ROUTING_RETRY_POLICY_HPP

#include <medlarstall/routing/attempt_budget.hpp>
#include <medlarstall/scheduling/request.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>

namespace medlarstall::routing {

/// What is known of whether a failed attempt ran.
enum class run_state
{
    not_run,
    unknown,
    run
};

/// When and how often a request is tried again.
struct retry_settings
{
    std::uint32_t bounces = 4;  ///< Retries at once after "not run".
    std::uint32_t attempts = 3; ///< That may have run, the first included.
    std::chrono::milliseconds first_delay{50};
    std::chrono::milliseconds longest_delay{2000};
    std::chrono::milliseconds least_time_left{100}; ///< To the deadline.
    attempt_budget_settings budget;
    attempt_budget_settings bounce_budget{1.0, 1.0, 100.0, 20.0};
};

/// How often a request was tried. Plain data kept with the request.
struct retry_history
{
    std::uint32_t bounces = 0;  ///< Attempts that did not run.
    std::uint32_t attempts = 0; ///< Attempts that may have run.
    std::uint32_t waits = 0;    ///< For the budget, in a row.
};

/// What to do after a failed attempt.
enum class retry_action
{
    retry_now,   ///< At once, at another backend server.
    retry_later, ///< After the delay.
    ask_again,   ///< Ask the policy again after the delay: no budget yet.
    give_up
};

/// Why a request is not tried again.
enum class give_up_reason
{
    none,
    deadline,       ///< No useful time is left.
    not_repeatable, ///< It may have run and must not run twice.
    attempts        ///< It was tried as often as allowed.
};

/// Decision on a failed attempt. Plain data.
struct retry_decision
{
    retry_action action = retry_action::give_up;
    std::chrono::milliseconds delay{0};
    give_up_reason reason = give_up_reason::none;
};

/// Decides on retries. Extra attempts draw on a budget that grows with the
/// daemon's requests; a request that finds it empty waits its turn until its
/// deadline, so that a lost part of the capacity causes no storm. Pure; owned
/// by an entry daemon.
class retry_policy
{
public:
    /// \param settings numbers of attempts, delays and budgets
    explicit retry_policy(retry_settings settings = {});

    /// Notes a new request.
    void note_request();

    /// Decides after a failed attempt, or again after retry_action::ask_again.
    /// \param request the request with its deadline
    /// \param ran whether the attempt ran
    /// \param history its earlier attempts; brought up to date
    /// \param random 64 random bits for the jitter
    /// \param now current time
    /// \return what to do
    [[nodiscard]] retry_decision decide(scheduling::request const& request,
                                        run_state ran, retry_history& history,
                                        std::uint64_t random, time_point now);

private:
    std::chrono::milliseconds delay(std::uint32_t exponent,
                                    std::uint64_t random) const;
    bool in_time(scheduling::request const& request,
                 std::chrono::milliseconds delay, time_point now) const;
    retry_decision retry_after_run(scheduling::request const& request,
                                   retry_history& history, std::uint64_t random,
                                   time_point now);

    retry_settings settings_;
    attempt_budget budget_;
    attempt_budget bounce_budget_;
};

} // namespace medlarstall::routing

#endif
