#ifndef MEDLARSTALL_ROUTING_ATTEMPT_BUDGET_HPP
#define MEDLARSTALL_ROUTING_ATTEMPT_BUDGET_HPP

#include <medlarstall/support/time.hpp>

namespace medlarstall::routing {

/// Refill rates and bounds of an attempt_budget, counted in attempts.
struct attempt_budget_settings
{
    double per_request = 0.1;     ///< Added by each new request.
    double per_second = 0.1;      ///< Added each second without any request.
    double capacity = 20.0;       ///< Upper bound of the balance.
    double initial_balance = 5.0; ///< Balance at start.
};

/// Token bucket that limits the attempts beyond the first of each request.
/// It is refilled by the requests of its daemon. The extra load of the whole
/// fleet is therefore a fixed fraction of its requests, without any messages
/// between daemons. Performs no I/O; owned by the policy that uses it.
class attempt_budget
{
public:
    /// \param settings refill rates and bounds
    explicit attempt_budget(attempt_budget_settings settings = {});

    /// Adds the share of one new request.
    void deposit();

    /// Takes one extra attempt from the budget.
    /// \param now current time, used to add the refill per second
    /// \return false if less than one attempt is left
    [[nodiscard]] bool try_withdraw(time_point now);

    /// \return attempts left, without the refill since the last withdrawal
    [[nodiscard]] double balance() const { return balance_; }

private:
    void refill(time_point now);

    attempt_budget_settings settings_;
    double balance_;
    time_point last_refill_;
};

} // namespace medlarstall::routing

#endif
