#include <medlarstall/scheduling/straggler_gate.hpp>

#include <algorithm>

namespace medlarstall::scheduling {

namespace {

constexpr double learning_rate = 0.02;

} // namespace

straggler_gate::straggler_gate(scheduler_settings const& settings)
    : part_{settings.long_part}, factor_{settings.long_factor},
      least_{double(settings.long_least_tokens)},
      usual_{double(settings.usual_output_tokens)}
{}

void straggler_gate::learn(std::uint64_t output_tokens)
{
    // A long request moves the usual output no more than the longest that is
    // not long, so that stragglers do not make themselves usual.
    auto const bounded =
        std::min(double(output_tokens), std::max(least_, factor_ * usual_));
    usual_ += learning_rate * (bounded - usual_);
}

bool straggler_gate::is_long(std::uint64_t output_tokens) const
{
    return double(output_tokens) >= std::max(least_, factor_ * usual_);
}

unsigned straggler_gate::bound(unsigned limit) const
{
    return std::max(1U, static_cast<unsigned>(part_ * limit));
}

bool straggler_gate::has_room(unsigned limit) const
{
    return running_ < bound(limit);
}

} // namespace medlarstall::scheduling
