#ifndef MEDLARSTALL_EMULATOR_OUTCOME_RECORDER_HPP
#define MEDLARSTALL_EMULATOR_OUTCOME_RECORDER_HPP

#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/emulator/workload.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace medlarstall::emulator {

/// How a request ended for its caller.
enum class request_ending
{
    pending,   ///< Not ended yet.
    completed, ///< The caller received the whole answer.
    refused,   ///< Never run, and the caller does not retry again.
    failed     ///< Outcome unknown, or the answer was incomplete at the limit.
};

/// What a caller observed of its request.
struct outcome
{
    std::optional<duration> first_event; ///< Since the arrival; empty: none.
    std::optional<duration> last_event;  ///< Since the arrival; empty: none.
    duration longest_pause{0};           ///< Between two events.
    std::uint32_t events = 0;
    std::uint32_t refusals = 0;
    request_ending ending = request_ending::pending;
};

/// Records what each caller observes of its request.
class outcome_recorder
{
public:
    /// \param arrivals all requests; a call number is a position in this list
    explicit outcome_recorder(std::vector<arrival> const& arrivals)
        : outcomes_(arrivals.size())
    {}

    /// Records an event of an answer. Has no effect once the call has ended.
    /// \param call call number
    /// \param elapsed time since the arrival of the request
    /// \param is_last true if the event completes the answer
    void record_event(std::size_t call, duration elapsed, bool is_last);

    /// Records that a call was refused.
    /// \param call call number
    /// \param is_final true if the caller does not retry again
    void record_refusal(std::size_t call, bool is_final);

    /// Records that a call will not receive its whole answer.
    /// \param call call number
    void record_failure(std::size_t call);

    /// \param call call number
    /// \return true if the call is completed, refused or failed
    [[nodiscard]] bool has_ended(std::size_t call) const
    {
        return outcomes_[call].ending != request_ending::pending;
    }

    /// \return the outcomes of all calls, indexed by call number
    [[nodiscard]] std::vector<outcome> const& outcomes() const
    {
        return outcomes_;
    }

private:
    std::vector<outcome> outcomes_;
};

} // namespace medlarstall::emulator

#endif
