#ifndef MEDLARSTALL_EMULATOR_OUTCOME_RECORD_HPP
#define MEDLARSTALL_EMULATOR_OUTCOME_RECORD_HPP

#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/emulator/workload.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace medlarstall::emulator {

/// How a request ended for its caller.
enum class ending
{
    open,    ///< Not yet.
    whole,   ///< The whole answer came.
    refused, ///< It has not run, and the caller does not come back.
    broken   ///< Unknown outcome, or no whole answer in time.
};

/// What a caller saw of its request. Plain data.
struct outcome
{
    std::optional<duration> first_event; ///< After its first try.
    std::optional<duration> last_event;
    duration longest_pause{0};
    std::uint32_t events = 0;
    std::uint32_t refusals = 0;
    ending end = ending::open;
};

/// Notes what callers see, in virtual time.
class outcome_record
{
public:
    /// \param arrivals the requests; a call is named by its position
    explicit outcome_record(std::vector<arrival> const& arrivals)
        : outcomes_(arrivals.size())
    {}

    /// Notes an event of an answer.
    /// \param call number of the call
    /// \param since time since its arrival
    /// \param whole true if the answer is complete
    void note_event(std::size_t call, duration since, bool whole);

    /// Notes that a call was refused.
    /// \param call number of the call
    /// \param last true if the caller does not come back
    void note_refusal(std::size_t call, bool last);

    /// Notes that a call will not be answered whole.
    /// \param call number of the call
    void note_broken(std::size_t call);

    /// \param call number of a call
    /// \return true if it is over for its caller
    [[nodiscard]] bool is_over(std::size_t call) const
    {
        return outcomes_[call].end != ending::open;
    }

    /// \return all outcomes, by call
    [[nodiscard]] std::vector<outcome> const& all() const { return outcomes_; }

private:
    std::vector<outcome> outcomes_;
};

} // namespace medlarstall::emulator

#endif
