#ifndef MEDLARSTALL_BENCH_RECORDER_HPP
#define MEDLARSTALL_BENCH_RECORDER_HPP

#include "workload.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <vector>

namespace medlarstall::bench {

/// What a caller saw of its request. Plain data.
struct outcome
{
    std::optional<duration> first_token; ///< After the arrival.
    std::optional<duration> end;         ///< Of the whole answer.
    std::uint32_t tokens = 0;
    bool refused = false;
    bool broken = false; ///< The answer was cut off.
};

/// Notes what callers see, in virtual time.
class recorder
{
public:
    /// \param events virtual time
    /// \param arrivals requests; position is the number of the call
    recorder(event_queue const& events, std::vector<arrival> const& arrivals)
        : events_{events}, arrivals_{arrivals}, start_{events.now()},
          outcomes_(arrivals.size())
    {}

    /// Notes that the caller has so many tokens now.
    /// \param call number of the call
    /// \param tokens all tokens so far
    /// \param whole true if the answer is complete
    void tokens(std::size_t call, std::uint32_t tokens, bool whole)
    {
        auto& seen = outcomes_[call];
        if (seen.end || seen.broken) {
            return;
        }
        auto const& what = arrivals_[call];
        auto const since = events_.now() - start_ - what.at;
        if (!seen.first_token) {
            seen.first_token = since;
        }
        if (what.service_class == 2 && !what.plain_service) {
            lowest_served_.push_back(events_.now() - start_);
        }
        seen.tokens = std::max(seen.tokens, tokens);
        if (whole) {
            seen.end = since;
        }
    }

    /// \param call number of a call that was refused
    void refused(std::size_t call) { outcomes_[call].refused = true; }

    /// Notes that an answer was cut off. A caller sends what is repeatable
    /// again and drops what it has of the first answer.
    /// \param call number of the call
    void broken(std::size_t call)
    {
        auto& seen = outcomes_[call];
        if (arrivals_[call].plain_service || !on_resend) {
            seen.broken = true;
            return;
        }
        seen = outcome{};
        on_resend(call);
    }

    /// Called with each call that its caller sends again.
    std::function<void(std::size_t)> on_resend;

    /// \param call number of a call
    /// \return true if it needs nothing more
    [[nodiscard]] bool over(std::size_t call) const
    {
        auto const& seen = outcomes_[call];
        return seen.end || seen.refused || seen.broken;
    }

    /// \return all outcomes, by call
    [[nodiscard]] std::vector<outcome> const& outcomes() const
    {
        return outcomes_;
    }

    /// \return times at which the lowest class got tokens
    [[nodiscard]] std::vector<duration> const& lowest_served() const
    {
        return lowest_served_;
    }

private:
    event_queue const& events_;
    std::vector<arrival> const& arrivals_;
    time_point start_;
    std::vector<outcome> outcomes_;
    std::vector<duration> lowest_served_;
};

} // namespace medlarstall::bench

#endif
