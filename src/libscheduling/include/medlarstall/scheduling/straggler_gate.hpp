#ifndef MEDLARSTALL_SCHEDULING_STRAGGLER_GATE_HPP
#define MEDLARSTALL_SCHEDULING_STRAGGLER_GATE_HPP

#include <medlarstall/scheduling/scheduler_settings.hpp>

#include <cstdint>

namespace medlarstall::scheduling {

/// Holds long requests to a part of a group's slots while others wait. A
/// request is long by its estimate at first and by its output as it grows.
class straggler_gate
{
public:
    /// \param settings part of the slots and what counts as long
    explicit straggler_gate(scheduler_settings const& settings);

    /// Learns from a request that finished.
    /// \param output_tokens tokens that it generated
    void learn(std::uint64_t output_tokens);

    /// \return output tokens of a usual request
    [[nodiscard]] double usual_output_tokens() const { return usual_; }

    /// \param output_tokens estimate, or tokens generated so far
    /// \return true if such a request is long
    [[nodiscard]] bool is_long(std::uint64_t output_tokens) const;

    /// \param limit requests that may run at once in the group
    /// \return how many of them may be long while others wait; at least 1
    [[nodiscard]] unsigned bound(unsigned limit) const;

    /// \param limit requests that may run at once in the group
    /// \return false while long requests hold their part
    [[nodiscard]] bool has_room(unsigned limit) const;

    /// Counts a long request that starts or grew long.
    void enter() { ++running_; }

    /// Counts a long request that left its slot.
    void leave() { --running_; }

    /// \return long requests that run
    [[nodiscard]] unsigned running() const { return running_; }

private:
    double part_;
    double factor_;
    double least_;
    double usual_;
    unsigned running_ = 0;
};

} // namespace medlarstall::scheduling

#endif
