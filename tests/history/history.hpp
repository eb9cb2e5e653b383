#ifndef MEDLARSTALL_TESTS_HISTORY_HISTORY_HPP
#define MEDLARSTALL_TESTS_HISTORY_HISTORY_HPP

#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::history {

/// What a caller was told of its call.
enum class verdict
{
    run,      ///< It got an answer that claims to be whole.
    cut,      ///< It was told that its answer is not whole.
    not_run,  ///< Promised not to have run.
    unknown,  ///< It may or may not have run.
    mismatch, ///< Refused: the key stands for another call.
    lost      ///< The connection went away without a verdict.
};

/// A call as its caller made it. Plain data.
struct started_call
{
    std::string key;      ///< Names its executions; empty if they are unknown.
    std::string expected; ///< Whole answer, where it is known beforehand.
    time_point started;
    time_point deadline;     ///< An answer has to be there by then.
    bool repeatable = false; ///< Its key may run more than once.
};

/// What the checker found wrong. Plain data.
struct violation
{
    std::string rule; ///< Stable name of the rule.
    std::string detail;
};

/// How often each verdict was given. Plain data.
struct verdict_counts
{
    std::map<verdict, std::size_t> of;
    std::size_t calls = 0;
    std::size_t executions = 0;
};

/// The events of concurrent callers and of the executions that their calls
/// caused, and the rules that any such history has to keep. Not thread-safe.
class history
{
public:
    /// \param id identifies the call; not used before
    /// \param value the call
    void start(std::uint64_t id, started_call value);

    /// \param key idempotency key of the execution
    /// \param answer what the backend server answers
    /// \param time when it began to run
    /// \param call call that it was run for; 0 if that is not known
    void execute(std::string const& key, std::string answer, time_point time,
                 std::uint64_t call = 0);

    /// \param id a call that was started
    /// \param told what its caller was told
    /// \param answer the answer, if told is run or cut
    /// \param time when the caller knew
    void finish(std::uint64_t id, verdict told, std::string answer,
                time_point time);

    /// Checks the rules: one execution for a key at most; none for a call that
    /// was told not_run or mismatch, nor for a key whose every call was; no
    /// run told without one; each
    /// answer as expected and as executed; no call open after its deadline.
    /// \param end time of the last event
    /// \param grace time that an answer may take beyond its deadline
    /// \return what is wrong; empty if nothing is
    [[nodiscard]] std::vector<violation> check(time_point end,
                                               duration grace) const;

    /// \return how often each verdict was given
    [[nodiscard]] verdict_counts count() const;

private:
    struct kept_call
    {
        started_call call;
        std::optional<verdict> told;
        std::string answer;
        time_point finished;
    };
    struct execution
    {
        std::string answer;
        time_point time;
        std::uint64_t call = 0;
    };

    void check_call(std::uint64_t id, kept_call const& value, time_point end,
                    duration grace, std::vector<violation>& found) const;
    void check_answer(std::uint64_t id, kept_call const& value,
                      std::vector<violation>& found) const;
    void check_key(std::string const& key,
                   std::vector<execution> const& executions,
                   std::vector<violation>& found) const;
    [[nodiscard]] bool repeatable(std::string const& key) const;
    [[nodiscard]] bool explained(std::string const& key,
                                 execution const& run) const;

    std::map<std::uint64_t, kept_call> calls_;
    std::map<std::string, std::vector<std::uint64_t>> calls_of_key_;
    std::map<std::string, std::vector<execution>> executions_;
};

} // namespace medlarstall::history

#endif
