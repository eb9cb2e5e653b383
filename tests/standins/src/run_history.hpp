#ifndef MEDLARSTALL_STANDINS_RUN_HISTORY_HPP
#define MEDLARSTALL_STANDINS_RUN_HISTORY_HPP

#include <medlarstall/standins/engine_standin.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarstall::standins {

/// What became of each attempt at an engine; bounded.
class run_history
{
public:
    /// \param stream attempt, new or known, to take the state of
    void note(engine_stream const& stream)
    {
        constexpr std::size_t kept_runs = 100'000;
        auto const [found, added] =
            numbers_.try_emplace(stream.attempt, first_ + runs_.size());
        if (added) {
            runs_.emplace_back();
        }
        runs_[found->second - first_] = {.attempt = stream.attempt,
                                         .prompt_hash = stream.plan.seed,
                                         .priority = stream.priority,
                                         .started = stream.starts > 0,
                                         .tokens = stream.made,
                                         .state = stream.state};
        if (runs_.size() > kept_runs) {
            numbers_.erase(runs_.front().attempt);
            runs_.pop_front();
            ++first_;
        }
    }

    /// \return the kept attempts in the order of their submission
    [[nodiscard]] std::vector<engine_run> list() const
    {
        return {runs_.begin(), runs_.end()};
    }

private:
    std::deque<engine_run> runs_;
    std::unordered_map<std::string, std::uint64_t> numbers_;
    std::uint64_t first_ = 0;
};

} // namespace medlarstall::standins

#endif
