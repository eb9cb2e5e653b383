#ifndef MEDLARSTALL_SCHEDULING_SERVICE_ESTIMATE_HPP
#define MEDLARSTALL_SCHEDULING_SERVICE_ESTIMATE_HPP

#include <medlarstall/support/time.hpp>

namespace medlarstall::scheduling {

/// Learns how long the requests of a group hold a slot and how soon their
/// first token comes.
class service_estimate
{
public:
    /// \param held time from dispatch until the slot was free
    void learn_holding(duration held);

    /// \param latency time from dispatch to the first token
    /// \param prompt_tokens length of the prompt
    void learn_first_token(duration latency, double prompt_tokens);

    /// \param running requests that hold a slot
    /// \return expected time until a slot is free; zero if unknown
    [[nodiscard]] duration slot_interval(std::size_t running) const;

    /// \return a first-token time that most requests stay below
    [[nodiscard]] duration first_token() const;

    /// \return prompt tokens processed in a millisecond; 0 if unknown
    [[nodiscard]] double prefill_rate() const;

private:
    double holding_ = 0;     ///< Seconds.
    double first_token_ = 0; ///< Seconds.
    double prompt_ = 0;      ///< Tokens.
};

} // namespace medlarstall::scheduling

#endif
