#ifndef MEDLARSTALL_DUTY_AUTOSCALING_DUTY_HPP
#define MEDLARSTALL_DUTY_AUTOSCALING_DUTY_HPP

#include <medlarstall/duty/autoscaling_policy.hpp>
#include <medlarstall/duty/duty_call.hpp>
#include <medlarstall/duty/exclusive_duty.hpp>
#include <medlarstall/duty/scale_orders.hpp>
#include <medlarstall/duty/scaling_sample.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::duty {

/// A changed order, and the values that led to it.
struct scaling_change
{
    scale_subject subject;
    std::uint32_t before = 0; ///< Last order, or what was listed.
    std::uint32_t count = 0;
    scaling_reason reason = scaling_reason::none;
    scaling_decision decision;
    double demand = 0;
    std::uint32_t listed = 0;
    duration list_age{0};
};

/// Orders the numbers of backend servers of the services that have limits for
/// them. The stored state is the last order of each subject with its outcome.
/// Does no I/O; owned by the gateway.
class autoscaling_duty
{
public:
    /// \param settings how full backend servers may become
    explicit autoscaling_duty(autoscaling_settings settings = {})
        : settings_{settings}
    {}

    /// \return the last orders, as CBOR
    [[nodiscard]] std::string state() const { return orders_.encode(); }

    /// \return revision of the state
    [[nodiscard]] std::uint64_t revision() const { return orders_.revision(); }

    /// This daemon has become the holder. It observes for a while before it
    /// changes orders.
    /// \param stored orders of the holder before, or empty
    /// \param now current time
    void on_taken(stored_state const& stored, time_point now);

    /// This daemon is no longer the holder.
    void on_lost();

    /// \param revision revision up to which the state is stored
    void on_stored(std::uint64_t revision) { orders_.on_stored(revision); }

    /// Decides by a new sample. To be called every 200 to 500 ms while
    /// is_held().
    /// \param sample what this daemon knows of the services
    /// \param now current time
    void observe(scaling_sample sample, time_point now);

    /// \param now current time
    /// \return calls to make now, each only once until its result is known
    [[nodiscard]] std::vector<duty_call> due_calls(time_point now);

    /// Called when a call has ended. A refused order is replaced at once.
    /// \param call as from due_calls()
    /// \param outcome how it has ended
    /// \param now current time
    void on_result(duty_call const& call, call_outcome outcome, time_point now);

    /// \return whether this daemon is the holder
    [[nodiscard]] bool is_held() const { return taken_at_.has_value(); }

    /// \return changes of orders since the last call of this function
    [[nodiscard]] std::vector<scaling_change> take_changes();

    /// \return last decision on each service, by its name
    [[nodiscard]] std::map<std::string, scaling_decision> const&
    decisions() const
    {
        return decisions_;
    }

private:
    bool is_current() const;
    void decide(service_sample const& service, time_point now);
    scaling_input input_of(service_sample const& service, time_point now);
    kind_state state_of(scale_subject const& subject,
                        server_counts const& counts,
                        routes::autoscaling const& scaling, time_point now);
    bool has_orders(service_sample const& service) const;
    void order(service_sample const& service, std::string const& data_centre,
               data_centre_state const& known, scaling_decision const& decision,
               double demand, time_point now);
    void order(scale_subject const& subject, kind_state const& known,
               std::uint32_t count, std::uint32_t listed, scaling_change change,
               time_point now);
    void forget_others();

    autoscaling_settings settings_;
    scale_orders orders_;
    std::optional<time_point> taken_at_;
    scaling_sample sample_;
    std::map<std::string, autoscaling_policy> policies_;
    std::map<std::string, scaling_decision> decisions_;
    std::vector<scaling_change> changes_;
};

static_assert(exclusive_duty<autoscaling_duty>);

} // namespace medlarstall::duty

#endif
