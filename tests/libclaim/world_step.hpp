#ifndef MEDLARSTALL_TESTS_LIBCLAIM_WORLD_STEP_HPP
#define MEDLARSTALL_TESTS_LIBCLAIM_WORLD_STEP_HPP

#include "claim_world.hpp"

#include <array>
#include <cstddef>

namespace medlarstall::claim {

/// What a step does.
enum class step_kind
{
    call,
    append,
    late_effect,
    read,
    fail_read,
    forward,
    run,
    finish,
    cancel,
    pause,
    restart,
    expire,
    prefer,
    advance
};

/// How often each kind of step is taken, in the order of step_kind.
inline constexpr std::array<std::size_t, 14> step_weights{
    20, 40, 6, 60, 2, 12, 24, 16, 2, 4, 1, 2, 2, 28};

/// One step of a world with its arguments, from 0 to 999. Plain data.
struct world_step
{
    step_kind kind;
    unsigned first;
    unsigned second;
    unsigned third;

    /// \param world world to take the step in
    void take(claim_world& world) const;

private:
    [[nodiscard]] std::chrono::milliseconds span(int power, double scale) const;
    [[nodiscard]] append_fate fate() const;
};

} // namespace medlarstall::claim

#endif
