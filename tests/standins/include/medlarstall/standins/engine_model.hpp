#ifndef MEDLARSTALL_STANDINS_ENGINE_MODEL_HPP
#define MEDLARSTALL_STANDINS_ENGINE_MODEL_HPP

#include <medlarstall/standins/text_model.hpp>
#include <medlarstall/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarstall::standins {

/// Speed and size of an engine stand-in.
struct engine_speed
{
    unsigned slots = 8;
    std::size_t waiting_limit = 64;
    std::chrono::microseconds between_tokens{20'000};
    std::chrono::microseconds prefill_per_token{200};
    /// Part by which each further running stream lengthens the time between
    /// tokens.
    double batching_slowdown = 0.02;
    std::size_t cached_prefixes = 4096;
    std::chrono::seconds keep_finished{30};
    std::chrono::seconds keep_preempted{60};
};

/// State of one stream.
enum class stream_state
{
    waiting,
    running,
    finished,
    cancelled,
    kept ///< Preempted; its tokens and cache are kept for a while.
};

/// One attempt that the engine was given.
struct engine_stream
{
    std::string attempt;
    answer_plan plan;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    int priority = 0;
    bool crashes = false; ///< Its first token crashes the engine.
    stream_state state = stream_state::waiting;
    std::uint64_t made = 0; ///< Tokens generated so far.
    time_point submitted;
    time_point due;           ///< Of the next token, while it runs.
    std::uint64_t starts = 0; ///< How often it got a slot.
    time_point ended;
};

using engine_stream_ptr = std::shared_ptr<engine_stream>;

/// \param stream stream to look at
/// \return true if it neither runs nor waits
[[nodiscard]] inline bool idle(engine_stream const& stream)
{
    return stream.state != stream_state::running &&
           stream.state != stream_state::waiting;
}

/// A change of the prefix cache.
struct cache_change
{
    bool stored = true;
    std::string prefix; ///< Hexadecimal hash of the prefix.
};

/// What an engine does with time: a limited number of slots that generate
/// tokens side by side, a queue by priority, and a prefix cache. Knows no
/// clock and no transport.
class engine_model
{
public:
    explicit engine_model(engine_speed speed) : speed_{speed} {}

    /// Takes an attempt into a slot or into the queue.
    /// \param attempt identifier of the attempt
    /// \param prompt whole prompt
    /// \param max_tokens most tokens to generate
    /// \param priority 0 is served first
    /// \param now time
    /// \return the stream, or null if the queue is full
    engine_stream_ptr submit(std::string attempt, std::string_view prompt,
                             std::optional<std::uint64_t> max_tokens,
                             int priority, time_point now);

    /// \param attempt identifier of an attempt
    /// \return its stream, or null if it is not known
    [[nodiscard]] engine_stream_ptr find(std::string const& attempt) const;

    /// Stops an attempt and frees its slot.
    /// \param attempt identifier of the attempt
    /// \param now time
    /// \return false if it is not known
    bool cancel(std::string const& attempt, time_point now);

    /// Frees the slot of an attempt and keeps its tokens.
    /// \param attempt identifier of the attempt
    /// \param now time
    /// \return its stream, or null if it is not known
    engine_stream_ptr keep(std::string const& attempt, time_point now);

    /// Gives a kept attempt a slot again.
    /// \param stream a kept stream
    /// \param priority 0 is served first
    /// \param now time
    /// \return false if no slot is free
    bool resume(engine_stream_ptr const& stream, int priority, time_point now);

    /// Takes over a kept stream of another engine.
    /// \param stream its state
    /// \param now time
    void import(engine_stream stream, time_point now);

    /// Generates every token that is due.
    /// \param now time
    /// \param on_token called after each token
    void advance(time_point now,
                 std::function<void(engine_stream&)> const& on_token);

    /// \return when the next token is due, if anything runs
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// Forgets every stream and the prefix cache.
    void clear();

    /// \param factor multiplies the time of everything from now on
    void slow_down(double factor) { slow_ = factor; }

    /// \return cache changes since the last call
    std::vector<cache_change> take_cache_changes();

    [[nodiscard]] std::size_t running() const { return running_; }
    [[nodiscard]] std::size_t waiting() const { return waiting_; }
    [[nodiscard]] engine_speed const& speed() const { return speed_; }

    /// \return time between two tokens of a stream at the present load
    [[nodiscard]] duration token_interval() const;

    /// \return smoothed time from submission to the first token
    [[nodiscard]] duration first_token_time() const { return first_token_; }

private:
    /// The next token of a stream; void once the stream lost that slot.
    struct due_token
    {
        time_point due;
        std::uint64_t start = 0;
        engine_stream_ptr stream;

        bool operator<(due_token const& other) const { return due > other.due; }
    };
    using prefix_list = std::list<std::string>;

    void start(engine_stream_ptr const& stream, time_point now);
    void start_waiting(time_point now);
    void release(engine_stream_ptr const& stream, stream_state state,
                 time_point now);
    void drop_void_tokens();
    void schedule(engine_stream_ptr const& stream);
    void note_first_token(duration taken);
    void forget_old(std::deque<engine_stream_ptr>& streams,
                    std::chrono::seconds kept_for, time_point now);
    std::uint64_t use_cache(std::string_view prompt);
    void store_prefix(std::string const& prefix);

    engine_speed speed_;
    double slow_ = 1.0;
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;
    duration first_token_{};
    std::unordered_map<std::string, engine_stream_ptr> streams_;
    std::priority_queue<due_token> due_tokens_;
    std::map<int, std::deque<engine_stream_ptr>> waiting_by_priority_;
    std::deque<engine_stream_ptr> ended_;
    std::deque<engine_stream_ptr> kept_;
    prefix_list recent_prefixes_;
    std::unordered_map<std::string, prefix_list::iterator> prefixes_;
    std::vector<cache_change> changes_;
};

} // namespace medlarstall::standins

#endif
