#ifndef MEDLARSTALL_DUTY_AUTOSCALING_POLICY_HPP
#define MEDLARSTALL_DUTY_AUTOSCALING_POLICY_HPP

#include <medlarstall/duty/load_history.hpp>
#include <medlarstall/duty/scaling_sample.hpp>
#include <medlarstall/duty/server_numbers.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace medlarstall::duty {

/// How full the batches of backend servers may become, and how fast their
/// number falls.
struct autoscaling_settings
{
    /// Fill at the mean load of the window. Tokens become slower from a quarter
    /// on, and half of the pauses between events are above the mean.
    double mean_fill = 0.10;
    double peak_fill = 0.20; ///< Fill at the peak of the window.
    /// Fill at the peak and its rise over the boot time, after the loss of all
    /// reclaimable servers of a data centre.
    double loss_fill = 0.30;
    /// Fill of the regular servers alone at the mean load.
    double regular_fill = 0.75;
    /// Fill at the peak that is accepted to keep to the price limit.
    double limited_fill = 0.36;
    /// Most that the servers of a need may cost, as a share of what those cost
    /// that ran before the first order. Below the required half, because the
    /// number may exceed the need by the margin and the excess.
    double price_limit = 0.43;
    /// Fewest servers, whatever the load. Requests that find none add no load.
    double min_total = 2;
    /// Time constant of the moving average of the demand. Shorter peaks, such
    /// as the empty prompt caches of a start, are over before a server that is
    /// ordered for them serves.
    std::chrono::milliseconds smoothing{1500};
    /// Longer than a wave of the load and the bursts that follow each other
    /// closely (some 10 s each).
    std::chrono::milliseconds window{20000};
    /// The number rises only if this share of the need is missing, and then to
    /// this much above it, so that noise causes no orders.
    double margin = 0.05;
    /// Share of the need by which there must be too many before it falls.
    double excess = 0.10;
    double reduction_step = 0.10; ///< Of all servers, at once.
    std::chrono::milliseconds reduction_hold{8000}; ///< After any change.
    /// Regular servers that are replaced by reclaimable ones at once, as a
    /// share. Their prompt caches are lost.
    double exchange_step = 1.0 / 3;
    std::chrono::milliseconds exchange_hold{2000}; ///< After any change.
    /// Share of failing servers above which the number does not fall.
    double failing_share = 0.05;
    /// Time for which it does not fall after that.
    std::chrono::milliseconds failing_hold{5000};
};

/// What is known of the backend servers of one kind in a data centre, and what
/// was ordered.
struct kind_state
{
    std::uint32_t ordered = 0; ///< Last order, or what is listed without one.
    /// Those that can be counted on, including those that are starting.
    std::uint32_t expected = 0;
    std::uint32_t serving = 0; ///< Those that serve now.
    /// Whether the platform cannot provide more of them at present.
    bool unavailable = false;
};

/// Both kinds of backend servers of a service in a data centre.
struct data_centre_state
{
    kind_state regular;
    kind_state reclaimable;
};

/// What a decision on a service depends on, besides earlier ones.
struct scaling_input
{
    double demand = 0; ///< As from demand_of().
    std::map<std::string, data_centre_state> data_centres;
    /// What the servers cost for each second that ran before the first order;
    /// empty if unknown.
    std::optional<double> first_price;
    std::uint32_t staying = 0; ///< Listed servers that are not leaving.
    std::uint32_t failing = 0; ///< Those of them that fail.
    /// Whether the list is complete and recent, and the whole load is known.
    bool is_current = false;
};

/// Why numbers of servers were changed, or not.
enum class scaling_reason
{
    none,
    more_needed,
    exchange_begun, ///< Reclaimable servers that replace regular ones start.
    exchanged,      ///< Regular servers that were replaced go.
    fewer_needed
};

/// \param reason why numbers were changed
/// \return its name in log lines
[[nodiscard]] char const* name_of(scaling_reason reason);

/// Numbers of backend servers to order, and the values that led to them.
struct scaling_decision
{
    server_numbers wanted;
    scaling_reason reason = scaling_reason::none;
    server_need need;
    double peak = 0; ///< Demand, of the window.
    double mean = 0;
    double rise = 0; ///< Largest rise of the demand over the boot time.
    /// Whether the history covers the whole window.
    bool has_history = false;
};

/// Decides how many backend servers of one service are needed in each data
/// centre. The number rises at once and falls in steps. Does no I/O; owned by
/// the duty.
class autoscaling_policy
{
public:
    /// \param settings how full and how fast
    explicit autoscaling_policy(autoscaling_settings settings = {});

    /// Adds the demand to the history. To be called for each sample, also if no
    /// decision is made.
    /// \param demand as from demand_of()
    /// \param is_known whether the whole load is known; if not, it is assumed
    ///     not to be below the mean
    /// \param now current time
    void add_demand(double demand, bool is_known, time_point now);

    /// Decides on the numbers to order.
    /// \param scaling limits and prices
    /// \param input what is known of the service
    /// \param now current time
    /// \return the decision; its numbers are within the limits
    [[nodiscard]] scaling_decision decide(routes::autoscaling const& scaling,
                                          scaling_input const& input,
                                          time_point now);

private:
    scaling_decision assess(routes::autoscaling const& scaling,
                            scaling_input const& input);
    void limit_price(server_need& need, double peak,
                     routes::autoscaling const& scaling,
                     std::optional<double> first_price) const;
    bool is_short(server_numbers const& numbers, server_need const& need,
                  routes::autoscaling const& scaling) const;
    bool may_reduce(scaling_input const& input, time_point now);
    bool is_held(std::chrono::milliseconds hold, time_point now) const;
    bool may_shrink(time_point now) const;
    bool raise(scaling_decision& decision, routes::autoscaling const& scaling,
               scaling_input const& input) const;
    bool exchange(scaling_decision& decision,
                  routes::autoscaling const& scaling,
                  scaling_input const& input, time_point now) const;
    bool reduce(scaling_decision& decision, routes::autoscaling const& scaling,
                scaling_input const& input, time_point now) const;

    autoscaling_settings settings_;
    load_history history_;
    double smoothed_demand_ = 0;
    time_point smoothed_at_ = time_point::min(); ///< Of the last sample.
    /// Number of servers at the first decision. It is kept until the history
    /// shows how many are needed.
    std::optional<std::uint32_t> first_total_;
    time_point changed_at_ = time_point::min();
    time_point failing_until_ = time_point::min();
};

} // namespace medlarstall::duty

#endif
