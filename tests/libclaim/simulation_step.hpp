#ifndef MEDLARSTALL_TESTS_LIBCLAIM_SIMULATION_STEP_HPP
#define MEDLARSTALL_TESTS_LIBCLAIM_SIMULATION_STEP_HPP

#include "claim_simulation.hpp"

#include <array>
#include <cstddef>

namespace medlarstall::claim {

/// Operation of a step; each is a member function of claim_simulation.
enum class step_kind
{
    submit_call,
    complete_append,
    apply_late_append,
    read,
    fail_read,
    deliver_forward,
    dispatch_attempt,
    finish_attempt,
    cancel_call,
    pause,
    restart,
    expire,
    set_preferred_writer,
    advance
};

/// Relative frequency of each kind of step, in the order of step_kind.
inline constexpr std::array<std::size_t, 14> step_weights{
    20, 40, 6, 60, 2, 12, 24, 16, 2, 4, 1, 2, 2, 28};

/// One step of a simulation with its arguments, which are from 0 to 999. Their
/// meaning depends on the kind. Plain data.
struct simulation_step
{
    step_kind kind;
    unsigned first;
    unsigned second;
    unsigned third;

    /// \param simulation simulation to perform the step in
    void perform(claim_simulation& simulation) const;

private:
    /// \return a duration that grows with a power of the third argument, so
    ///         that short ones are more frequent than long ones; at least 1 ms
    [[nodiscard]] std::chrono::milliseconds duration_from(int power,
                                                          double scale) const;
    [[nodiscard]] append_result append_result_from_argument() const;
};

} // namespace medlarstall::claim

#endif
