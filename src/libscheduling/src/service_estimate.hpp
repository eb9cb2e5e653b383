#ifndef MEDLARSTALL_SCHEDULING_SERVICE_ESTIMATE_HPP
#define MEDLARSTALL_SCHEDULING_SERVICE_ESTIMATE_HPP

#include <medlarstall/support/time.hpp>

namespace medlarstall::scheduling {

/// Moving averages of how long the requests of a group hold a slot and of
/// their time to first token.
class service_estimate
{
public:
    /// \param held time from the dispatch until the slot was released
    void observe_slot_time(duration held);

    /// \param latency time from the dispatch to the first token
    /// \param prompt_tokens number of tokens in the prompt
    void observe_first_token(duration latency, double prompt_tokens);

    /// \param running number of requests that hold a slot
    /// \return expected time until a slot is released; zero if unknown
    [[nodiscard]] duration slot_interval(std::size_t running) const;

    /// \return time to first token that most requests stay below; zero if
    ///     unknown
    [[nodiscard]] duration first_token_bound() const;

    /// \return prompt tokens processed per millisecond; 0 if unknown
    [[nodiscard]] double prefill_tokens_per_ms() const;

private:
    double slot_seconds_ = 0;        ///< Mean time that a slot is held.
    double first_token_seconds_ = 0; ///< Mean time to first token.
    double prompt_tokens_ = 0;       ///< Mean prompt length.
};

} // namespace medlarstall::scheduling

#endif
