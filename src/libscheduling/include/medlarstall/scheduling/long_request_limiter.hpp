#ifndef MEDLARSTALL_SCHEDULING_LONG_REQUEST_LIMITER_HPP
#define MEDLARSTALL_SCHEDULING_LONG_REQUEST_LIMITER_HPP

#include <medlarstall/scheduling/scheduler_settings.hpp>

#include <cstdint>

namespace medlarstall::scheduling {

/// Limits long requests to a fraction of a group's slots while other requests
/// wait. A request is classified by its estimated output at first, and by the
/// tokens that it has generated as it runs.
class long_request_limiter
{
public:
    /// \param settings fraction of the slots for long requests, and the
    ///     thresholds above which a request is long
    explicit long_request_limiter(scheduler_settings const& settings);

    /// Updates the typical output length from a finished request.
    /// \param output_tokens number of tokens that it generated
    void observe_output(std::uint64_t output_tokens);

    /// \return moving average of the output length, in tokens
    [[nodiscard]] double typical_output_tokens() const
    {
        return typical_output_tokens_;
    }

    /// \param output_tokens estimated output, or tokens generated so far
    /// \return true if a request with this output is long
    [[nodiscard]] bool is_long(std::uint64_t output_tokens) const;

    /// \param limit number of requests that may run at once in the group
    /// \return how many of them may be long while others wait; at least 1
    [[nodiscard]] unsigned max_long_requests(unsigned limit) const;

    /// \param limit number of requests that may run at once in the group
    /// \return true if another long request may start while others wait
    [[nodiscard]] bool has_capacity(unsigned limit) const;

    /// Counts a request that started as a long one or became long.
    void count_start() { ++running_; }

    /// Counts a long request that released its slot.
    void count_stop() { --running_; }

    /// \return number of long requests that hold a slot
    [[nodiscard]] unsigned running() const { return running_; }

private:
    double fraction_;
    double factor_;
    double min_tokens_;
    double typical_output_tokens_;
    unsigned running_ = 0;
};

} // namespace medlarstall::scheduling

#endif
