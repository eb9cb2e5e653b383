#ifndef MEDLARSTALL_ROUTING_ATTEMPT_BUDGET_HPP
#define MEDLARSTALL_ROUTING_ATTEMPT_BUDGET_HPP

#include <medlarstall/support/time.hpp>

namespace medlarstall::routing {

/// How many extra attempts a daemon may make.
struct attempt_budget_settings
{
    double ratio = 0.1;      ///< Extra attempts for each request.
    double per_second = 0.1; ///< Extra attempts without any request.
    double capacity = 20.0;  ///< Most that can be saved up.
    double initial = 5.0;    ///< Saved up at start.
};

/// Token bucket for attempts beyond the first of each request. It fills with
/// the requests of its daemon, so that the extra load of the whole fleet stays
/// a fixed part of its requests without any message. Pure; owned by the
/// policy that draws on it.
class attempt_budget
{
public:
    /// \param settings ratio and bounds
    explicit attempt_budget(attempt_budget_settings settings = {});

    /// Adds the part of one new request.
    void deposit();

    /// Draws one extra attempt.
    /// \param now current time
    /// \return false if the budget is used up
    [[nodiscard]] bool try_draw(time_point now);

    /// \return attempts that can be drawn now
    [[nodiscard]] double balance() const { return balance_; }

private:
    void refill(time_point now);

    attempt_budget_settings settings_;
    double balance_;
    time_point refilled_at_;
};

} // namespace medlarstall::routing

#endif
